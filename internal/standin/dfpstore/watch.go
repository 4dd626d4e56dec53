package dfpstore

import (
	"context"
	"errors"
	"sort"
	"strings"
	"time"

	"connectrpc.com/connect"

	pb "dragonflyport/internal/proto/dfpplatformpb"
)

// publishLocked appends an event and wakes the watches. If there are more than
// maxEvents events then, it keeps only the newest maxEvents/2.
func (s *Store) publishLocked(event *pb.WatchEvent) {
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		cut := len(s.events) - maxEvents/2
		s.droppedRevision = s.events[cut-1].GetRevision()
		s.events = append([]*pb.WatchEvent(nil), s.events[cut:]...)
	}
	s.wakeWatchesLocked()
}

// wakeWatchesLocked wakes all watches.
func (s *Store) wakeWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements dfpplatformpb.KeyValueServiceHandler. It fails with OutOfRange
// if a change after the given revision has been dropped; the caller must then list
// again.
func (s *Store) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest], stream *connect.ServerStream[pb.WatchEvent]) error {
	if _, err := s.begin(ctx, MethodWatch); err != nil {
		return err
	}
	s.mu.Lock()
	epoch := s.watchEpoch
	s.counts.OpenWatches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.counts.OpenWatches--
		s.mu.Unlock()
	}()
	after := req.Msg.GetAfterRevision()
	lastSent := time.Time{}
	for {
		step, err := s.nextStep(req.Msg.GetPrefix(), after, epoch)
		if err != nil {
			return err
		}
		if !step.silent {
			for _, event := range step.events {
				if err := stream.Send(event); err != nil {
					return err
				}
			}
			if len(step.events) == 0 && time.Since(lastSent) >= s.cfg.HeartbeatInterval {
				if err := stream.Send(&pb.WatchEvent{Revision: step.revision}); err != nil {
					return err
				}
				lastSent = time.Now()
			} else if len(step.events) > 0 {
				lastSent = time.Now()
			}
			after = step.revision
		}
		select {
		case <-ctx.Done():
			return nil
		case <-step.changed:
		case <-time.After(step.wait):
		}
	}
}

// watchStep is what one iteration of a watch sends, and how long the watch then
// waits.
type watchStep struct {
	events   []*pb.WatchEvent
	revision uint64
	silent   bool
	changed  chan struct{}
	wait     time.Duration
}

// nextStep returns the next step of a watch that has sent the events up to the
// revision after.
func (s *Store) nextStep(prefix string, after, epoch uint64) (watchStep, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	fault := s.faults[MethodWatch]
	if fault.Down {
		return watchStep{}, connect.NewError(connect.CodeUnavailable, errors.New("key-value service is down"))
	}
	step := watchStep{
		revision: s.revision,
		silent:   fault.Silent || epoch != s.watchEpoch,
		changed:  s.changed,
		wait:     s.untilExpiryLocked(),
	}
	if step.silent {
		return step, nil
	}
	if after < s.droppedRevision || after > s.revision {
		return watchStep{}, connect.NewError(connect.CodeOutOfRange, errors.New("changes after the given revision have been dropped"))
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].GetRevision() > after })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.GetChanged().GetKey()+event.GetDeletedKey(), prefix) {
			step.events = append(step.events, event)
		}
	}
	return step, nil
}
