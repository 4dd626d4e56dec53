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

func (h *slotTableLoop) init(l *claimsLoop) {
	h.l = l
	h.terminated = make(map[dfponce.Member]bool)
	h.seen = make(map[dfponce.Member]bool)
	h.wake = make(chan struct{}, 1)
}

func (h *slotTableLoop) current() dfponce.SlotTable {
	h.l.mu.Lock()
	defer h.l.mu.Unlock()
	return h.l.claims.SlotTable()
}

func (h *slotTableLoop) adopt(table dfponce.SlotTable) {
	h.l.do("", func(c *dfponce.ClaimManager) dfponce.Effects { return c.SetSlotTable(time.Now(), table) })
}

// observe records what the effects of a decision say about the table: newer versions and copied slots.
func (h *slotTableLoop) observe(from string, fx dfponce.Effects) {
	if fx.NewerVersion == 0 && len(fx.Copied) == 0 {
		return
	}
	current := h.current().Version
	if fx.NewerVersion <= current && len(fx.Copied) == 0 {
		return
	}
	h.mu.Lock()
	for _, c := range fx.Copied {
		if len(h.copied) < dfponce.DefaultSlots {
			h.copied = append(h.copied, c)
		}
	}
	behind := fx.NewerVersion > current
	if behind {
		h.newerVersion = max(h.newerVersion, fx.NewerVersion)
		if from != "" {
			h.newerFrom = from
		}
	}
	h.mu.Unlock()
	if !behind && len(fx.Copied) == 0 {
		return
	}
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// run maintains the table until the node ends.
func (h *slotTableLoop) run() error {
	ticker := time.NewTicker(slotTableTickInterval)
	defer ticker.Stop()
	var planned time.Time
	for {
		select {
		case <-h.l.n.runCtx.Done():
			return nil
		case <-h.wake:
			h.l.n.sleep(time.Millisecond) // Handles wake-ups that come together at once.
		case <-ticker.C:
		}
		h.pull()
		if h.due(time.Since(planned)) {
			planned = time.Now()
			h.plan()
		}
	}
}

// due reports whether to plan now, given the time since the last plan.
func (h *slotTableLoop) due(since time.Duration) bool {
	h.mu.Lock()
	soon := len(h.copied) > 0 || !h.changeDueSince.IsZero()
	h.mu.Unlock()
	return soon || since >= planInterval
}

// pull fetches a newer table, if one is known to exist, from the peer that has it or from the platform.
func (h *slotTableLoop) pull() {
	current := h.current().Version
	h.mu.Lock()
	behind, from := h.newerVersion > current, h.newerFrom
	h.newerVersion, h.newerFrom = 0, ""
	h.mu.Unlock()
	switch {
	case behind && from != "" && h.pullFrom(from) && h.current().Version > current:
	case behind:
		_ = h.read() // After a failure, the next message with a newer version causes another read.
	case current == 0:
		h.pullFirst()
	}
}

// pullFirst fetches the first table. Only planners read it from the platform; the other nodes ask a peer,
// so that a zone whose nodes all start at once does not overload the platform.
func (h *slotTableLoop) pullFirst() {
	if h.rank() < plannersPerZone && h.read() == nil {
		return
	}
	if peer := h.l.contact(h.l.n.cfg.VM.Zone); peer != "" && peer != h.l.n.cfg.VM.Address {
		h.pullFrom(peer)
	}
}

// pullFrom asks a peer for its table and reports whether the peer had one.
func (h *slotTableLoop) pullFrom(address string) bool {
	ctx, cancel := context.WithTimeout(h.l.n.runCtx, probeTimeout)
	defer cancel()
	msg, err := dfppeer.Encode(dfppeer.TopicOnce, onceMessage{Pull: true})
	if err != nil {
		panic("dfpnode: a pull cannot be encoded: " + err.Error())
	}
	reply, err := h.l.n.mesh.Call(ctx, address, msg)
	if err != nil {
		return false
	}
	m, err := dfppeer.Decode[onceMessage](reply)
	if err != nil || m.Table == nil || m.Table.Version == 0 {
		return false
	}
	h.adopt(*m.Table)
	return true
}

func (h *slotTableLoop) key() string { return slotTablePrefix + h.l.n.cfg.VM.Zone }

// read reads the table from the platform.
func (h *slotTableLoop) read() error {
	if h.l.n.cfg.Platform == nil {
		return dfpplatform.ErrUnavailable
	}
	entry, err := h.l.n.cfg.Platform.Get(h.l.n.runCtx, h.key())
	if err != nil {
		h.l.n.metrics.platformFailures.Add(1)
		return err
	}
	h.adoptEntry(entry)
	return nil
}

// adoptEntry adopts the table in an entry of the platform and records the entry's revision.
func (h *slotTableLoop) adoptEntry(entry dfpplatform.Entry) {
	var table dfponce.SlotTable
	if entry.Revision != 0 {
		if err := slotTableDecMode.Unmarshal(entry.Value, &table); err != nil || table.Zone != h.l.n.cfg.VM.Zone {
			h.l.n.cfg.Log.WithField("key", entry.Key).Error("platform entry is not a valid table of claims")
			return
		}
		h.adopt(table)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revisionKnown = true
	h.revision, h.revisionOf = entry.Revision, table.Version
}

var slotTableDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxSlotTableElements, MaxMapPairs: maxSlotTableElements}.DecMode()
	if err != nil {
		panic("dfpnode: " + err.Error())
	}
	return mode
}()

// plan writes a new table if a change is due and this node's delay as a planner has passed. A node with
// copied slots to record, or one that is stopping, does not wait.
func (h *slotTableLoop) plan() {
	h.planMu.Lock()
	defer h.planMu.Unlock()
	prev := h.current()
	h.mu.Lock()
	copied := h.copied
	h.copied = nil
	known := h.revisionKnown && h.revisionOf == prev.Version
	h.mu.Unlock()
	rank := h.rank()
	if rank >= plannersPerZone && len(copied) == 0 && !h.l.n.stopping.Load() && !h.isCopySource(prev) || h.l.n.cfg.Platform == nil {
		return
	}
	plan := h.newPlanInput(prev, copied)
	next, changed := dfponce.NextSlotTable(prev, plan)
	if !changed {
		h.setChangeDue(false)
		return
	}
	waited := h.setChangeDue(true)
	if waited < time.Duration(min(rank, plannersPerZone))*plannerDelay && len(copied) == 0 && !h.l.n.stopping.Load() {
		return
	}
	if !known {
		// The table that the plan is based on may not be the platform's latest.
		if h.read() != nil || h.current().Version != prev.Version {
			return
		}
	}
	h.store(prev, next)
}

// isCopySource reports whether a new member is copying one of this node's slots. If another
// member fails meanwhile, only this node knows that it has left the previous epoch.
func (h *slotTableLoop) isCopySource(table dfponce.SlotTable) bool {
	for _, s := range table.Slots {
		if s.Copying(h.l.self()) {
			return true
		}
	}
	return false
}

// setChangeDue records whether a change is due and returns for how long it has been.
func (h *slotTableLoop) setChangeDue(due bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !due {
		h.changeDueSince = time.Time{}
		return 0
	}
	if h.changeDueSince.IsZero() {
		h.changeDueSince = time.Now()
	}
	return time.Since(h.changeDueSince)
}

// store writes the table next to the platform if the platform still holds prev, on which next is based.
func (h *slotTableLoop) store(prev, next dfponce.SlotTable) {
	value, err := cbor.Marshal(next)
	if err != nil {
		panic("dfpnode: a table of claims cannot be encoded: " + err.Error())
	}
	h.mu.Lock()
	expected := h.revision
	h.mu.Unlock()
	entry, err := h.l.n.cfg.Platform.CompareAndSwap(h.l.n.runCtx, dfpplatform.Write{Key: h.key(), Expected: expected, Value: value})
	switch {
	case err == nil:
		h.mu.Lock()
		h.revision, h.revisionOf = entry.Revision, next.Version
		h.mu.Unlock()
		h.setChangeDue(false)
		h.adopt(next)
		h.announce(prev, next)
	case errors.Is(err, dfpplatform.ErrConflict):
		h.adoptEntry(entry)
	default:
		h.l.n.metrics.platformFailures.Add(1)
		h.mu.Lock()
		h.revisionKnown = false // The write may have taken effect: read the table before the next write.
		h.mu.Unlock()
	}
}

// announce notifies the old and new members of all changed slots of the new table.
func (h *slotTableLoop) announce(prev, next dfponce.SlotTable) {
	notified := map[string]bool{h.l.n.cfg.VM.Address: true}
	notify := func(s dfponce.Slot) {
		for _, m := range s.Members {
			if !notified[m.Member.Address] {
				notified[m.Member.Address] = true
				h.l.n.notify(m.Member.Address, dfppeer.TopicOnce, onceMessage{Zone: next.Zone, Version: next.Version})
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
