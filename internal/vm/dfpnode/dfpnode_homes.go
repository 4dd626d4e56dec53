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
	// homesPrefix is the platform's prefix of the zones' tables of claims.
	homesPrefix = "dragonflyport/once/"
	homesTick   = 250 * time.Millisecond
	// homesSteady is the time between plans while nothing changes.
	homesSteady = time.Second
	// planners is the number of nodes of a zone that look after its table.
	planners = 3
	// plannerDelay is how much later each planner acts than the one before it.
	plannerDelay = 2 * time.Second
	// homesMaxCBOR bounds the table's arrays.
	homesMaxCBOR = 4096
)

// homesLoop keeps the table that says which nodes of the zone keep the claims of
// which slot: it brings newer tables in, and has the table changed when nodes come
// and go.
type homesLoop struct {
	l *claimsLoop

	mu       sync.Mutex // guards what follows
	copied   []dfponce.CopiedSlot
	behind   uint64
	informer string // Who was heard to know a newer table.
	// revision is the platform's of the table with version revisionOf; revisionOf
	// 0 means that the platform has not been asked.
	revision   uint64
	revisionOf uint64
	asked      bool
	wanted     time.Time // Since when a change has been due.
	gone       map[dfponce.Member]bool
	// seen holds the processes that the roster has shown. Since it only goes
	// forward, one of them that it shows no more has been followed by another.
	seen map[dfponce.Member]bool

	planning sync.Mutex
	wake     chan struct{}
}

func (h *homesLoop) init(l *claimsLoop) {
	h.l = l
	h.gone = make(map[dfponce.Member]bool)
	h.seen = make(map[dfponce.Member]bool)
	h.wake = make(chan struct{}, 1)
}

func (h *homesLoop) current() dfponce.SlotTable {
	h.l.mu.Lock()
	defer h.l.mu.Unlock()
	return h.l.claims.SlotTable()
}

func (h *homesLoop) adopt(homes dfponce.SlotTable) {
	h.l.do("", func(c *dfponce.ClaimManager) dfponce.Effects { return c.SetSlotTable(time.Now(), homes) })
}

// heard notes what a decision says of the table.
func (h *homesLoop) heard(from string, fx dfponce.Effects) {
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
		h.behind = max(h.behind, fx.NewerVersion)
		if from != "" {
			h.informer = from
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
func (h *homesLoop) run() error {
	ticker := time.NewTicker(homesTick)
	defer ticker.Stop()
	var planned time.Time
	for {
		select {
		case <-h.l.n.life.Done():
			return nil
		case <-h.wake:
			h.l.n.pause(time.Millisecond) // What comes together is handled at once.
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
func (h *homesLoop) due(since time.Duration) bool {
	h.mu.Lock()
	soon := len(h.copied) > 0 || !h.wanted.IsZero()
	h.mu.Unlock()
	return soon || since >= homesSteady
}

// pull brings in a newer table, from the platform or a peer that knows it.
func (h *homesLoop) pull() {
	current := h.current().Version
	h.mu.Lock()
	behind, informer := h.behind > current, h.informer
	h.behind, h.informer = 0, ""
	h.mu.Unlock()
	switch {
	case behind && informer != "" && h.pullFrom(informer) && h.current().Version > current:
	case behind:
		_ = h.read() // What comes next says again that this node is behind.
	case current == 0:
		h.pullFirst()
	}
}

// pullFirst looks for the first table. Most nodes ask a peer, so that a zone
// that starts all at once does not flood the platform.
func (h *homesLoop) pullFirst() {
	if h.rank() < planners && h.read() == nil {
		return
	}
	if peer := h.l.contact(h.l.n.cfg.VM.Zone); peer != "" && peer != h.l.n.cfg.VM.Address {
		h.pullFrom(peer)
	}
}

// pullFrom asks a peer for its table and reports whether it had one.
func (h *homesLoop) pullFrom(address string) bool {
	ctx, cancel := context.WithTimeout(h.l.n.life, probeTimeout)
	defer cancel()
	msg, err := dfppeer.Encode(dfppeer.TopicOnce, onceMessage{Pull: true})
	if err != nil {
		panic("dfpnode: a pull does not encode: " + err.Error())
	}
	reply, err := h.l.n.mesh.Call(ctx, address, msg)
	if err != nil {
		return false
	}
	m, err := dfppeer.Decode[onceMessage](reply)
	if err != nil || m.Homes == nil || m.Homes.Version == 0 {
		return false
	}
	h.adopt(*m.Homes)
	return true
}

func (h *homesLoop) key() string { return homesPrefix + h.l.n.cfg.VM.Zone }

// read reads the platform's table.
func (h *homesLoop) read() error {
	if h.l.n.cfg.Platform == nil {
		return dfpplatform.ErrUnavailable
	}
	entry, err := h.l.n.cfg.Platform.Get(h.l.n.life, h.key())
	if err != nil {
		h.l.n.metrics.platformFailures.Add(1)
		return err
	}
	h.take(entry)
	return nil
}

// take adopts an entry of the platform.
func (h *homesLoop) take(entry dfpplatform.Entry) {
	var homes dfponce.SlotTable
	if entry.Revision != 0 {
		if err := homesDecMode.Unmarshal(entry.Value, &homes); err != nil || homes.Zone != h.l.n.cfg.VM.Zone {
			h.l.n.cfg.Log.WithField("key", entry.Key).Error("entry of the platform is not a table of claims")
			return
		}
		h.adopt(homes)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked = true
	h.revision, h.revisionOf = entry.Revision, homes.Version
}

var homesDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: homesMaxCBOR, MaxMapPairs: homesMaxCBOR}.DecMode()
	if err != nil {
		panic("dfpnode: " + err.Error())
	}
	return mode
}()

// plan changes the zone's table if that is due and this node's turn.
func (h *homesLoop) plan() {
	h.planning.Lock()
	defer h.planning.Unlock()
	prev := h.current()
	h.mu.Lock()
	copied := h.copied
	h.copied = nil
	known := h.asked && h.revisionOf == prev.Version
	h.mu.Unlock()
	rank := h.rank()
	if rank >= planners && len(copied) == 0 && !h.l.n.stopping.Load() && !h.copying(prev) || h.l.n.cfg.Platform == nil {
		return
	}
	plan := h.newPlan(prev, copied)
	next, changed := dfponce.NextSlotTable(prev, plan)
	if !changed {
		h.setWanted(false)
		return
	}
	waited := h.setWanted(true)
	if waited < time.Duration(min(rank, planners))*plannerDelay && len(copied) == 0 && !h.l.n.stopping.Load() {
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
func (h *homesLoop) copying(homes dfponce.SlotTable) bool {
	for _, s := range homes.Slots {
		if s.Copying(h.l.self()) {
			return true
		}
	}
	return false
}

// setWanted notes whether a change is due and returns for how long it has been.
func (h *homesLoop) setWanted(wanted bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !wanted {
		h.wanted = time.Time{}
		return 0
	}
	if h.wanted.IsZero() {
		h.wanted = time.Now()
	}
	return time.Since(h.wanted)
}

// store writes a table in place of the one it was planned from.
func (h *homesLoop) store(prev, next dfponce.SlotTable) {
	value, err := cbor.Marshal(next)
	if err != nil {
		panic("dfpnode: a table of claims does not encode: " + err.Error())
	}
	h.mu.Lock()
	expected := h.revision
	h.mu.Unlock()
	entry, err := h.l.n.cfg.Platform.CompareAndSwap(h.l.n.life, dfpplatform.Write{Key: h.key(), Expected: expected, Value: value})
	switch {
	case err == nil:
		h.mu.Lock()
		h.revision, h.revisionOf = entry.Revision, next.Version
		h.mu.Unlock()
		h.setWanted(false)
		h.adopt(next)
		h.announce(prev, next)
	case errors.Is(err, dfpplatform.ErrConflict):
		h.take(entry)
	default:
		h.l.n.metrics.platformFailures.Add(1)
		h.mu.Lock()
		h.asked = false // The write may have taken effect: read before the next.
		h.mu.Unlock()
	}
}

// announce tells the members of the slots that have changed that there is a newer table.
func (h *homesLoop) announce(prev, next dfponce.SlotTable) {
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
