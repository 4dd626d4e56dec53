package dfpstore

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	pb "dragonflyport/internal/proto/dfpplatformpb"
)

// GrantLease implements dfpplatformpb.KeyValueServiceHandler.
func (s *Store) GrantLease(ctx context.Context, req *connect.Request[pb.GrantLeaseRequest]) (*connect.Response[pb.GrantLeaseResponse], error) {
	fault, err := s.begin(ctx, MethodGrantLease)
	if err != nil {
		return nil, err
	}
	ttl := time.Duration(req.Msg.GetTtlMilliseconds()) * time.Millisecond
	if ttl <= 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("lease's time to live must be positive"))
	}
	s.mu.Lock()
	s.lastLeaseID++
	id := s.lastLeaseID
	s.leases[id] = &lease{ttl: ttl, expiry: s.cfg.Now().Add(ttl)}
	s.wakeWatchesLocked()
	s.mu.Unlock()
	return respond(fault, &pb.GrantLeaseResponse{Lease: id})
}

// KeepLease implements dfpplatformpb.KeyValueServiceHandler.
func (s *Store) KeepLease(ctx context.Context, req *connect.Request[pb.KeepLeaseRequest]) (*connect.Response[pb.KeepLeaseResponse], error) {
	fault, err := s.begin(ctx, MethodKeepLease)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.expireLeasesLocked()
	held := s.leases[req.Msg.GetLease()]
	if held != nil {
		held.expiry = s.cfg.Now().Add(held.ttl)
	}
	s.mu.Unlock()
	return respond(fault, &pb.KeepLeaseResponse{Held: held != nil})
}

// expireLeasesLocked expires the leases whose time to live has passed.
func (s *Store) expireLeasesLocked() {
	now := s.cfg.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expiry) {
			s.expireLeaseLocked(id)
		}
	}
}

// expireLeaseLocked removes a lease and deletes its entries.
func (s *Store) expireLeaseLocked(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if s.entries[key].GetLease() == id {
			s.deleteLocked(key)
		}
	}
}

// untilExpiryLocked returns how long a watch may sleep: until the next lease
// expires, but at most a heartbeat interval.
func (s *Store) untilExpiryLocked() time.Duration {
	wait := s.cfg.HeartbeatInterval
	now := s.cfg.Now()
	for _, l := range s.leases {
		wait = min(wait, l.expiry.Sub(now))
	}
	return max(wait, time.Millisecond)
}
