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

// inject injects a fault and ends it after its duration.
func (s *soak) inject(ctx context.Context, f fault) error {
	n := s.nodes[f.node]
	switch f.kind {
	case killNode:
		return s.kill(ctx, n, f.duration)
	case killAll:
		s.mu.Lock()
		s.evidence.AllKilled = append(s.evidence.AllKilled, time.Now())
		s.mu.Unlock()
		var group errgroup.Group
		for _, n := range s.nodes {
			group.Go(func() error { return s.kill(ctx, n, f.duration) })
		}
		return group.Wait()
	case pauseNode:
		return s.pause(ctx, n, f.duration)
	case stopNode:
		_, _, err := s.stop(ctx, n, f.duration)
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
		s.changeConfiguration(f.kind)
		return nil
	case crashServer, drainServer, hangServer, shedServer, abortServer, limitServer, leaveServer:
		return n.backend.inject(ctx, f)
	case crashRequest:
		return s.repeatCrashRequest(ctx, f)
	default:
		s.injectLinkOrStore(ctx, n, f)
		return nil
	}
}

// kill kills a process with SIGKILL and starts it again after the given downtime.
func (s *soak) kill(ctx context.Context, n *node, downtime time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	process, err := n.terminate(syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-process.Ended()
	sleepUntil(ctx, time.Now().Add(downtime))
	return s.start(n)
}

// hangup sends SIGHUP to a process once it serves. Until then, the process has no handler for SIGHUP, and the
// signal would end it.
func (n *node) hangup() error {
	if _, err := n.process.Field("callers"); err != nil {
		return err
	}
	return n.process.Signal(syscall.SIGHUP)
}

// pause stops a process with SIGSTOP and resumes it after the given duration.
func (s *soak) pause(ctx context.Context, n *node, duration time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleepUntil(ctx, time.Now().Add(duration))
	return n.process.Signal(syscall.SIGCONT)
}

// stop stops a process with SIGTERM and starts it again after the given downtime. It returns the times of the
// signal and of the process's end. A process that ends with an error, or that still runs after
// DefaultBounds.StopWithin, is recorded as an unexpected exit; the latter is killed.
func (s *soak) stop(ctx context.Context, n *node, downtime time.Duration) (from, to time.Time, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from = time.Now()
	process, err := n.terminate(syscall.SIGTERM)
	if err != nil {
		return from, from, err
	}
	select {
	case <-process.Ended():
		// A process that has logged nothing yet has no handler for the signal and has accepted no request.
		if err := process.Wait(); err != nil && len(process.Log()) > 0 {
			s.recordUnexpectedExit("node %d ended after SIGTERM with %v", n.index, err)
		}
	case <-time.After(DefaultBounds.StopWithin):
		s.recordUnexpectedExit("node %d still ran %v after SIGTERM", n.index, DefaultBounds.StopWithin)
		_ = process.Signal(syscall.SIGKILL) // The process may have ended in the meantime.
		<-process.Ended()
	}
	to = time.Now()
	sleepUntil(ctx, to.Add(downtime))
	return from, to, s.start(n)
}

// repeatCrashRequest sends one request that crashes backend servers again and again, at all nodes in turn.
func (s *soak) repeatCrashRequest(ctx context.Context, f fault) error {
	body := fmt.Sprintf("%s%v", crashBody, f.at)
	end := time.Now().Add(f.duration)
	for i := 0; time.Now().Before(end) && sleepUntil(ctx, time.Now().Add(crashRequestInterval)); i++ {
		c := Call{ID: fmt.Sprintf("crash-%v-%d", f.at, i), Path: PathOrder, Organisation: unlimitedOrg, Key: "key-0", AtMostOnce: true, Body: body}
		if i%2 == 1 {
			c.Path, c.AtMostOnce = PathBrowse+"packs/", false
		}
		s.call(ctx, s.nodes[(f.node+i)%len(s.nodes)], c)
	}
	return nil
}

// changeConfiguration writes a new configuration. The return of the write counts as the acknowledgement.
func (s *soak) changeConfiguration(k kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules.Version += 2
	s.rules.Organisations = slices.Clone(s.rules.Organisations)
	switch keys := s.rules.Organisations[0].Keys; {
	case k == withdrawKey && len(keys) > 1:
		last := len(keys) - 1
		s.rules.Organisations[0].Keys = slices.Clone(keys[:last])
		s.writeConfiguration()
		s.evidence.Withdrawn[keys[last]] = time.Now()
	case k == lowerRate:
		s.rules.Organisations[1].Rate, s.rules.Organisations[1].Burst = loweredRate, loweredRate
		s.writeConfiguration()
		s.evidence.Limits = append(s.evidence.Limits, Limit{overloadOrg, loweredRate, loweredRate, time.Now()})
	default:
		s.rules.AddedPaths = append(slices.Clone(s.rules.AddedPaths), fmt.Sprintf("/shop/added-%d/", s.rules.Version))
		s.writeConfiguration()
	}
}

// injectLinkOrStore injects a fault of a node's inbound links, of its link to the store, or of the store.
func (s *soak) injectLinkOrStore(ctx context.Context, n *node, f fault) {
	link := func(l *dfpforwarder.Link, c dfpforwarder.Conditions) {
		l.Set(c)
		sleepUntil(ctx, time.Now().Add(f.duration))
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
		sleepUntil(ctx, time.Now().Add(f.duration))
		set(dfpstore.Fault{})
	}
	switch f.kind {
	case cutLink:
		link(n.inbound, dfpforwarder.Conditions{Cut: true})
	case cutLinkReturn:
		link(n.inbound, dfpforwarder.Conditions{CutReturn: true})
	case resetLink:
		link(n.inbound, dfpforwarder.Conditions{Refuse: true})
	case delayLink:
		link(n.inbound, dfpforwarder.Conditions{Delay: linkDelay})
	case blackholeLink:
		n.inbound.BlackholeOpen()
	case cutStore:
		link(n.storeLink, dfpforwarder.Conditions{Cut: true})
	case resetStore:
		link(n.storeLink, dfpforwarder.Conditions{Refuse: true})
	case storeDown:
		store(dfpstore.Fault{Down: true}, dfpstore.Methods...)
	case storeSlow:
		store(dfpstore.Fault{Delay: storeDelay}, dfpstore.Methods...)
	case storeLosesAnswers:
		store(dfpstore.Fault{LoseAnswer: true}, dfpstore.MethodCompareAndSwap, dfpstore.MethodGrantLease)
	case storeLeasesExpire:
		s.store.ExpireLeases()
	case storeWatchesSilent:
		s.store.SilenceWatches()
	default:
		panic("dfpsoak: unknown kind of fault: " + string(f.kind))
	}
}
