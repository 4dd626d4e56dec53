package dfpload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dragonflyport/internal/contract/dfpcall"
)

// Latencies are recorded in microseconds.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	latencyDigits     = 3
	maxKeptOperations = 1 << 20
)

// Row counts the whole requests of one organisation and importance.
type Row struct {
	Organisation string `json:"organisation"`
	Importance   string `json:"importance"`
	// Offered is the number of whole requests that fell due.
	Offered int `json:"offered"`
	// NotSent were due while too many were in progress.
	NotSent   int `json:"not_sent"`
	Completed int `json:"completed"`
	// RequestsByVerdict maps the last attempt's verdict to a count of whole requests.
	RequestsByVerdict map[Verdict]int `json:"ended"`
	// AttemptsByVerdict maps verdicts to a count of attempts, retries included.
	AttemptsByVerdict map[Verdict]int `json:"attempts"`
	// FailuresByReason maps the reasons of attempts that failed to counts.
	FailuresByReason map[string]int `json:"reasons"`
}

// Bin counts the whole requests of one organisation and importance that fell
// due, or were completed, in one stretch of time.
type Bin struct {
	Organisation string `json:"organisation"`
	Importance   string `json:"importance"`
	Index        int    `json:"index"`
	Offered      int    `json:"offered"`
	// Completed counts by when the answer came.
	Completed int `json:"completed"`
	// CompletedOfOffered counts by when the request fell due.
	CompletedOfOffered int `json:"completed_of_offered"`
}

// Operation is the account of one non-idempotent whole request.
type Operation struct {
	Name         string    `json:"name"`
	Organisation string    `json:"organisation"`
	Path         string    `json:"path"`
	Attempts     []Verdict `json:"attempts"`
}

// Result is what became of a load.
type Result struct {
	// Rows are sorted by organisation and importance.
	Rows []Row `json:"rows"`
	// Bins are sorted by index, organisation and importance.
	Bins       []Bin         `json:"bins"`
	BinWidth   time.Duration `json:"bin_width_ns"`
	Operations []Operation   `json:"operations,omitempty"`
	// Completed holds the names of the completed requests, idempotent ones
	// included, if they are kept.
	Completed map[string]bool `json:"-"`
	// Latency holds a histogram in microseconds of the completed requests of
	// each importance.
	Latency [dfpcall.ImportanceCount]*hdrhistogram.Histogram `json:"-"`
}

// Sum returns the sum over all rows for which fits is true; nil fits all.
func (r *Result) Sum(fits func(Row) bool) Row {
	sum := newRow("", "")
	for _, row := range r.Rows {
		if fits != nil && !fits(row) {
			continue
		}
		sum.Offered += row.Offered
		sum.NotSent += row.NotSent
		sum.Completed += row.Completed
		addCounts(sum.RequestsByVerdict, row.RequestsByVerdict)
		addCounts(sum.AttemptsByVerdict, row.AttemptsByVerdict)
		addCounts(sum.FailuresByReason, row.FailuresByReason)
	}
	return sum
}

func addCounts[K comparable](sum, more map[K]int) {
	for k, n := range more {
		sum[k] += n
	}
}

func newRow(organisation, importance string) Row {
	return Row{
		Organisation:      organisation,
		Importance:        importance,
		RequestsByVerdict: make(map[Verdict]int),
		AttemptsByVerdict: make(map[Verdict]int),
		FailuresByReason:  make(map[string]int),
	}
}

type rowKey struct {
	organisation string
	importance   dfpcall.Importance
}

type binKey struct {
	index int
	rowKey
}

// account counts while a load runs. It is safe for concurrent use.
type account struct {
	mu    sync.Mutex
	began time.Time
	bin   time.Duration
	rows  map[rowKey]*Row
	bins  map[binKey]*Bin
	keep  bool
	kept  []Operation
	// completed is nil unless the names are kept.
	completed map[string]bool
	latency   [dfpcall.ImportanceCount]*hdrhistogram.Histogram
}

func newAccount(cfg Config) *account {
	a := &account{bin: cfg.BinWidth, keep: cfg.KeepOperations, rows: make(map[rowKey]*Row), bins: make(map[binKey]*Bin)}
	if cfg.KeepCompleted {
		a.completed = make(map[string]bool)
	}
	for i := range a.latency {
		a.latency[i] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	}
	return a
}

func (a *account) start(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began = now
}

func (a *account) rowLocked(w *whole) *Row {
	key := rowKey{w.organisation.Name, w.route.Importance}
	if a.rows[key] == nil {
		row := newRow(key.organisation, key.importance.String())
		a.rows[key] = &row
	}
	return a.rows[key]
}

func (a *account) binLocked(w *whole, at time.Time) *Bin {
	key := binKey{int(at.Sub(a.began) / a.bin), rowKey{w.organisation.Name, w.route.Importance}}
	if a.bins[key] == nil {
		a.bins[key] = &Bin{Organisation: key.organisation, Importance: key.importance.String(), Index: key.index}
	}
	return a.bins[key]
}

func (a *account) notSent(w *whole) {
	a.mu.Lock()
	defer a.mu.Unlock()
	row := a.rowLocked(w)
	row.Offered++
	row.NotSent++
	a.binLocked(w, w.due).Offered++
}

func (a *account) ended(w *whole, latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	row := a.rowLocked(w)
	row.Offered++
	for _, attempt := range w.attempts {
		row.AttemptsByVerdict[attempt.verdict]++
		if attempt.verdict != VerdictCompleted {
			row.FailuresByReason[attempt.reason]++
		}
	}
	last := w.attempts[len(w.attempts)-1].verdict
	row.RequestsByVerdict[last]++
	due := a.binLocked(w, w.due)
	due.Offered++
	if last == VerdictCompleted {
		row.Completed++
		if a.completed != nil {
			a.completed[w.operation] = true
		}
		due.CompletedOfOffered++
		a.binLocked(w, w.due.Add(latency)).Completed++
		micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
		_ = a.latency[w.route.Importance].RecordValue(micros) // The value is within the histogram's range.
	}
	if a.keep && !w.route.Idempotent && len(a.kept) < maxKeptOperations {
		a.keepLocked(w)
	}
}

func (a *account) keepLocked(w *whole) {
	op := Operation{Name: w.operation, Organisation: w.organisation.Name, Path: w.route.Path}
	for _, attempt := range w.attempts {
		op.Attempts = append(op.Attempts, attempt.verdict)
	}
	a.kept = append(a.kept, op)
}

// result returns a copy of the counts.
func (a *account) result() *Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &Result{BinWidth: a.bin, Operations: slices.Clone(a.kept), Completed: maps.Clone(a.completed)}
	for _, key := range slices.SortedFunc(maps.Keys(a.rows), compareRowKeys) {
		row := *a.rows[key]
		row.RequestsByVerdict, row.AttemptsByVerdict, row.FailuresByReason = maps.Clone(row.RequestsByVerdict), maps.Clone(row.AttemptsByVerdict), maps.Clone(row.FailuresByReason)
		r.Rows = append(r.Rows, row)
	}
	for _, key := range slices.SortedFunc(maps.Keys(a.bins), compareBinKeys) {
		r.Bins = append(r.Bins, *a.bins[key])
	}
	for i, h := range a.latency {
		r.Latency[i] = hdrhistogram.Import(h.Export())
	}
	return r
}

func compareRowKeys(a, b rowKey) int {
	if a.organisation != b.organisation {
		if a.organisation < b.organisation {
			return -1
		}
		return 1
	}
	return int(a.importance) - int(b.importance)
}

func compareBinKeys(a, b binKey) int {
	if a.index != b.index {
		return a.index - b.index
	}
	return compareRowKeys(a.rowKey, b.rowKey)
}
