package dfponce

import (
	"fmt"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Defaults of LedgerConfig.
const (
	DefaultRetention          = 30 * time.Second
	DefaultWatermarkRetention = 24 * time.Hour
	DefaultMaxEntries         = 65536
	DefaultMaxBytes           = 8 << 20
)

// LedgerState is what a Ledger knows about a request ID.
type LedgerState uint8

// The states of a request ID.
const (
	// Started is returned once per ID, to the call that may run the request.
	Started LedgerState = iota
	// Running IDs were started and have not finished.
	Running
	// Done IDs ran or were refused by admission control. Their outcome is kept for a limited time.
	Done
	// Barred IDs did not run and never will.
	Barred
	// Expired IDs are so old that the ledger no longer knows whether they ran. They do not run.
	Expired
)

var stateNames = [...]string{"started", "running", "done", "barred", "forgotten"}

// String returns the name of the state. The name of Expired is "forgotten".
func (s LedgerState) String() string {
	if int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// LedgerConfig configures a Ledger. Zero fields take the defaults.
type LedgerConfig struct {
	// Retention is how long a done or barred ID is recorded before it is Expired.
	Retention time.Duration
	// WatermarkRetention is how long the watermark of an incarnation is kept after its last change.
	// It must exceed the longest time that a frame can remain unread.
	WatermarkRetention time.Duration
	// MaxEntries bounds the number of done and barred IDs.
	MaxEntries int
	// MaxBytes bounds the total size of the kept answers. Beyond it answers are dropped, oldest
	// first, except for the newest.
	MaxBytes int

	faults ledgerFaults
}

// ledgerFaults switch off one safety mechanism each. Tests use them to show that the mechanism is
// needed.
type ledgerFaults struct {
	noBar       bool // Resolve does not bar unseen IDs.
	noWatermark bool // Evicted IDs may start again.
}

func (c LedgerConfig) withDefaults() LedgerConfig {
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.WatermarkRetention <= 0 {
		c.WatermarkRetention = DefaultWatermarkRetention
	}
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	return c
}

// Ledger records which request IDs have run or are barred from running on a node.
//
// Invariants: Start returns Started at most once per ID. Once Barred was returned for an ID, Started
// never is. Both hold although memory is bounded, because an ID leaves the ledger only by raising
// the watermark of its incarnation: an unrecorded ID at or below the watermark is Expired and does
// not run.
type Ledger struct {
	cfg     LedgerConfig
	entries map[dfpcall.RequestID]*ledgerEntry
	// final lists the done and barred IDs, oldest first. Those before head have been evicted.
	final []finalID
	head  int
	// firstKept is the index in final of the oldest answer that may still be kept.
	firstKept  int
	bytes      int
	running    int
	watermarks map[uint64]watermark
	lastSweep  time.Time
}

type ledgerEntry struct {
	state   LedgerState
	outcome dfpcall.Outcome
	bytes   int
}

type finalID struct {
	id dfpcall.RequestID
	at time.Time
}

// watermark is the highest counter of the evicted IDs of one incarnation, and when it was last
// updated.
type watermark struct {
	counter uint64
	at      time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{
		cfg:        cfg.withDefaults(),
		entries:    make(map[dfpcall.RequestID]*ledgerEntry),
		watermarks: make(map[uint64]watermark),
	}
}

// Start asks to run the request with the given ID. The request may run only if the state is Started.
// With Done comes the outcome, or nil if it was not kept.
func (l *Ledger) Start(now time.Time, id dfpcall.RequestID) (LedgerState, dfpcall.Outcome) {
	l.expire(now)
	if e, ok := l.entries[id]; ok {
		return e.state, e.outcome
	}
	if w, ok := l.watermarks[id.Incarnation]; ok && id.Counter <= w.counter {
		return Expired, nil
	}
	l.entries[id] = &ledgerEntry{state: Running}
	l.running++
	return Started, nil
}

// Finish records the outcome of an ID for which Start returned Started. size, the size of the
// outcome in bytes, counts against MaxBytes. Finish panics if the ID is not running.
func (l *Ledger) Finish(now time.Time, id dfpcall.RequestID, outcome dfpcall.Outcome, size int) {
	e := l.entries[id]
	if e == nil || e.state != Running {
		panic("dfponce: Finish called for a request ID that is not running: " + id.String())
	}
	l.running--
	e.state, e.outcome, e.bytes = Done, outcome, size
	l.bytes += size
	l.final = append(l.final, finalID{id, now})
	l.expire(now)
}

// Resolve returns the state of an ID and its outcome, as Start does, but never starts it: an ID that
// the ledger has not seen becomes Barred.
func (l *Ledger) Resolve(now time.Time, id dfpcall.RequestID) (LedgerState, dfpcall.Outcome) {
	l.expire(now)
	if e, ok := l.entries[id]; ok {
		return e.state, e.outcome
	}
	if w, ok := l.watermarks[id.Incarnation]; ok && id.Counter <= w.counter {
		return Expired, nil
	}
	if l.cfg.faults.noBar {
		return Barred, nil
	}
	l.entries[id] = &ledgerEntry{state: Barred}
	l.final = append(l.final, finalID{id, now})
	return Barred, nil
}

// LedgerStats is the size of a Ledger: the number of running IDs, of done and barred IDs, of bytes
// of kept answers and of watermarks.
type LedgerStats struct {
	Running    int `json:"running"`
	Final      int `json:"final"`
	Bytes      int `json:"bytes"`
	Watermarks int `json:"floors"`
}

// Stats returns the current size of the ledger.
func (l *Ledger) Stats() LedgerStats {
	return LedgerStats{Running: l.running, Final: len(l.final) - l.head, Bytes: l.bytes, Watermarks: len(l.watermarks)}
}

// expire evicts the IDs beyond Retention or MaxEntries and drops the answers beyond MaxBytes.
func (l *Ledger) expire(now time.Time) {
	for l.head < len(l.final) {
		oldest := l.final[l.head]
		if len(l.final)-l.head <= l.cfg.MaxEntries && now.Sub(oldest.at) < l.cfg.Retention {
			break
		}
		l.evict(oldest.id, now)
		l.head++
	}
	l.firstKept = max(l.firstKept, l.head)
	for l.bytes > l.cfg.MaxBytes && l.firstKept < len(l.final)-1 {
		l.dropAnswer(l.entries[l.final[l.firstKept].id])
		l.firstKept++
	}
	l.compact()
	l.sweepWatermarks(now)
}

// evict deletes an ID and raises the watermark of its incarnation to it.
func (l *Ledger) evict(id dfpcall.RequestID, now time.Time) {
	l.dropAnswer(l.entries[id])
	delete(l.entries, id)
	if l.cfg.faults.noWatermark {
		return
	}
	w := l.watermarks[id.Incarnation]
	l.watermarks[id.Incarnation] = watermark{counter: max(w.counter, id.Counter), at: now}
}

func (l *Ledger) dropAnswer(e *ledgerEntry) {
	l.bytes -= e.bytes
	e.outcome, e.bytes = nil, 0
}

// compact releases the memory of the evicted part of final once that is large and at least half of
// the list.
func (l *Ledger) compact() {
	if l.head < 1024 || l.head < len(l.final)/2 {
		return
	}
	l.final = append(make([]finalID, 0, len(l.final)), l.final[l.head:]...)
	l.firstKept -= l.head
	l.head = 0
}

func (l *Ledger) sweepWatermarks(now time.Time) {
	if now.Sub(l.lastSweep) < l.cfg.WatermarkRetention/16 {
		return
	}
	l.lastSweep = now
	for incarnation, w := range l.watermarks {
		if now.Sub(w.at) >= l.cfg.WatermarkRetention {
			delete(l.watermarks, incarnation)
		}
	}
}
