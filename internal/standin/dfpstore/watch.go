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

// publishLocked appends an event and wakes the watches.
func (s *Store) publishLocked(event *pb.WatchEvent) {
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		cut := len(s.events) - maxEvents/2
		s.dropped = s.events[cut-1].GetRevision()
		s.events = append([]*pb.WatchEvent(nil), s.events[cut:]...)
	}
	s.wakeLocked()
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements dfpplatformpb.KeyValueServiceHandler. It fails with
// OutOfRange if the changes after the given revision are no longer kept; the
// caller then has to list again.
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
		step, err := s.watchStep(req.Msg.GetPrefix(), after, epoch)
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

// watchStep is what one turn of a watch sends and how long it then waits.
type watchStep struct {
	events   []*pb.WatchEvent
	revision uint64
	silent   bool
	changed  chan struct{}
	wait     time.Duration
}

func (s *Store) watchStep(prefix string, after, epoch uint64) (watchStep, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	fault := s.faults[MethodWatch]
	if fault.Down {
		return watchStep{}, connect.NewError(connect.CodeUnavailable, errors.New("the key-value service is down"))
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
	if after < s.dropped {
		return watchStep{}, connect.NewError(connect.CodeOutOfRange, errors.New("the changes after this revision are no longer kept"))
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].GetRevision() > after })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.GetChanged().GetKey()+event.GetDeletedKey(), prefix) {
			step.events = append(step.events, event)
		}
	}
	return step, nil
}
