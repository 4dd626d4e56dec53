package dfponce

import (
	"fmt"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Send is a message to another node.
type Send struct {
	To      string
	Message Message
}

// Decision ends the wait of an attempt. Run is true if it may run; then Finish
// must be called with its outcome. Otherwise Outcome is the answer to the caller.
type Decision struct {
	Attempt dfpcall.RequestID
	Run     bool
	Outcome dfpcall.Outcome
}

// Effects are what follows from a call of Claims.
type Effects struct {
	Sends     []Send
	Decisions []Decision
	// Copied lists the slots of which this node, a new member, has copied all;
	// the table in the platform should be told. It is repeated until SetSlotTable shows that.
	Copied []CopiedSlot
	// NewerVersion is the highest version of the zone's table that was heard of, if
	// above the one in use.
	NewerVersion uint64
}

// Claims decides which of the requests with one Idempotency-Key runs. It has
// two roles: for attempts that begin on this node, and for the slots of which this
// node is a member.
//
// Invariant, over all nodes: of the attempts with one claim id at most one is
// ever decided Run and not finished with *dfpcall.NotRun. It holds without limit
// for keys that tell their time (KeyTime), and for others as long as no repeat
// comes later than Retention after the attempt before it.
type ClaimManager struct {
	cfg   Config
	start time.Time
	// homes is the table in use, and held the slots of which this node is a
	// member, nil elsewhere.
	homes SlotTable
	held  []*heldSlot
	// views are the latest lines heard of each zone's slots, for the attempts.
	views    map[string]*zoneView
	attempts map[dfpcall.RequestID]*attempt
	order    []*attempt
	claims   int
	bytes    int
	behind   uint64
	stopping bool
}

// New returns Claims that know no table yet and refuse all keys.
func NewClaimManager(now time.Time, cfg Config) *ClaimManager {
	return &ClaimManager{
		cfg:      cfg.withDefaults(),
		start:    now,
		views:    make(map[string]*zoneView),
		attempts: make(map[dfpcall.RequestID]*attempt),
	}
}

// since is the time since New, by the monotonic clock.
func (c *ClaimManager) since(now time.Time) time.Duration { return now.Sub(c.start) }

// SlotTable returns the table in use.
func (c *ClaimManager) SlotTable() SlotTable { return c.homes }

// SetSlotTable takes the zone's table as read from the platform or a peer. Older
// versions are ignored.
func (c *ClaimManager) SetSlotTable(now time.Time, homes SlotTable) Effects {
	var fx Effects
	if homes.Zone != c.cfg.Zone || homes.Version <= c.homes.Version {
		return fx
	}
	c.homes = homes
	if c.held == nil {
		c.held = make([]*heldSlot, len(homes.Slots))
	}
	if len(c.held) != len(homes.Slots) {
		panic(fmt.Sprintf("dfponce: the number of slots of zone %s changed from %d to %d", homes.Zone, len(c.held), len(homes.Slots)))
	}
	for i, line := range homes.Slots {
		c.adopt(now, i, line, &fx)
		c.see(now, homes.Zone, i, len(homes.Slots), line, &fx)
	}
	fx.NewerVersion = c.newerVersion()
	return fx
}

// Handle takes a message of another node's Claims. from is its address.
func (c *ClaimManager) Handle(now time.Time, from string, m Message) Effects {
	var fx Effects
	c.handle(now, from, m, &fx)
	fx.NewerVersion = c.newerVersion()
	return fx
}

func (c *ClaimManager) handle(now time.Time, from string, m Message, fx *Effects) {
	switch m := m.(type) {
	case *VoteRequest:
		c.onBegin(now, from, m, fx)
	case *Finish:
		c.onFinish(now, from, m, fx)
	case *Vote:
		c.onVote(now, from, m, fx)
	case *FinishAck:
		c.onFinished(from, m)
	case *Redirect:
		c.onRedirect(now, m, fx)
	case *Copy:
		c.onCopy(now, from, m, fx)
	case *CopyAck:
		c.onCopyTaken(now, from, m, fx)
	}
}

// send sends a message, or handles it at once if it is for this node.
func (c *ClaimManager) send(now time.Time, to string, m Message, fx *Effects) {
	if to == c.cfg.Self.Address {
		c.handle(now, to, m, fx)
		return
	}
	fx.Sends = append(fx.Sends, Send{to, m})
}

func (c *ClaimManager) newerVersion() uint64 {
	if c.behind > c.homes.Version {
		return c.behind
	}
	return 0
}

// Tick sends again what was not answered, ends what has waited too long and
// forgets what has expired. It is called several times per Resend.
func (c *ClaimManager) Tick(now time.Time) Effects {
	var fx Effects
	c.tickAttempts(now, &fx)
	for _, h := range c.held {
		if h != nil {
			c.tickSlot(now, h, &fx)
		}
	}
	fx.NewerVersion = c.newerVersion()
	return fx
}

// Stop begins a planned stop: attempts that wait are ended, and no new ones
// are taken. The node goes on handling messages until Needed returns false.
func (c *ClaimManager) Stop(now time.Time) Effects {
	var fx Effects
	c.stopping = true
	for _, a := range c.order {
		if a.state == attemptWaiting {
			c.giveUp(now, a, dfpcall.ReasonDraining, &fx)
		}
	}
	return fx
}

// Needed reports whether others still need this node: the table names it, or
// an attempt from here is running or its outcome not yet recorded.
func (c *ClaimManager) Needed() bool {
	for _, h := range c.held {
		if h != nil {
			return true
		}
	}
	for _, a := range c.order {
		if !a.forgotten && !a.gaveUp {
			return true
		}
	}
	return false
}

// Status is what Claims hold now, for a state dump.
type Status struct {
	Zone        string `json:"zone"`
	Version     uint64 `json:"version"`
	Slots       int    `json:"slots"`
	Unsynced    int    `json:"unsynced_slots"`
	Claims      int    `json:"claims"`
	AnswerBytes int    `json:"answer_bytes"`
	Attempts    int    `json:"attempts"`
}

// Status returns what the claims hold now.
func (c *ClaimManager) Status() Status {
	s := Status{Zone: c.cfg.Zone, Version: c.homes.Version, Claims: c.claims, AnswerBytes: c.bytes, Attempts: len(c.attempts)}
	for _, h := range c.held {
		if h == nil {
			continue
		}
		s.Slots++
		if !h.line.synced() {
			s.Unsynced++
		}
	}
	return s
}
