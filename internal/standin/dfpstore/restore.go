package dfpstore

import (
	"maps"
	"slices"

	pb "dragonflyport/internal/proto/dfpplatformpb"
)

// Backup is a copy of the state of a Store.
type Backup struct {
	revision, droppedRevision, lastLeaseID uint64
	entries                                map[string]*pb.Entry
	leases                                 map[uint64]lease
	events                                 []*pb.WatchEvent
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &Backup{
		revision: s.revision, droppedRevision: s.droppedRevision, lastLeaseID: s.lastLeaseID,
		entries: maps.Clone(s.entries), leases: make(map[uint64]lease), events: slices.Clone(s.events),
	}
	for id, l := range s.leases {
		b.leases[id] = *l
	}
	return b
}

// Restore brings the store back from a copy, in a new era. What was written since is lost; revisions and
// leases are given out again.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.droppedRevision, s.lastLeaseID = b.revision, b.droppedRevision, b.lastLeaseID
	s.entries, s.events, s.stale = maps.Clone(b.entries), slices.Clone(b.events), nil
	s.leases = make(map[uint64]*lease)
	for id, l := range b.leases {
		s.leases[id] = &lease{ttl: l.ttl, expiry: s.cfg.Now().Add(l.ttl)}
	}
	s.wakeWatchesLocked()
}

// Era returns the number of the store's era, which starts at 1 and rises with each Restore.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Changes returns the changes of the keys with a prefix after a revision, and the store's revision. The
// error has the code OutOfRange if the store does not have the changes since then.
func (s *Store) Changes(prefix string, after uint64) ([]*pb.WatchEvent, uint64, error) {
	step, err := s.nextStep(prefix, after, s.currentWatchEpoch())
	return step.events, step.revision, err
}

func (s *Store) currentWatchEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchEpoch
}
