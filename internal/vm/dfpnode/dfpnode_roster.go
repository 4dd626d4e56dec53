package dfpnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

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
	// announcePause is the time after a failed write of the entry, and the least between two: an entry that
	// lapsed while the platform was away has to be back within two seconds, and a fleet that starts
	// changes its entries twice in the first.
	announcePause = 800 * time.Millisecond
	watchCheck    = time.Second
)

// rosterLoop keeps the roster: it announces this VM in the platform, watches the
// platform when this node is one of its zone's watchers, and talks to peers.
type rosterLoop struct {
	n *Node

	mu     sync.Mutex
	roster *dfproster.Roster
	rnd    *rand.Rand
	// noted is what the log says of other VMs, by address.
	noted map[string]dfpevent.VM

	// announce holds one wish to write this VM's entry anew.
	announce chan struct{}
	// writing is held while the entry is written; it guards lease.
	writing  sync.Mutex
	lease    uint64
	revision uint64 // Of the entry, as far as is known.
}

func (l *rosterLoop) init(n *Node) {
	l.n = n
	l.roster = dfproster.New(dfproster.Config{Self: n.cfg.VM, Seeds: n.cfg.Seeds, Watchers: n.cfg.Watchers})
	l.rnd = n.newRand(streamRoster)
	l.noted = make(map[string]dfpevent.VM)
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
		l.note()
	}
	for _, send := range effects.Sends {
		l.n.tell(send.To, dfppeer.TopicRoster, send.Message)
	}
	for _, address := range effects.Probes {
		l.n.group.Go(func() error { l.probe(address); return nil })
	}
	if effects.Announce {
		l.wantAnnounce()
	}
}

// vms returns the VMs that can be reached as far as is known.
func (l *rosterLoop) vms() []dfpvm.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.VMs()
}

// note writes to the log what has changed in what is believed of other VMs.
func (l *rosterLoop) note() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.roster.Members() {
		believed := dfpevent.VM{Address: m.VM.Address, Service: m.VM.Service, State: m.State.String()}
		switch {
		case m.VM.Left:
			believed.State = "left"
		case m.State == dfproster.StateUp && m.VM.Draining:
			believed.State = "draining"
		}
		if believed.Address == l.n.cfg.VM.Address || l.noted[believed.Address] == believed {
			continue
		}
		l.noted[believed.Address] = believed
		dfpevent.Write(l.n.journal, time.Now(), func() *dfpevent.VM { return &believed })
	}
}

// apply hands the list of VMs to those who decide by it.
func (l *rosterLoop) apply() {
	vms := l.vms()
	l.n.applyVMs(vms)
	l.n.rates.setPeers(vms)
	if !l.n.cfg.NoClaims {
		l.n.claims.setPeers(vms)
	}
}

// applyVMs gives the router the VMs and those that the rules drain.
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

func (l *rosterLoop) changeSelf(change func(*dfpvm.VM)) {
	l.do(func(r *dfproster.Roster) dfproster.Effects {
		vm := r.Self()
		change(&vm)
		return r.SetSelf(time.Now(), vm)
	})
}

// run ticks the roster and keeps its loops with the platform.
func (l *rosterLoop) run() error {
	if l.n.cfg.Platform != nil {
		l.n.group.Go(l.runAnnounce)
		l.n.group.Go(l.runWatch)
	}
	ticker := time.NewTicker(dfproster.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.n.life.Done():
			return nil
		case now := <-ticker.C:
			l.do(func(r *dfproster.Roster) dfproster.Effects { return r.Tick(now, l.rnd) })
		}
	}
}

// probe looks whether a VM's process answers. That something accepts connections at the
// address is not enough: only a node that knows the secret can answer.
func (l *rosterLoop) probe(address string) {
	ctx, cancel := context.WithTimeout(l.n.life, probeTimeout)
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

// unreachable takes in that a VM's process did not answer, or that its address refuses connections.
func (l *rosterLoop) unreachable(address string, refused bool) {
	if refused {
		l.n.rates.setUnreachable(address)
	}
	l.do(func(r *dfproster.Roster) dfproster.Effects { return r.RecordFailure(time.Now(), address, refused) })
}

// observePeer takes in what a peer says of itself on each answer and heartbeat.
func (n *Node) observePeer(from string, incarnation, version uint64, load dfpcall.Load) {
	n.router.Observe(time.Now(), from, load)
	n.config.heard(from, version)
	n.roster.do(func(r *dfproster.Roster) dfproster.Effects { return r.RecordContact(time.Now(), from, incarnation) })
}

// runAnnounce keeps this VM's entry in the platform, bound to a lease.
func (l *rosterLoop) runAnnounce() error {
	renew := time.NewTicker(dfproster.LeaseTTL / 3)
	defer renew.Stop()
	for {
		select {
		case <-l.n.life.Done():
			return nil
		case <-renew.C:
			if l.keepLease() {
				continue
			}
		case <-l.announce:
		}
		err := l.write(l.n.life)
		l.n.heardPlatform(err)
		if err != nil {
			l.wantAnnounce()
		}
		l.n.pause(announcePause)
	}
}

// wantAnnounce has the entry written anew.
func (l *rosterLoop) wantAnnounce() {
	select {
	case l.announce <- struct{}{}:
	default: // One wish is enough.
	}
}

// keepLease renews the lease and reports whether it is still held.
func (l *rosterLoop) keepLease() bool {
	l.writing.Lock()
	defer l.writing.Unlock()
	held, err := l.n.cfg.Platform.KeepLease(l.n.life, l.lease)
	if err == nil && held {
		return true
	}
	l.lease = 0
	return false
}

// write writes this VM's entry.
func (l *rosterLoop) write(ctx context.Context) error {
	l.writing.Lock()
	defer l.writing.Unlock()
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
	write := dfpplatform.Write{Key: dfproster.Key(self), Expected: l.revision, Value: value, Lease: l.lease}
	entry, err := platform.CompareAndSwap(ctx, write)
	if errors.Is(err, dfpplatform.ErrConflict) {
		// The entry is an earlier process's, or this one's whose answer was lost.
		write.Expected = entry.Revision
		entry, err = platform.CompareAndSwap(ctx, write)
	}
	switch {
	case err == nil:
		l.revision = entry.Revision
	case errors.Is(err, dfpplatform.ErrInvalid):
		l.lease = 0
	}
	return err
}

// runWatch watches the platform's list of VMs while this node is one of its
// zone's watchers.
func (l *rosterLoop) runWatch() error {
	for l.n.life.Err() == nil {
		if !l.watcher() {
			l.n.pause(watchCheck)
			continue
		}
		ctx, cancel := context.WithCancel(l.n.life)
		l.n.group.Go(func() error {
			for ctx.Err() == nil && l.watcher() {
				l.n.pause(watchCheck)
			}
			cancel()
			return nil
		})
		_ = l.n.cfg.Platform.Watch(ctx, dfproster.KeyPrefix, l.report)
		cancel()
	}
	return nil
}

func (l *rosterLoop) watcher() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.Watcher()
}

// report takes in what the platform's watch says.
func (l *rosterLoop) report(event dfpplatform.Event) {
	now := time.Now()
	switch e := event.(type) {
	case dfpplatform.Listed:
		vms := make([]dfpvm.VM, 0, len(e.Entries))
		for _, entry := range e.Entries {
			vms = append(vms, l.decode(entry)...)
		}
		l.do(func(r *dfproster.Roster) dfproster.Effects { return r.MergeList(now, vms) })
	case dfpplatform.Changed:
		vms := l.decode(e.Entry)
		l.do(func(r *dfproster.Roster) dfproster.Effects { return r.Merge(now, dfproster.SourcePlatform, vms) })
	case dfpplatform.Deleted:
		address := addressOf(e.Key)
		l.do(func(r *dfproster.Roster) dfproster.Effects { return r.LeaseExpired(now, address) })
	}
}

// decode returns the VM of an entry, or none if it is not one.
func (l *rosterLoop) decode(entry dfpplatform.Entry) []dfpvm.VM {
	var vm dfpvm.VM
	if err := cbor.Unmarshal(entry.Value, &vm); err != nil || dfproster.Key(vm) != entry.Key {
		l.n.cfg.Log.WithField("key", entry.Key).Warn("entry of the platform is not a VM")
		return nil
	}
	return []dfpvm.VM{vm}
}

// leave announces that this VM has gone. The platform's entry is written at once,
// since nobody writes it later.
func (l *rosterLoop) leave(ctx context.Context) {
	l.changeSelf(func(vm *dfpvm.VM) { vm.Left = true })
	// The news goes out with the next ticks.
	l.n.pause(3 * dfproster.TickInterval)
	if l.n.cfg.Platform == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := l.write(ctx); err != nil {
		l.n.cfg.Log.WithError(err).Warn("the platform was not told that this VM has gone")
	}
}

// addressOf returns the address of the VM that dfproster.Key made a key for.
func addressOf(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}
