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
	// slotTablePrefix is the platform's prefix of the zones' tables of claims.
	slotTablePrefix       = "dragonflyport/once/"
	slotTableTickInterval = 250 * time.Millisecond
	// planInterval is the time between plans while nothing changes.
	planInterval = time.Second
	// plannersPerZone is the number of nodes of a zone that look after its table.
	plannersPerZone = 3
	// plannerDelay is how much later each planner acts than the one before it.
	plannerDelay = 2 * time.Second
	// maxSlotTableElements bounds the table's arrays.
	maxSlotTableElements = 4096
)

// slotTableLoop keeps the table that says which nodes of the zone keep the claims of
// which slot: it brings newer tables in, and has the table changed when nodes come
// and go.
type slotTableLoop struct {
	l *claimsLoop

	mu           sync.Mutex // guards what follows
	copied       []dfponce.CopiedSlot
	newerVersion uint64
	newerFrom    string // Who was heard to know a newer table.
	// revision is the platform's of the table with version revisionOf; revisionOf
	// 0 means that the platform has not been asked.
	revision       uint64
	revisionOf     uint64
	revisionKnown  bool
	changeDueSince time.Time // Since when a change has been due.
	terminated     map[dfponce.Member]bool
	// seen holds the processes that the roster has shown. Since it only goes
	// forward, one of them that it shows no more has been followed by another.
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

// heard notes what a decision says of the table.
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

// run looks after the table until the node ends.
func (h *slotTableLoop) run() error {
	ticker := time.NewTicker(slotTableTickInterval)
	defer ticker.Stop()
	var planned time.Time
	for {
		select {
		case <-h.l.n.runCtx.Done():
			return nil
		case <-h.wake:
			h.l.n.sleep(time.Millisecond) // What comes together is handled at once.
		case <-ticker.C:
		}
		h.pull()
		if h.due(time.Since(planned)) {
			planned = time.Now()
			h.plan()
		}
	}
}

// due reports whether it is time to look whether the table has to change.
func (h *slotTableLoop) due(since time.Duration) bool {
	h.mu.Lock()
	soon := len(h.copied) > 0 || !h.changeDueSince.IsZero()
	h.mu.Unlock()
	return soon || since >= planInterval
}

// pull brings in a newer table, from the platform or a peer that knows it.
func (h *slotTableLoop) pull() {
	current := h.current().Version
	h.mu.Lock()
	behind, from := h.newerVersion > current, h.newerFrom
	h.newerVersion, h.newerFrom = 0, ""
	h.mu.Unlock()
	switch {
	case behind && from != "" && h.pullFrom(from) && h.current().Version > current:
	case behind:
		_ = h.read() // What comes next says again that this node is behind.
	case current == 0:
		h.pullFirst()
	}
}

// pullFirst looks for the first table. Most nodes ask a peer, so that a zone
// that starts all at once does not flood the platform.
func (h *slotTableLoop) pullFirst() {
	if h.rank() < plannersPerZone && h.read() == nil {
		return
	}
	if peer := h.l.contact(h.l.n.cfg.VM.Zone); peer != "" && peer != h.l.n.cfg.VM.Address {
		h.pullFrom(peer)
	}
}

// pullFrom asks a peer for its table and reports whether it had one.
func (h *slotTableLoop) pullFrom(address string) bool {
	ctx, cancel := context.WithTimeout(h.l.n.runCtx, probeTimeout)
	defer cancel()
	msg, err := dfppeer.Encode(dfppeer.TopicOnce, onceMessage{Pull: true})
	if err != nil {
		panic("dfpnode: a pull does not encode: " + err.Error())
	}
	reply, err := h.l.n.mesh.Ask(ctx, address, msg)
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

// read reads the platform's table.
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

// take adopts an entry of the platform.
func (h *slotTableLoop) adoptEntry(entry dfpplatform.Entry) {
	var table dfponce.SlotTable
	if entry.Revision != 0 {
		if err := slotTableDecMode.Unmarshal(entry.Value, &table); err != nil || table.Zone != h.l.n.cfg.VM.Zone {
			h.l.n.cfg.Log.WithField("key", entry.Key).Error("entry of the platform is not a table of claims")
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

// plan changes the zone's table if that is due and this node's turn.
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
		// What was planned from is not known to be the platform's.
		if h.read() != nil || h.current().Version != prev.Version {
			return
		}
	}
	h.store(prev, next)
}

// copying reports whether a new member copies one of this node's slots. If another
// member of it dies meanwhile, only this one knows that it has left the epoch before.
func (h *slotTableLoop) isCopySource(table dfponce.SlotTable) bool {
	for _, s := range table.Slots {
		if s.Copying(h.l.self()) {
			return true
		}
	}
	return false
}

// setChangeDue notes whether a change is due and returns for how long it has been.
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

// store writes a table in place of the one it was planned from.
func (h *slotTableLoop) store(prev, next dfponce.SlotTable) {
	value, err := cbor.Marshal(next)
	if err != nil {
		panic("dfpnode: a table of claims does not encode: " + err.Error())
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
		h.revisionKnown = false // The write may have taken effect: read before the next.
		h.mu.Unlock()
	}
}

// announce tells the members of the slots that have changed that there is a newer table.
func (h *slotTableLoop) announce(prev, next dfponce.SlotTable) {
	told := map[string]bool{h.l.n.cfg.VM.Address: true}
	tell := func(s dfponce.Slot) {
		for _, m := range s.Members {
			if !told[m.Member.Address] {
				told[m.Member.Address] = true
				h.l.n.tell(m.Member.Address, dfppeer.TopicOnce, onceMessage{Zone: next.Zone, Version: next.Version})
			}
		}
	}
	for i, s := range next.Slots {
		if i >= len(prev.Slots) {
			tell(s)
		} else if prev.Slots[i].Changed(s) {
			tell(prev.Slots[i])
			tell(s)
		}
	}
}
