package dfpload

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Headers that a caller sets or reads.
const (
	headerOperation      = "Lab-Operation"
	headerOutcome        = "Dragonflyport-Outcome"
	headerIdempotencyKey = "Idempotency-Key"
)

const maxAnswerBytes = 4 << 20

// Verdict is how an attempt, or a whole request, ended.
type Verdict string

// The verdicts.
const (
	// VerdictCompleted is a whole answer to the caller's own request.
	VerdictCompleted Verdict = "completed"
	// VerdictNotRun is a refusal that says that the request did not run.
	VerdictNotRun Verdict = "not_run"
	// VerdictUnknown is a refusal that says that the outcome is unknown.
	VerdictUnknown Verdict = "unknown"
	// VerdictFailed is a backend server's error.
	VerdictFailed Verdict = "failed"
	// VerdictLost is no answer at all: connection lost or timed out.
	VerdictLost Verdict = "lost"
	// VerdictWrong is an answer to another request, which must never happen.
	VerdictWrong Verdict = "wrong_answer"
)

// whole is one whole request in progress.
type whole struct {
	organisation Organisation
	route        Route
	operation    string
	due          time.Time
	rnd          *rand.Rand
	attempts     []attempt
}

// attempt is how one attempt ended.
type attempt struct {
	verdict    Verdict
	reason     string
	retryAfter time.Duration
}

// send makes the attempts of one whole request and accounts for it.
func (l *Load) send(ctx context.Context, w *whole) {
	for i := 0; ; i++ {
		a := l.attempt(ctx, w)
		w.attempts = append(w.attempts, a)
		if a.verdict == VerdictCompleted || i >= w.organisation.Retry.MaxRetries || ctx.Err() != nil {
			break
		}
		if !pause(ctx, w.organisation.Retry, a, w.rnd) {
			break
		}
	}
	l.account.ended(w, time.Since(w.due))
}

// pause waits before a repeat; it reports false if ctx is done.
func pause(ctx context.Context, retry Retry, a attempt, rnd *rand.Rand) bool {
	wait := time.Duration(float64(retry.Backoff) * (0.5 + rnd.Float64()))
	if retry.HonourRetryAfter {
		wait = max(wait, min(a.retryAfter, RetryAfterLimit))
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (l *Load) attempt(ctx context.Context, w *whole) attempt {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	o := w.organisation
	target := o.Targets[w.rnd.IntN(len(o.Targets))]
	r, err := http.NewRequestWithContext(ctx, w.route.Method, target+w.route.Path, nil)
	if err != nil {
		return attempt{verdict: VerdictNotRun, reason: "bad_request"}
	}
	if o.Key != "" {
		r.Header.Set("Authorization", "Bearer "+o.Key)
	}
	r.Header.Set(headerOperation, w.operation)
	if !w.route.Idempotent {
		key := w.operation
		if o.Zone != "" {
			key = o.Zone + "." + key
		}
		// A header in this spelling would let the transport repeat the request
		// by itself, so GetBody stays unset by sending a body of unknown length.
		r.Body = io.NopCloser(noBody{})
		r.Header.Set(headerIdempotencyKey, key)
	}
	answer, err := l.client.Do(r)
	if err != nil {
		return attempt{verdict: VerdictLost, reason: "connection"}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return attempt{verdict: VerdictLost, reason: "body_cut"}
	}
	return judge(answer, body, w.operation)
}

// noBody is an empty body that the transport can't send twice.
type noBody struct{}

// Read returns io.EOF.
func (noBody) Read([]byte) (int, error) { return 0, io.EOF }

// judge reads what an answer says.
func judge(answer *http.Response, body []byte, operation string) attempt {
	var text struct {
		Operation    string `json:"operation"`
		Reason       string `json:"reason"`
		RetryAfterMs int64  `json:"retry_after_ms"`
	}
	decodeErr := json.Unmarshal(body, &text)
	a := attempt{reason: text.Reason, retryAfter: time.Duration(text.RetryAfterMs) * time.Millisecond}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && a.retryAfter == 0 {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	switch outcome := answer.Header.Get(headerOutcome); {
	case outcome == string(VerdictNotRun):
		a.verdict = VerdictNotRun
	case outcome == string(VerdictUnknown):
		a.verdict = VerdictUnknown
	case answer.StatusCode >= 300:
		a.verdict, a.reason = VerdictFailed, "status_"+strconv.Itoa(answer.StatusCode)
	case decodeErr != nil:
		a.verdict, a.reason = VerdictLost, "body_cut"
	case text.Operation != operation:
		a.verdict = VerdictWrong
	default:
		a.verdict = VerdictCompleted
	}
	return a
}
