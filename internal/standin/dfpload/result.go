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
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	latencyDigits    = 3
)

// maxOperations limits the length of Result.Operations.
const maxOperations = 1 << 20

// Row counts the whole requests of one organisation and importance.
type Row struct {
	Organisation string `json:"organisation"`
	Importance   string `json:"importance"`
	// Offered is the number of whole requests that fell due.
	Offered int `json:"offered"`
	// NotSent counts the requests that were not sent because too many were in progress.
	NotSent   int `json:"not_sent"`
	Completed int `json:"completed"`
	// RequestsByVerdict counts the whole requests that were sent, by the verdict on their last attempt.
	RequestsByVerdict map[Verdict]int `json:"ended"`
	// AttemptsByVerdict counts the attempts by verdict.
	AttemptsByVerdict map[Verdict]int `json:"attempts"`
	// FailuresByReason counts the attempts that were not completed, by reason.
	FailuresByReason map[string]int `json:"reasons"`
}

// Bin counts the whole requests of one organisation and importance that fell due or were completed in one
// interval of the time series.
type Bin struct {
	Organisation string `json:"organisation"`
	Importance   string `json:"importance"`
	Index        int    `json:"index"`
	Offered      int    `json:"offered"`
	// Completed counts the requests that were completed in this interval.
	Completed int `json:"completed"`
	// CompletedOfOffered counts the requests that fell due in this interval and were completed at any time.
	CompletedOfOffered int `json:"completed_of_offered"`
}

// Operation lists the verdicts on the attempts of one non-idempotent whole request.
type Operation struct {
	Name         string    `json:"name"`
	Organisation string    `json:"organisation"`
	Path         string    `json:"path"`
	Attempts     []Verdict `json:"attempts"`
}

// Result is the result of a load.
type Result struct {
	// Rows are sorted by organisation and importance.
	Rows []Row `json:"rows"`
	// Bins are sorted by index, organisation and importance.
	Bins       []Bin         `json:"bins"`
	BinWidth   time.Duration `json:"bin_width_ns"`
	Operations []Operation   `json:"operations,omitempty"`
	// Completed holds the names of the completed requests, including idempotent ones, if
	// Config.KeepCompleted is set.
	Completed map[string]bool `json:"-"`
	// Latency holds, by importance, a histogram of the latencies of the completed requests in microseconds.
	Latency [dfpcall.ImportanceCount]*hdrhistogram.Histogram `json:"-"`
}

// Sum returns the sum of all rows that match reports true for; a nil match takes all rows.
func (r *Result) Sum(match func(Row) bool) Row {
	sum := newRow("", "")
	for _, row := range r.Rows {
		if match != nil && !match(row) {
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

// recorder collects the counts while a load runs. It is safe for concurrent use.
type recorder struct {
	mu             sync.Mutex
	startedAt      time.Time
	binWidth       time.Duration
	rows           map[rowKey]*Row
	bins           map[binKey]*Bin
	keepOperations bool
	operations     []Operation
	// completed is nil unless Config.KeepCompleted is set.
	completed map[string]bool
	latency   [dfpcall.ImportanceCount]*hdrhistogram.Histogram
}

func newRecorder(cfg Config) *recorder {
	rec := &recorder{binWidth: cfg.BinWidth, keepOperations: cfg.KeepOperations, rows: make(map[rowKey]*Row), bins: make(map[binKey]*Bin)}
	if cfg.KeepCompleted {
		rec.completed = make(map[string]bool)
	}
	for i := range rec.latency {
		rec.latency[i] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	}
	return rec
}

func (rec *recorder) start(now time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.startedAt = now
}

func (rec *recorder) rowLocked(w *wholeRequest) *Row {
	key := rowKey{w.organisation.Name, w.route.Importance}
	if rec.rows[key] == nil {
		row := newRow(key.organisation, key.importance.String())
		rec.rows[key] = &row
	}
	return rec.rows[key]
}

func (rec *recorder) binLocked(w *wholeRequest, at time.Time) *Bin {
	key := binKey{int(at.Sub(rec.startedAt) / rec.binWidth), rowKey{w.organisation.Name, w.route.Importance}}
	if rec.bins[key] == nil {
		rec.bins[key] = &Bin{Organisation: key.organisation, Importance: key.importance.String(), Index: key.index}
	}
	return rec.bins[key]
}

func (rec *recorder) recordNotSent(w *wholeRequest) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	row := rec.rowLocked(w)
	row.Offered++
	row.NotSent++
	rec.binLocked(w, w.due).Offered++
}

func (rec *recorder) recordEnd(w *wholeRequest, latency time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	row := rec.rowLocked(w)
	row.Offered++
	for _, attempt := range w.attempts {
		row.AttemptsByVerdict[attempt.verdict]++
		if attempt.verdict != VerdictCompleted {
			row.FailuresByReason[attempt.reason]++
		}
	}
	last := w.attempts[len(w.attempts)-1].verdict
	row.RequestsByVerdict[last]++
	due := rec.binLocked(w, w.due)
	due.Offered++
	if last == VerdictCompleted {
		row.Completed++
		if rec.completed != nil {
			rec.completed[w.operation] = true
		}
		due.CompletedOfOffered++
		rec.binLocked(w, w.due.Add(latency)).Completed++
		micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
		_ = rec.latency[w.route.Importance].RecordValue(micros) // No error, as micros is within the range.
	}
	if rec.keepOperations && !w.route.Idempotent && len(rec.operations) < maxOperations {
		rec.addOperationLocked(w)
	}
}

func (rec *recorder) addOperationLocked(w *wholeRequest) {
	op := Operation{Name: w.operation, Organisation: w.organisation.Name, Path: w.route.Path}
	for _, attempt := range w.attempts {
		op.Attempts = append(op.Attempts, attempt.verdict)
	}
	rec.operations = append(rec.operations, op)
}

// result returns a copy of the counts.
func (rec *recorder) result() *Result {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := &Result{BinWidth: rec.binWidth, Operations: slices.Clone(rec.operations), Completed: maps.Clone(rec.completed)}
	for _, key := range slices.SortedFunc(maps.Keys(rec.rows), compareRowKeys) {
		row := *rec.rows[key]
		row.RequestsByVerdict, row.AttemptsByVerdict, row.FailuresByReason = maps.Clone(row.RequestsByVerdict), maps.Clone(row.AttemptsByVerdict), maps.Clone(row.FailuresByReason)
		r.Rows = append(r.Rows, row)
	}
	for _, key := range slices.SortedFunc(maps.Keys(rec.bins), compareBinKeys) {
		r.Bins = append(r.Bins, *rec.bins[key])
	}
	for i, h := range rec.latency {
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
