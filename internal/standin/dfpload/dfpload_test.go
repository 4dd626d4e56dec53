package dfpload_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/standin/dfpload"
)

// handlers are the answers of the fake entry node, by path.
var handlers = map[string]func(http.ResponseWriter, *http.Request){
	"/ok": func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]string{"operation": r.Header.Get("Lab-Operation")})
	},
	"/notrun":  refuse("not_run", http.StatusTooManyRequests),
	"/unknown": refuse("unknown", http.StatusBadGateway),
	"/failed":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	"/lost":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"/wrong": func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]string{"operation": "another"})
	},
}

func refuse(outcome string, status int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Dragonflyport-Outcome", outcome)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(map[string]any{"outcome": outcome, "reason": "overload", "retry_after_ms": 1})
	}
}

func TestVerdicts(t *testing.T) {
	var mu sync.Mutex
	keys := make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		keys[r.Header.Get("Idempotency-Key")]++
		mu.Unlock()
		assert.Equal(t, r.Header.Get("Authorization"), "Bearer secret")
		handlers[r.URL.Path](w, r)
	}))
	defer server.Close()
	for _, tc := range []struct {
		path string
		want dfpload.Verdict
	}{
		{"/ok", dfpload.VerdictCompleted},
		{"/notrun", dfpload.VerdictNotRun},
		{"/unknown", dfpload.VerdictUnknown},
		{"/failed", dfpload.VerdictFailed},
		{"/lost", dfpload.VerdictLost},
		{"/wrong", dfpload.VerdictWrong},
	} {
		t.Run(tc.path, func(t *testing.T) {
			mu.Lock()
			clear(keys)
			mu.Unlock()
			load := dfpload.New(dfpload.Config{
				Organisations: []dfpload.Organisation{{
					Name: "waldspiel", Key: "secret", Rate: 200, Targets: []string{server.URL}, Zone: "ost-1",
					Routes: []dfpload.Route{{Method: "POST", Path: tc.path, Importance: dfpcall.Critical, Weight: 1}},
					Retry:  dfpload.Retry{MaxRetries: 1, HonourRetryAfter: true},
				}},
				Duration: 100 * time.Millisecond, Seed: 1, KeepOperations: true,
			})
			result, err := load.Run(t.Context())
			assert.NilError(t, err)
			row := result.Sum(nil)
			assert.Assert(t, row.Offered > 0)
			assert.Equal(t, row.RequestsByVerdict[tc.want], row.Offered)
			assert.Equal(t, len(result.Operations), row.Offered)
			attempts := 2
			if tc.want == dfpload.VerdictCompleted {
				attempts = 1
				assert.Equal(t, result.Latency[dfpcall.Critical].TotalCount(), int64(row.Offered))
			}
			assert.Equal(t, row.AttemptsByVerdict[tc.want], attempts*row.Offered)
			mu.Lock()
			defer mu.Unlock()
			for key, n := range keys {
				assert.Assert(t, strings.HasPrefix(key, "ost-1.waldspiel-"))
				assert.Equal(t, n, attempts, "requests with idempotency key %s", key)
			}
		})
	}
}

func TestSeedAndPhases(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(handlers["/ok"]))
	defer server.Close()
	offered := func(phases []dfpload.Phase) int {
		load := dfpload.New(dfpload.Config{
			Organisations: []dfpload.Organisation{{
				Name: "a", Rate: 300, Targets: []string{server.URL},
				Routes: []dfpload.Route{{Method: "GET", Path: "/ok", Idempotent: true, Weight: 1}},
			}},
			Phases: phases, Duration: 200 * time.Millisecond, Seed: 7,
		})
		result, err := load.Run(t.Context())
		assert.NilError(t, err)
		return result.Sum(nil).Offered
	}
	plain := offered(nil)
	assert.Equal(t, offered(nil), plain)
	assert.Assert(t, offered([]dfpload.Phase{{From: 100 * time.Millisecond, Organisation: "a", Factor: 0}}) < plain)
	assert.Assert(t, offered([]dfpload.Phase{{From: 0, Factor: 3}}) > 2*plain)
}

func TestConfigError(t *testing.T) {
	_, err := dfpload.New(dfpload.Config{Organisations: []dfpload.Organisation{{Name: "a"}}}).Run(t.Context())
	assert.ErrorIs(t, err, dfpload.ErrConfig)
}
