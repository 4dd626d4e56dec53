package dfpnode

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dragonflyport/internal/contract/dfponce"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/link/dfpplatform"
)

const (
	// slotTablePrefix is the prefix of the platform's keys for the zones' slot tables of claims.
	slotTablePrefix       = "dragonflyport/once/"
	slotTableTickInterval = 250 * time.Millisecond
	// planInterval is the time between plans while no change is due.
	planInterval = time.Second
	// plannersPerZone is the number of nodes of a zone that plan changes of its slot table.
	plannersPerZone = 3
	// plannerDelay is how long each planner waits after the one of the next lower rank.
	plannerDelay = 2 * time.Second
	// maxSlotTableElements limits the length of each array and map in an encoded slot table.
	maxSlotTableElements = 4096
)

// slotTableLoop maintains the zone's slot table, which says which nodes keep the claims of which slot. It
// fetches newer versions, and it plans and writes a new version when nodes join or leave.
type slotTableLoop struct {
	l *claimsLoop

	mu           sync.Mutex // Guards the fields up to seen.
	copied       []dfponce.CopiedSlot
	newerVersion uint64
	newerFrom    string // A peer that has a newer table.
	// revision is the platform's revision of the table of version revisionOf. It is valid if
	// revisionKnown is set; revisionOf is 0 if the platform has no table.
	revision       uint64
	revisionOf     uint64
	revisionKnown  bool
	changeDueSince time.Time // When a change of the table became due; zero if none is.
	terminated     map[dfponce.Member]bool
	// seen holds the processes that the roster has shown, the latest one of each address. The roster
	// never returns to an earlier process of an address, so a process that was replaced has terminated.
	seen map[dfponce.Member]bool

	planMu sync.Mutex
	wake   chan struct{}
}

func (t *slotTableLoop) init(l *claimsLoop) {
	t.l = l
	t.terminated = make(map[dfponce.Member]bool)
	t.seen = make(map[dfponce.Member]bool)
	t.wake = make(chan struct{}, 1)
}

func (t *slotTableLoop) current() dfponce.SlotTable {
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	return t.l.claims.SlotTable()
}

func (t *slotTableLoop) adopt(table dfponce.SlotTable) {
	t.l.do("", func(c *dfponce.ClaimManager) dfponce.Effects { return c.SetSlotTable(time.Now(), table) })
}

// observe records what the effects of a decision say about the table: newer versions and copied slots.
func (t *slotTableLoop) observe(from string, fx dfponce.Effects) {
	if fx.NewerVersion == 0 && len(fx.Copied) == 0 {
		return
	}
	current := t.current().Version
	if fx.NewerVersion <= current && len(fx.Copied) == 0 {
		return
	}
	t.mu.Lock()
	for _, c := range fx.Copied {
		if len(t.copied) < dfponce.DefaultSlots {
			t.copied = append(t.copied, c)
		}
	}
	behind := fx.NewerVersion > current
	if behind {
		t.newerVersion = max(t.newerVersion, fx.NewerVersion)
		if from != "" {
			t.newerFrom = from
		}
	}
	t.mu.Unlock()
	if !behind && len(fx.Copied) == 0 {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run maintains the table until the node ends.
func (t *slotTableLoop) run() error {
	ticker := time.NewTicker(slotTableTickInterval)
	defer ticker.Stop()
	var planned time.Time
	for {
		select {
		case <-t.l.n.runCtx.Done():
			return nil
		case <-t.wake:
			t.l.n.sleep(time.Millisecond) // Wake-ups that come close together are handled as one.
		case <-ticker.C:
		}
		t.pull()
		if t.due(time.Since(planned)) {
			planned = time.Now()
			t.plan()
		}
	}
}

// due reports whether to plan now, given the time since the last plan.
func (t *slotTableLoop) due(since time.Duration) bool {
	t.mu.Lock()
	soon := len(t.copied) > 0 || !t.changeDueSince.IsZero()
	t.mu.Unlock()
	return soon || since >= planInterval
}

// pull fetches a newer table, if one is known to exist, from the peer that has it or from the platform.
func (t *slotTableLoop) pull() {
	current := t.current().Version
	t.mu.Lock()
	behind, from := t.newerVersion > current, t.newerFrom
	t.newerVersion, t.newerFrom = 0, ""
	t.mu.Unlock()
	switch {
	case behind && from != "" && t.pullFrom(from) && t.current().Version > current:
	case behind:
		_ = t.read() // After a failure, the next message with a newer version causes another read.
	case current == 0:
		t.pullFirst()
	}
}

// pullFirst fetches the first table. Only planners read it from the platform; the other nodes ask a peer,
// so that a zone whose nodes all start at once does not overload the platform.
func (t *slotTableLoop) pullFirst() {
	if t.rank() < plannersPerZone && t.read() == nil {
		return
	}
	if peer := t.l.contact(t.l.n.cfg.VM.Zone); peer != "" && peer != t.l.n.cfg.VM.Address {
		t.pullFrom(peer)
	}
}

// pullFrom asks a peer for its table and reports whether the peer had one.
func (t *slotTableLoop) pullFrom(address string) bool {
	ctx, cancel := context.WithTimeout(t.l.n.runCtx, probeTimeout)
	defer cancel()
	msg, err := dfppeer.Encode(dfppeer.TopicOnce, onceMessage{Pull: true})
	if err != nil {
		panic("dfpnode: a pull cannot be encoded: " + err.Error())
	}
	reply, err := t.l.n.mesh.Call(ctx, address, msg)
	if err != nil {
		return false
	}
	m, err := dfppeer.Decode[onceMessage](reply)
	if err != nil || m.Table == nil || m.Table.Version == 0 {
		return false
	}
	t.adopt(*m.Table)
	return true
}

func (t *slotTableLoop) key() string { return slotTablePrefix + t.l.n.cfg.VM.Zone }

// read reads the table from the platform.
func (t *slotTableLoop) read() error {
	if t.l.n.cfg.Platform == nil {
		return dfpplatform.ErrUnavailable
	}
	entry, err := t.l.n.cfg.Platform.Get(t.l.n.runCtx, t.key())
	if err != nil {
		t.l.n.metrics.platformFailures.Add(1)
		return err
	}
	t.adoptEntry(entry)
	return nil
}

// adoptEntry adopts the table in an entry of the platform and records the entry's revision.
func (t *slotTableLoop) adoptEntry(entry dfpplatform.Entry) {
	var table dfponce.SlotTable
	if entry.Revision != 0 {
		if err := slotTableDecMode.Unmarshal(entry.Value, &table); err != nil || table.Zone != t.l.n.cfg.VM.Zone {
			t.l.n.cfg.Log.WithField("key", entry.Key).Error("platform entry is not a valid slot table of claims")
			return
		}
		t.adopt(table)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revisionKnown = true
	t.revision, t.revisionOf = entry.Revision, table.Version
}

var slotTableDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxSlotTableElements, MaxMapPairs: maxSlotTableElements}.DecMode()
	if err != nil {
		panic("dfpnode: decoder of slot tables cannot be configured: " + err.Error())
	}
	return mode
}()

// plan writes a new table if a change is due and this node's delay as a planner has passed. A node with
// copied slots to record, or one that is stopping, does not wait.
func (t *slotTableLoop) plan() {
	t.planMu.Lock()
	defer t.planMu.Unlock()
	prev := t.current()
	t.mu.Lock()
	copied := t.copied
	t.copied = nil
	known := t.revisionKnown && t.revisionOf == prev.Version
	t.mu.Unlock()
	rank := t.rank()
	if rank >= plannersPerZone && len(copied) == 0 && !t.l.n.stopping.Load() && !t.isCopySource(prev) || t.l.n.cfg.Platform == nil {
		return
	}
	plan := t.newPlanInput(prev, copied)
	next, changed := dfponce.NextSlotTable(prev, plan)
	if !changed {
		t.setChangeDue(false)
		return
	}
	waited := t.setChangeDue(true)
	if waited < time.Duration(min(rank, plannersPerZone))*plannerDelay && len(copied) == 0 && !t.l.n.stopping.Load() {
		return
	}
	if !known {
		// The table that the plan is based on may not be the platform's latest.
		if t.read() != nil || t.current().Version != prev.Version {
			return
		}
	}
	t.store(prev, next)
}

// isCopySource reports whether a new member is copying one of this node's slots. If another member fails
// meanwhile, no other node knows that this node has left the slot's previous epoch.
func (t *slotTableLoop) isCopySource(table dfponce.SlotTable) bool {
	for _, s := range table.Slots {
		if s.Copying(t.l.self()) {
			return true
		}
	}
	return false
}

// setChangeDue records whether a change is due and returns for how long it has been.
func (t *slotTableLoop) setChangeDue(due bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !due {
		t.changeDueSince = time.Time{}
		return 0
	}
	if t.changeDueSince.IsZero() {
		t.changeDueSince = time.Now()
	}
	return time.Since(t.changeDueSince)
}

// store writes the table next to the platform if the platform still holds prev, on which next is based.
func (t *slotTableLoop) store(prev, next dfponce.SlotTable) {
	value, err := cbor.Marshal(next)
	if err != nil {
		panic("dfpnode: slot table of claims cannot be encoded: " + err.Error())
	}
	t.mu.Lock()
	expected := t.revision
	t.mu.Unlock()
	entry, err := t.l.n.cfg.Platform.CompareAndSwap(t.l.n.runCtx, dfpplatform.Write{Key: t.key(), Expected: expected, Value: value})
	switch {
	case err == nil:
		t.mu.Lock()
		t.revision, t.revisionOf = entry.Revision, next.Version
		t.mu.Unlock()
		t.setChangeDue(false)
		t.adopt(next)
		t.announce(prev, next)
	case errors.Is(err, dfpplatform.ErrConflict):
		t.adoptEntry(entry)
	default:
		t.l.n.metrics.platformFailures.Add(1)
		t.mu.Lock()
		t.revisionKnown = false // The write may have taken effect: read the table before the next write.
		t.mu.Unlock()
	}
}

// announce notifies the old and new members of all changed slots of the new table.
func (t *slotTableLoop) announce(prev, next dfponce.SlotTable) {
	notified := map[string]bool{t.l.n.cfg.VM.Address: true}
	notify := func(s dfponce.Slot) {
		for _, m := range s.Members {
			if !notified[m.Member.Address] {
				notified[m.Member.Address] = true
				t.l.n.notify(m.Member.Address, dfppeer.TopicOnce, onceMessage{Zone: next.Zone, Version: next.Version})
			}
		}
	}
	for i, s := range next.Slots {
		if i >= len(prev.Slots) {
			notify(s)
		} else if prev.Slots[i].Changed(s) {
			notify(prev.Slots[i])
			notify(s)
		}
	}
}
