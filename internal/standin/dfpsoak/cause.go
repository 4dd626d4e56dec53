package dfpsoak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/standin/dfpforwarder"
	"dragonflyport/internal/standin/dfpstore"
)

// cause causes a fault and ends it after its time.
func (s *site) cause(ctx context.Context, f fault) error {
	n := s.nodes[f.node]
	switch f.kind {
	case killNode:
		return s.kill(ctx, n, f.span)
	case killAll:
		var group errgroup.Group
		for _, n := range s.nodes {
			group.Go(func() error { return s.kill(ctx, n, f.span) })
		}
		return group.Wait()
	case pauseNode:
		return s.pause(ctx, n, f.span)
	case stopNode:
		_, _, err := s.stop(ctx, n, f.span)
		return err
	case plannedStop:
		from, to, err := s.stop(ctx, n, 0)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evidence.Stops = append(s.evidence.Stops, Stop{n.index, from, to})
		return err
	case hangupNode:
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.hangup()
	case withdrawKey, lowerRate, addRoute:
		s.change(f.kind)
		return nil
	case crashServer, drainServer, hangServer, shedServer, spoilServer:
		return n.backend.cause(ctx, f)
	default:
		s.disturb(ctx, n, f)
		return nil
	}
}

// kill ends a process at once and starts it again after a while.
func (s *site) kill(ctx context.Context, n *node, span time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	process, err := n.end(syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-process.Ended()
	sleepUntil(ctx, time.Now().Add(span))
	return s.start(n)
}

// hangup sends SIGHUP to a process that has started to serve: one that has not would be ended by it.
func (n *node) hangup() error {
	if _, err := n.process.Field("callers"); err != nil {
		return err
	}
	return n.process.Signal(syscall.SIGHUP)
}

func (s *site) pause(ctx context.Context, n *node, span time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleepUntil(ctx, time.Now().Add(span))
	return n.process.Signal(syscall.SIGCONT)
}

// stop ends a process with SIGTERM, and starts it again after a while. It returns when it was told to end
// and when it had ended.
func (s *site) stop(ctx context.Context, n *node, span time.Duration) (from, to time.Time, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from = time.Now()
	process, err := n.end(syscall.SIGTERM)
	if err != nil {
		return from, from, err
	}
	select {
	case <-process.Ended():
		// One that has not come to its first line yet has no handler for the signal, and has taken nothing.
		if err := process.Wait(); err != nil && len(process.Log()) > 0 {
			s.ended("node %d ended after SIGTERM with %v", n.index, err)
		}
	case <-time.After(DefaultBounds.StopWithin):
		s.ended("node %d still ran %v after SIGTERM", n.index, DefaultBounds.StopWithin)
		_ = process.Signal(syscall.SIGKILL) // It may have ended just now.
		<-process.Ended()
	}
	to = time.Now()
	sleepUntil(ctx, to.Add(span))
	return from, to, s.start(n)
}

// change writes a new configuration. The store's answer counts as its acknowledgement.
func (s *site) change(k kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules.Version += 2
	s.rules.Organisations = slices.Clone(s.rules.Organisations)
	switch keys := s.rules.Organisations[0].Keys; {
	case k == withdrawKey && len(keys) > 1:
		last := len(keys) - 1
		s.rules.Organisations[0].Keys = slices.Clone(keys[:last])
		s.configure()
		s.evidence.Withdrawn[keys[last]] = time.Now()
	case k == lowerRate:
		s.rules.Organisations[1].Rate, s.rules.Organisations[1].Burst = lowRate, lowRate
		s.configure()
		s.evidence.Limits = append(s.evidence.Limits, Limit{flood, lowRate, lowRate, time.Now()})
	default:
		s.rules.AddedPaths = append(slices.Clone(s.rules.AddedPaths), fmt.Sprintf("/shop/added-%d/", s.rules.Version))
		s.configure()
	}
}

// disturb disturbs a node's links, its way to the store, or the store.
func (s *site) disturb(ctx context.Context, n *node, f fault) {
	link := func(l *dfpforwarder.Link, c dfpforwarder.Conditions) {
		l.Set(c)
		sleepUntil(ctx, time.Now().Add(f.span))
		l.Set(dfpforwarder.Conditions{})
	}
	store := func(fault dfpstore.Fault, methods ...dfpstore.Method) {
		set := func(fault dfpstore.Fault) {
			for _, m := range methods {
				if err := s.store.SetFault(m, fault); err != nil {
					panic("dfpsoak: " + err.Error())
				}
			}
		}
		set(fault)
		sleepUntil(ctx, time.Now().Add(f.span))
		set(dfpstore.Fault{})
	}
	switch f.kind {
	case cutLink:
		link(n.inbound, dfpforwarder.Conditions{Cut: true})
	case oneWayLink:
		link(n.inbound, dfpforwarder.Conditions{CutReturn: true})
	case refuseLink:
		link(n.inbound, dfpforwarder.Conditions{Refuse: true})
	case delayLink:
		link(n.inbound, dfpforwarder.Conditions{Delay: delayed})
	case silenceLink:
		n.inbound.BlackholeOpen()
	case cutStore:
		link(n.storeWay, dfpforwarder.Conditions{Cut: true})
	case resetStore:
		link(n.storeWay, dfpforwarder.Conditions{Refuse: true})
	case storeDown:
		store(dfpstore.Fault{Down: true}, dfpstore.Methods...)
	case storeSlow:
		store(dfpstore.Fault{Delay: slowed}, dfpstore.Methods...)
	case storeLoses:
		store(dfpstore.Fault{LoseAnswer: true}, dfpstore.MethodCompareAndSwap, dfpstore.MethodGrantLease)
	case storeLapse:
		s.store.ExpireLeases()
	case storeMute:
		s.store.SilenceWatches()
	default:
		panic("dfpsoak: no such fault: " + string(f.kind))
	}
}
