package dfpnode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfproster"
)

const (
	probeTimeout = 1500 * time.Millisecond
	// minAnnounceInterval is the minimum time between two writes of the entry, and after a failed one. An entry
	// whose lease expired while the platform was unavailable must be back within two seconds, and a starting
	// fleet changes each entry twice within the first second.
	minAnnounceInterval  = 800 * time.Millisecond
	watcherCheckInterval = time.Second
	// renewInterval is the longest time between two renewals of the lease, and renewRetryInterval the time
	// after one that failed.
	renewInterval      = dfproster.LeaseTTL / 3
	renewRetryInterval = 2 * time.Second
	// restoredSpread is the time over which a small fleet, and restoredSpreadPerVM the time per VM over which
	// a large one, writes its entries again after the platform was restored.
	restoredSpread      = 300 * time.Millisecond
	restoredSpreadPerVM = 2 * time.Millisecond
)

// rosterLoop runs the roster: it writes this VM's entry in the platform, watches the platform if this node is
// one of its zone's watchers, and exchanges messages with peers.
type rosterLoop struct {
	n *Node

	mu     sync.Mutex
	roster *dfproster.Roster
	rnd    *rand.Rand
	// logged holds what was last logged about each other VM, by address.
	logged map[string]dfpevent.VM

	// announce holds at most one request to write this VM's entry.
	announce chan struct{}
	// writeMu is held while the entry is written. It guards lease, revision and era.
	writeMu sync.Mutex
	lease   uint64
	// revision is the last known revision of the entry, in the given era of the platform.
	revision, era uint64
	// written is the revision, for readers without writeMu.
	written atomic.Uint64
	// checkingEra is set while the platform is asked for its era.
	checkingEra atomic.Bool
}

func (l *rosterLoop) init(n *Node) {
	l.n = n
	l.roster = dfproster.New(dfproster.Config{Self: n.cfg.VM, Seeds: n.cfg.Seeds, Watchers: n.cfg.Watchers})
	l.rnd = n.newRand(streamRoster)
	l.logged = make(map[string]dfpevent.VM)
	l.announce = make(chan struct{}, 1)
	l.announce <- struct{}{}
	l.apply()
}

// do makes one decision and carries out its effects.
func (l *rosterLoop) do(decide func(*dfproster.Roster) dfproster.Effects) {
	l.mu.Lock()
	effects := decide(l.roster)
	l.mu.Unlock()
	if effects.Changed {
		l.apply()
		l.logVMs()
	}
	for _, send := range effects.Sends {
		l.n.notify(send.To, dfppeer.TopicRoster, send.Message)
	}
	for _, address := range effects.Probes {
		l.n.group.Go(func() error { l.probe(address); return nil })
	}
	if effects.Announce {
		l.requestAnnounce()
	}
}

// vms returns the VMs that the roster considers reachable.
func (l *rosterLoop) vms() []dfpvm.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.VMs()
}

// logVMs logs changes in the known state of other VMs.
func (l *rosterLoop) logVMs() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.roster.Members() {
		current := dfpevent.VM{Address: m.VM.Address, Service: m.VM.Service, State: m.State.String()}
		switch {
		case m.VM.Left:
			current.State = "left"
		case m.State == dfproster.StateUp && m.VM.Draining:
			current.State = "draining"
		}
		if current.Address == l.n.cfg.VM.Address || l.logged[current.Address] == current {
			continue
		}
		l.logged[current.Address] = current
		dfpevent.Write(l.n.journal, time.Now(), func() *dfpevent.VM { return &current })
	}
}

// apply passes the list of VMs to the components that decide by it.
func (l *rosterLoop) apply() {
	vms := l.vms()
	l.n.applyVMs(vms)
	l.n.rates.setPeers(vms)
	if !l.n.cfg.NoClaims {
		l.n.claims.setPeers(vms)
	}
}

// applyVMs passes the VMs, and which of them the rules drain, to the router.
func (n *Node) applyVMs(vms []dfpvm.VM) {
	drained := make(map[string]bool)
	if rules := n.config.rules(); rules != nil && !n.cfg.NoDrain {
		for _, vm := range vms {
			if rules.Drained(vm.BackendAddress) {
				drained[vm.Address] = true
			}
		}
	}
	n.drainedByRule.Store(drained[n.cfg.VM.Address])
	n.router.SetVMs(vms, drained)
}

func (l *rosterLoop) updateSelf(change func(*dfpvm.VM)) {
	l.do(func(r *dfproster.Roster) dfproster.Effects {
		vm := r.Self()
		change(&vm)
		return r.SetSelf(time.Now(), vm)
	})
}

// run ticks the roster and starts its goroutines that use the platform.
func (l *rosterLoop) run() error {
	if l.n.cfg.Platform != nil {
		l.n.group.Go(l.runAnnounce)
		l.n.group.Go(l.runEras)
		l.n.group.Go(l.runWatch)
	}
	ticker := time.NewTicker(dfproster.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.n.runCtx.Done():
			return nil
		case now := <-ticker.C:
			l.do(func(r *dfproster.Roster) dfproster.Effects { return r.Tick(now, l.rnd) })
		}
	}
}

// probe checks whether the node of a VM answers. An accepted connection is not enough: only a node that
// knows the secret can answer.
func (l *rosterLoop) probe(address string) {
	ctx, cancel := context.WithTimeout(l.n.runCtx, probeTimeout)
	defer cancel()
	msg, err := dfppeer.Encode(dfppeer.TopicRoster, dfproster.Message{})
	if err != nil {
		panic("dfpnode: an empty message cannot be encoded: " + err.Error())
	}
	if _, err = l.n.mesh.Call(ctx, address, msg); err == nil {
		l.do(func(r *dfproster.Roster) dfproster.Effects { return r.RecordContact(time.Now(), address, 0) })
		return
	}
	l.unreachable(address, errors.Is(err, syscall.ECONNREFUSED))
}

// unreachable records that the node of a VM did not answer or, if refused is set, that its address refuses
// connections.
func (l *rosterLoop) unreachable(address string, refused bool) {
	if refused {
		l.n.rates.setUnreachable(address)
	}
	l.do(func(r *dfproster.Roster) dfproster.Effects { return r.RecordFailure(time.Now(), address, refused) })
}

// observePeer records what a peer reports about itself with each answer and heartbeat.
func (n *Node) observePeer(from string, incarnation, version uint64, load dfpcall.Load) {
	n.router.Observe(time.Now(), from, load)
	n.peerNotices.observe(from, incarnation, load.Notice)
	n.config.observeVersion(from, version)
	n.roster.do(func(r *dfproster.Roster) dfproster.Effects { return r.RecordContact(time.Now(), from, incarnation) })
}

// runAnnounce maintains this VM's entry in the platform, which is bound to a lease.
func (l *rosterLoop) runAnnounce() error {
	renew := time.NewTimer(l.jitter(renewInterval))
	defer renew.Stop()
	for {
		select {
		case <-l.n.runCtx.Done():
			return nil
		case <-renew.C:
			held, err := l.keepLease()
			if err != nil {
				renew.Reset(renewRetryInterval)
				continue
			}
			renew.Reset(l.jitter(renewInterval))
			if held {
				continue
			}
		case <-l.announce:
		}
		err := l.write(l.n.runCtx)
		l.n.recordPlatformResult(err)
		if err != nil {
			l.requestAnnounce()
		}
		l.n.sleep(minAnnounceInterval)
	}
}

// requestAnnounce requests a write of this VM's entry.
func (l *rosterLoop) requestAnnounce() {
	select {
	case l.announce <- struct{}{}:
	default: // A write is already requested.
	}
}

// jitter returns a random time between half of a time and the whole of it.
func (l *rosterLoop) jitter(d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return d - time.Duration(l.rnd.Int64N(int64(d)/2+1))
}

// keepLease renews the lease and reports whether it is still held. After an error it may be.
func (l *rosterLoop) keepLease() (held bool, err error) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	held, err = l.n.cfg.Platform.KeepLease(l.n.runCtx, l.lease)
	if err == nil && !held {
		l.lease = 0
	}
	return held, err
}

// runEras writes this VM's entry again each time the platform was restored from an earlier copy. Lease and
// revision are not valid any more: the platform may have given out the same numbers to others.
func (l *rosterLoop) runEras() error {
	after, ended := l.n.cfg.Platform.Era()
	for {
		select {
		case <-l.n.runCtx.Done():
			return nil
		case <-ended:
		}
		before := after
		after, ended = l.n.cfg.Platform.Era()
		l.n.metrics.platformRestores.Add(1)
		l.n.cfg.Log.WithFields(log.Fields{"era_before": before, "era": after}).
			Warn("platform was restored from an earlier copy; this node's entry is written again")
		l.n.sleep(l.jitter(max(restoredSpread, time.Duration(len(l.vms()))*restoredSpreadPerVM)))
		l.writeMu.Lock()
		l.lease, l.revision = 0, 0
		l.writeMu.Unlock()
		l.requestAnnounce()
	}
}

// checkEra asks the platform for its era after a peer has reported a later one than this node knows.
func (l *rosterLoop) checkEra() {
	if !l.checkingEra.CompareAndSwap(false, true) {
		return
	}
	l.n.group.Go(func() error {
		defer l.checkingEra.Store(false)
		l.n.sleep(l.jitter(restoredSpread))
		// The answer has the era, whether the lease is held or not.
		if _, err := l.keepLease(); err != nil {
			l.n.sleep(time.Second)
		}
		return nil
	})
}

// write writes this VM's entry to the platform, under a new lease if there is none.
func (l *rosterLoop) write(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	platform := l.n.cfg.Platform
	l.mu.Lock()
	self := l.roster.Self()
	l.mu.Unlock()
	value, err := cbor.Marshal(self)
	if err != nil {
		panic("dfpnode: VM cannot be encoded: " + err.Error())
	}
	if l.lease == 0 {
		if l.lease, err = platform.GrantLease(ctx, dfproster.LeaseTTL); err != nil {
			return err
		}
	}
	write := dfpplatform.Write{Key: dfproster.Key(self), Expected: l.revision, Era: l.era, Value: value, Lease: l.lease}
	entry, err := platform.CompareAndSwap(ctx, write)
	if errors.Is(err, dfpplatform.ErrConflict) {
		// An earlier process wrote the entry, or the response to an earlier write was lost.
		write.Expected, write.Era = entry.Revision, entry.Era
		entry, err = platform.CompareAndSwap(ctx, write)
	}
	switch {
	case err == nil:
		l.revision, l.era = entry.Revision, entry.Era
		l.written.Store(l.revision)
	case errors.Is(err, dfpplatform.ErrInvalid):
		l.lease = 0
	}
	return err
}

// runWatch watches the platform's list of VMs while this node is one of its zone's watchers.
func (l *rosterLoop) runWatch() error {
	for l.n.runCtx.Err() == nil {
		if !l.isWatcher() {
			l.n.sleep(watcherCheckInterval)
			continue
		}
		ctx, cancel := context.WithCancel(l.n.runCtx)
		l.n.group.Go(func() error {
			for ctx.Err() == nil && l.isWatcher() {
				l.n.sleep(watcherCheckInterval)
			}
			cancel()
			return nil
		})
		_ = l.n.cfg.Platform.Watch(ctx, dfproster.KeyPrefix, l.handleEvent)
		cancel()
	}
	return nil
}

func (l *rosterLoop) isWatcher() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.Watcher()
}

// handleEvent passes an event of the platform's watch to the roster.
func (l *rosterLoop) handleEvent(event dfpplatform.Event) {
	now := time.Now()
	switch e := event.(type) {
	case dfpplatform.Listed:
		vms := make([]dfpvm.VM, 0, len(e.Entries))
		for _, entry := range e.Entries {
			vms = append(vms, l.decode(entry)...)
		}
		written := l.written.Load()
		selfWritten := written != 0 && written <= e.Revision
		l.do(func(r *dfproster.Roster) dfproster.Effects { return r.MergeList(now, vms, selfWritten) })
	case dfpplatform.Changed:
		vms := l.decode(e.Entry)
		l.do(func(r *dfproster.Roster) dfproster.Effects { return r.Merge(now, dfproster.SourcePlatform, vms) })
	case dfpplatform.Deleted:
		address := addressOf(e.Key)
		l.do(func(r *dfproster.Roster) dfproster.Effects { return r.LeaseExpired(now, address) })
	}
}

// decode returns the VM in an entry, or none if the entry is invalid.
func (l *rosterLoop) decode(entry dfpplatform.Entry) []dfpvm.VM {
	var vm dfpvm.VM
	err := cbor.Unmarshal(entry.Value, &vm)
	if err == nil {
		err = vm.Check()
	}
	if err == nil && dfproster.Key(vm) != entry.Key {
		err = fmt.Errorf("%w: its key is another VM's", dfpvm.ErrInvalid)
	}
	if err != nil {
		l.n.cfg.Log.WithField("key", entry.Key).WithError(err).Warn("platform entry is not a valid VM")
		return nil
	}
	return []dfpvm.VM{vm}
}

// leave announces that this VM has left. It writes the platform's entry at once because nothing writes
// it after the node has ended.
func (l *rosterLoop) leave(ctx context.Context) {
	l.updateSelf(func(vm *dfpvm.VM) { vm.Left = true })
	// The next ticks send the update to peers.
	l.n.sleep(3 * dfproster.TickInterval)
	if l.n.cfg.Platform == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := l.write(ctx); err != nil {
		l.n.cfg.Log.WithError(err).Warn("the platform was not informed that this VM shut down")
	}
}

// addressOf returns the address of the VM whose entry has the given key, as built by dfproster.Key.
func addressOf(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}
