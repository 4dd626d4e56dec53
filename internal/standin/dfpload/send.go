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

// Headers that callers set or read.
const (
	headerOperation      = "Lab-Operation"
	headerOutcome        = "Dragonflyport-Outcome"
	headerIdempotencyKey = "Idempotency-Key"
)

const maxAnswerBytes = 4 << 20

// Verdict is how an attempt or a whole request ended.
type Verdict string

// The verdicts.
const (
	// VerdictCompleted is a complete answer to the caller's own request.
	VerdictCompleted Verdict = "completed"
	// VerdictNotRun is a refusal with the outcome not_run: the request did not run. An attempt whose HTTP
	// request is invalid, and so was not sent, counts as not run too.
	VerdictNotRun Verdict = "not_run"
	// VerdictUnknown is a refusal with the outcome unknown: the request may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictFailed is an answer with status 300 or above and neither outcome, such as a backend server's
	// error.
	VerdictFailed Verdict = "failed"
	// VerdictLost means that there was no complete answer: the connection was lost, the attempt timed out or
	// the body was cut short.
	VerdictLost Verdict = "lost"
	// VerdictWrong is an answer to another request, which must never happen.
	VerdictWrong Verdict = "wrong_answer"
)

// wholeRequest is a whole request in progress.
type wholeRequest struct {
	organisation Organisation
	route        Route
	operation    string
	due          time.Time
	rnd          *rand.Rand
	attempts     []attempt
}

// attempt is the result of one attempt.
type attempt struct {
	verdict    Verdict
	reason     string
	retryAfter time.Duration
}

// send makes the attempts of one whole request and records how it ended.
func (l *Load) send(ctx context.Context, w *wholeRequest) {
	for i := 0; ; i++ {
		a := l.attempt(ctx, w)
		w.attempts = append(w.attempts, a)
		if a.verdict == VerdictCompleted || i >= w.organisation.Retry.MaxRetries || ctx.Err() != nil {
			break
		}
		if !waitBeforeRetry(ctx, w.organisation.Retry, a, w.rnd) {
			break
		}
	}
	l.recorder.recordEnd(w, time.Since(w.due))
}

// waitBeforeRetry waits until the next attempt is due. It reports false if ctx was done first.
func waitBeforeRetry(ctx context.Context, retry Retry, a attempt, rnd *rand.Rand) bool {
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

func (l *Load) attempt(ctx context.Context, w *wholeRequest) attempt {
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
		// net/http retries a request by itself if it has an Idempotency-Key header and a body that it can
		// send again. It can't send this body again, since its length is unknown and GetBody is not set.
		r.Body = io.NopCloser(nonReplayableBody{})
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
	return classify(answer, body, w.operation)
}

// nonReplayableBody is an empty body that net/http can't send twice.
type nonReplayableBody struct{}

// Read returns io.EOF.
func (nonReplayableBody) Read([]byte) (int, error) { return 0, io.EOF }

// classify returns the result of an attempt that got an answer. operation is the name of the request.
func classify(answer *http.Response, body []byte, operation string) attempt {
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
