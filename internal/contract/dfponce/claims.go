package dfponce

import (
	"fmt"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Send is a message to send to another node.
type Send struct {
	To      string
	Message Message
}

// Decision ends the wait of an attempt. If Run is true the attempt may run, and Finish must be
// called with its outcome. Otherwise Outcome is the answer to the caller.
type Decision struct {
	Attempt dfpcall.RequestID
	Run     bool
	Outcome dfpcall.Outcome
}

// Effects are the actions that the caller of a ClaimManager method must carry out.
type Effects struct {
	Sends     []Send
	Decisions []Decision
	// Copied lists the slots in which this node, a new member, has copied all claims. The planner of
	// the slot table needs this list (PlanInput.Copied). A slot is listed again until a table from
	// SetSlotTable shows it as synced.
	Copied []CopiedSlot
	// NewerVersion is the highest version of the zone's slot table that other nodes have mentioned,
	// or 0 if it is not higher than the version in use.
	NewerVersion uint64
}

// ClaimManager decides which of the requests with one Idempotency-Key runs. It has two roles: it
// requests votes for the attempts that begin on this node, and it votes for the slots of which this
// node is a member.
//
// Invariant, over all nodes: of the attempts with one ClaimID, at most one is ever decided Run and
// not finished with *dfpcall.NotRun. It holds without time limit for keys that contain their
// creation time (KeyTime). For other keys it holds as long as no repeat arrives later than Retention
// after the attempt before it.
type ClaimManager struct {
	cfg   Config
	start time.Time
	// table is the slot table in use.
	table SlotTable
	// localSlots holds each slot of which this node is a member at its index, and nil elsewhere.
	localSlots []*localSlot
	// zoneRows holds the latest known rows of each zone's slot table. Attempts count votes by them.
	zoneRows       map[string]*zoneRows
	attempts       map[dfpcall.RequestID]*attempt
	attemptList    []*attempt // In the order in which they began.
	claimCount     int
	answerBytes    int
	highestVersion uint64
	stopping       bool
}

// NewClaimManager returns a ClaimManager without a slot table. It refuses all keys until it has one.
func NewClaimManager(now time.Time, cfg Config) *ClaimManager {
	return &ClaimManager{
		cfg:      cfg.withDefaults(),
		start:    now,
		zoneRows: make(map[string]*zoneRows),
		attempts: make(map[dfpcall.RequestID]*attempt),
	}
}

// elapsed returns the time since the ClaimManager was created, by the monotonic clock.
func (c *ClaimManager) elapsed(now time.Time) time.Duration { return now.Sub(c.start) }

// SlotTable returns the slot table in use.
func (c *ClaimManager) SlotTable() SlotTable { return c.table }

// SetSlotTable installs the zone's slot table, as read from the platform or a peer. It ignores
// tables of other zones and versions that are not newer. It panics if the number of slots changes.
func (c *ClaimManager) SetSlotTable(now time.Time, table SlotTable) Effects {
	var effects Effects
	if table.Zone != c.cfg.Zone || table.Version <= c.table.Version {
		return effects
	}
	c.table = table
	if c.localSlots == nil {
		c.localSlots = make([]*localSlot, len(table.Slots))
	}
	if len(c.localSlots) != len(table.Slots) {
		panic(fmt.Sprintf("dfponce: number of slots of zone %s changed from %d to %d", table.Zone, len(c.localSlots), len(table.Slots)))
	}
	for i, row := range table.Slots {
		c.applyRow(now, i, row, &effects)
		c.updateRow(now, table.Zone, i, len(table.Slots), row, &effects)
	}
	effects.NewerVersion = c.newerVersion()
	return effects
}

// Handle processes a message from the ClaimManager of another node. from is the address of that
// node.
func (c *ClaimManager) Handle(now time.Time, from string, m Message) Effects {
	var effects Effects
	c.handle(now, from, m, &effects)
	effects.NewerVersion = c.newerVersion()
	return effects
}

func (c *ClaimManager) handle(now time.Time, from string, m Message, effects *Effects) {
	switch m := m.(type) {
	case *VoteRequest:
		c.onVoteRequest(now, from, m, effects)
	case *Finish:
		c.onFinish(now, from, m, effects)
	case *Vote:
		c.onVote(now, from, m, effects)
	case *FinishAck:
		c.onFinishAck(from, m)
	case *Redirect:
		c.onRedirect(now, m, effects)
	case *Copy:
		c.onCopy(now, from, m, effects)
	case *CopyAck:
		c.onCopyAck(now, from, m, effects)
	}
}

// send adds a message to effects, or handles it at once if it is addressed to this node.
func (c *ClaimManager) send(now time.Time, to string, m Message, effects *Effects) {
	if to == c.cfg.Self.Address {
		c.handle(now, to, m, effects)
		return
	}
	effects.Sends = append(effects.Sends, Send{to, m})
}

// newerVersion returns the value of Effects.NewerVersion.
func (c *ClaimManager) newerVersion() uint64 {
	if c.highestVersion > c.table.Version {
		return c.highestVersion
	}
	return 0
}

// Tick resends unanswered messages, ends attempts that have waited too long and deletes expired
// claims. It must be called several times per ResendInterval.
func (c *ClaimManager) Tick(now time.Time) Effects {
	var effects Effects
	c.tickAttempts(now, &effects)
	for _, ls := range c.localSlots {
		if ls != nil {
			c.tickSlot(now, ls, &effects)
		}
	}
	effects.NewerVersion = c.newerVersion()
	return effects
}

// Stop begins a graceful shutdown: it ends all waiting attempts and makes Begin refuse new ones. The
// node must go on handling messages until Needed returns false.
func (c *ClaimManager) Stop(now time.Time) Effects {
	var effects Effects
	c.stopping = true
	for _, a := range c.attemptList {
		if a.state == attemptWaiting {
			c.rejectWaiting(now, a, dfpcall.ReasonDraining, &effects)
		}
	}
	return effects
}

// Needed reports whether other nodes still depend on this one: the slot table lists it as a member,
// or an attempt that began here is waiting or running, or its outcome is not recorded yet.
func (c *ClaimManager) Needed() bool {
	for _, ls := range c.localSlots {
		if ls != nil {
			return true
		}
	}
	for _, a := range c.attemptList {
		if !a.removed && !a.withdrawn {
			return true
		}
	}
	return false
}

// Status is a summary of a ClaimManager, for a state dump.
type Status struct {
	Zone        string `json:"zone"`
	Version     uint64 `json:"version"`
	Slots       int    `json:"slots"`
	Unsynced    int    `json:"unsynced_slots"`
	Claims      int    `json:"claims"`
	AnswerBytes int    `json:"answer_bytes"`
	Attempts    int    `json:"attempts"`
}

// Status returns a summary of what the ClaimManager holds.
func (c *ClaimManager) Status() Status {
	s := Status{Zone: c.cfg.Zone, Version: c.table.Version, Claims: c.claimCount, AnswerBytes: c.answerBytes, Attempts: len(c.attempts)}
	for _, ls := range c.localSlots {
		if ls == nil {
			continue
		}
		s.Slots++
		if !ls.row.synced() {
			s.Unsynced++
		}
	}
	return s
}
