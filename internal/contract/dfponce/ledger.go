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

// LedgerState is what a Ledger knows of a request id.
type LedgerState uint8

// The states of a request id.
const (
	// Started is returned once per request id, to the call that may run it.
	Started LedgerState = iota
	// Running ids have been started and not finished.
	Running
	// Done ids ran or were refused by the guard; the outcome is kept for a while.
	Done
	// Barred ids did not run and never will.
	Barred
	// Expired ids are so old that it is not known whether they ran. They do not run.
	Expired
)

var stateNames = [...]string{"started", "running", "done", "barred", "forgotten"}

// String returns the state's name.
func (s LedgerState) String() string {
	if int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// LedgerConfig configures a Ledger. Zero fields take the defaults.
type LedgerConfig struct {
	// Retention is how long a finished or barred id is told apart from a
	// forgotten one.
	Retention time.Duration
	// WatermarkRetention is how long the floor of a silent incarnation is kept. It
	// must exceed the longest time that a frame can lie unread.
	WatermarkRetention time.Duration
	// MaxEntries is the number of finished and barred ids kept.
	MaxEntries int
	// MaxBytes bounds the answers kept; beyond it all but the newest are dropped,
	// oldest first.
	MaxBytes int

	faults ledgerFaults
}

// ledgerFaults switch mechanisms off, for the tests that show what they are for.
type ledgerFaults struct {
	noBar   bool // Resolve leaves what was not seen as it is.
	noFloor bool // What is forgotten may start again.
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

// Ledger records which request ids a guard has run or barred.
//
// Invariants: Started is returned at most once per id; after Barred was
// returned for an id, Started never is. They hold beyond the bounds of memory,
// because an id leaves the ledger only by raising the floor of its incarnation:
// an unrecorded id at or below the floor is Expired and does not run.
type Ledger struct {
	cfg     LedgerConfig
	entries map[dfpcall.RequestID]*ledgerEntry
	// final lists finished and barred ids, oldest first.
	final []finalID
	head  int
	// kept is the index in final of the oldest answer that may still be kept.
	kept    int
	bytes   int
	running int
	floors  map[uint64]floor
	swept   time.Time
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

type floor struct {
	counter uint64
	at      time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{
		cfg:     cfg.withDefaults(),
		entries: make(map[dfpcall.RequestID]*ledgerEntry),
		floors:  make(map[uint64]floor),
	}
}

// Start asks to run the request id. Only on Started may it run; the outcome
// goes with Done, and is nil if it was not kept.
func (l *Ledger) Start(now time.Time, id dfpcall.RequestID) (LedgerState, dfpcall.Outcome) {
	l.expire(now)
	if e, ok := l.entries[id]; ok {
		return e.state, e.outcome
	}
	if f, ok := l.floors[id.Incarnation]; ok && id.Counter <= f.counter {
		return Expired, nil
	}
	l.entries[id] = &ledgerEntry{state: Running}
	l.running++
	return Started, nil
}

// Finish records the outcome of an id for which Start returned Started. The
// outcome's size in bytes counts against MaxBytes.
func (l *Ledger) Finish(now time.Time, id dfpcall.RequestID, outcome dfpcall.Outcome, size int) {
	e := l.entries[id]
	if e == nil || e.state != Running {
		panic("dfponce: finished a request id that was not running: " + id.String())
	}
	l.running--
	e.state, e.outcome, e.bytes = Done, outcome, size
	l.bytes += size
	l.final = append(l.final, finalID{id, now})
	l.expire(now)
}

// Resolve asks what became of an id, and bars it if it was not seen.
func (l *Ledger) Resolve(now time.Time, id dfpcall.RequestID) (LedgerState, dfpcall.Outcome) {
	l.expire(now)
	if e, ok := l.entries[id]; ok {
		return e.state, e.outcome
	}
	if f, ok := l.floors[id.Incarnation]; ok && id.Counter <= f.counter {
		return Expired, nil
	}
	if l.cfg.faults.noBar {
		return Barred, nil
	}
	l.entries[id] = &ledgerEntry{state: Barred}
	l.final = append(l.final, finalID{id, now})
	return Barred, nil
}

// LedgerStats are what a Ledger holds now.
type LedgerStats struct {
	Running    int `json:"running"`
	Final      int `json:"final"`
	Bytes      int `json:"bytes"`
	Watermarks int `json:"floors"`
}

// LedgerStats returns what the ledger holds now.
func (l *Ledger) Stats() LedgerStats {
	return LedgerStats{Running: l.running, Final: len(l.final) - l.head, Bytes: l.bytes, Watermarks: len(l.floors)}
}

func (l *Ledger) expire(now time.Time) {
	for l.head < len(l.final) {
		oldest := l.final[l.head]
		if len(l.final)-l.head <= l.cfg.MaxEntries && now.Sub(oldest.at) < l.cfg.Retention {
			break
		}
		l.forget(oldest.id, now)
		l.head++
	}
	l.kept = max(l.kept, l.head)
	for l.bytes > l.cfg.MaxBytes && l.kept < len(l.final)-1 {
		l.dropAnswer(l.entries[l.final[l.kept].id])
		l.kept++
	}
	l.compact()
	l.sweepFloors(now)
}

func (l *Ledger) forget(id dfpcall.RequestID, now time.Time) {
	l.dropAnswer(l.entries[id])
	delete(l.entries, id)
	if l.cfg.faults.noFloor {
		return
	}
	f := l.floors[id.Incarnation]
	l.floors[id.Incarnation] = floor{counter: max(f.counter, id.Counter), at: now}
}

func (l *Ledger) dropAnswer(e *ledgerEntry) {
	l.bytes -= e.bytes
	e.outcome, e.bytes = nil, 0
}

// compact gives back the memory of the expired half of the list.
func (l *Ledger) compact() {
	if l.head < 1024 || l.head < len(l.final)/2 {
		return
	}
	l.final = append(make([]finalID, 0, len(l.final)), l.final[l.head:]...)
	l.kept -= l.head
	l.head = 0
}

func (l *Ledger) sweepFloors(now time.Time) {
	if now.Sub(l.swept) < l.cfg.WatermarkRetention/16 {
		return
	}
	l.swept = now
	for incarnation, f := range l.floors {
		if now.Sub(f.at) >= l.cfg.WatermarkRetention {
			delete(l.floors, incarnation)
		}
	}
}
