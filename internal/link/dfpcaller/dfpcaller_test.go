package dfpcaller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfpcaller"
)

const key = "dfp_0123456789abcdef"

func TestKeyIsRemoved(t *testing.T) {
	for _, tc := range []struct {
		name, target string
		header       map[string]string
		body         string
		keepKeys     bool
		wantKey      string
		exposed      bool
		forwarded    bool
	}{
		{name: "bearer", target: "/order", header: map[string]string{"Authorization": "Bearer " + key}, wantKey: key},
		{name: "own header", target: "/order", header: map[string]string{"Dragonflyport-Key": key}, wantKey: key},
		{name: "query", target: "/order?key=" + key + "&item=7", wantKey: key},
		{name: "second copy in the query", target: "/order?key=" + key + "&again=" + key, exposed: true},
		{name: "in the path", target: "/order/" + key, header: map[string]string{"Authorization": "Bearer " + key}, exposed: true},
		{name: "escaped in the path", target: "/order/%64fp_0123456789abcdef", header: map[string]string{"Authorization": "Bearer " + key}, exposed: true},
		{name: "in a cookie", target: "/order", header: map[string]string{"Authorization": "Bearer " + key, "Cookie": "k=" + key}, exposed: true},
		{name: "in the body", target: "/order", header: map[string]string{"Authorization": "Bearer " + key}, body: "x" + key, exposed: true},
		{name: "in a header's name", target: "/order", header: map[string]string{"Authorization": "Bearer " + key, "X-" + key: "1"}, exposed: true},
		{name: "second key in the body", target: "/order?key=" + key, header: map[string]string{"Authorization": "Bearer other"}, body: key, exposed: true},
		{name: "forged headers", target: "/order", header: map[string]string{"Dragonflyport-Organisation": "waldspiel", "Dragonflyport-Parent": "p"}},
		{name: "removal off", target: "/order?key=" + key, header: map[string]string{"Authorization": "Bearer " + key}, keepKeys: true, wantKey: key, forwarded: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got *dfpcaller.Incoming
			handler := dfpcaller.New(dfpcaller.Config{KeepKeys: tc.keepKeys, Serve: func(_ context.Context, in *dfpcaller.Incoming) dfpcall.Outcome {
				got = in
				return &dfpcall.Answer{Status: 200}
			}})
			r := httptest.NewRequest("POST", tc.target, strings.NewReader(tc.body))
			for name, value := range tc.header {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if tc.exposed {
				assert.Equal(t, w.Code, 400)
				assert.Assert(t, got == nil)
				return
			}
			assert.Equal(t, w.Code, 200)
			assert.Equal(t, got.Key, tc.wantKey)
			text := got.PathAndQuery
			for name, values := range got.Header {
				text += name + strings.Join(values, "")
			}
			assert.Equal(t, strings.Contains(text, key), tc.forwarded, text)
			assert.Equal(t, strings.Contains(text, "Dragonflyport-"), false, text)
		})
	}
}

func TestOutcomesOnTheWire(t *testing.T) {
	for _, tc := range []struct {
		out        dfpcall.Outcome
		status     int
		outcome    string
		body       string
		retryAfter string
	}{
		{&dfpcall.Answer{Status: 201, Body: []byte("ok")}, 201, "answered", "ok", ""},
		{&dfpcall.NotRun{Reason: dfpcall.ReasonOrganisationRate, RetryAfter: 1500 * time.Millisecond}, 429, "not_run",
			`{"outcome":"not_run","reason":"organisation_rate","retry_after_ms":1500}` + "\n", "2"},
		{&dfpcall.NotRun{Reason: dfpcall.ReasonOverload, RetryAfter: 20 * time.Millisecond}, 503, "not_run",
			`{"outcome":"not_run","reason":"overload","retry_after_ms":20}` + "\n", "1"},
		{&dfpcall.NotRun{Reason: dfpcall.ReasonKeyUnknown}, 401, "not_run",
			`{"outcome":"not_run","reason":"key_unknown","retry_after_ms":0}` + "\n", ""},
		{&dfpcall.Unknown{Reason: dfpcall.ReasonLinkLost}, 502, "unknown",
			`{"outcome":"unknown","reason":"link_lost","retry_after_ms":0}` + "\n", ""},
	} {
		w := httptest.NewRecorder()
		dfpcaller.WriteOutcome(w, tc.out)
		assert.Equal(t, w.Code, tc.status)
		assert.Equal(t, w.Header().Get("Dragonflyport-Outcome"), tc.outcome)
		assert.Equal(t, w.Body.String(), tc.body)
		assert.Equal(t, w.Header().Get("Retry-After"), tc.retryAfter)
	}
}

func TestBadInputIsRefused(t *testing.T) {
	handler := dfpcaller.New(dfpcaller.Config{MaxBody: 8, Serve: func(context.Context, *dfpcaller.Incoming) dfpcall.Outcome {
		return &dfpcall.Answer{Status: 200}
	}})
	server := httptest.NewUnstartedServer(handler)
	server.Config = handler.NewServer()
	server.Start()
	defer server.Close()
	for _, tc := range []struct {
		name   string
		header string
		body   string
		status int
	}{
		{"fits", "x", "12345678", 200},
		{"body too large", "x", "123456789", 400},
		{"header too large", strings.Repeat("x", 64<<10), "", 431},
	} {
		req, err := http.NewRequest("POST", server.URL+"/order", strings.NewReader(tc.body))
		assert.NilError(t, err)
		req.Header.Set("X-Test", tc.header)
		resp, err := server.Client().Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, tc.status, tc.name)
	}
}

// TestLongRequestIsAnswered guards against a WriteTimeout that limits the time that a request runs or the
// connection's next request: a request that runs longer than WriteTimeout is answered, and so is the next one.
func TestLongRequestIsAnswered(t *testing.T) {
	handler := dfpcaller.New(dfpcaller.Config{WriteTimeout: 100 * time.Millisecond, Serve: func(context.Context, *dfpcaller.Incoming) dfpcall.Outcome {
		time.Sleep(300 * time.Millisecond)
		return &dfpcall.Answer{Status: 200, Body: []byte("late")}
	}})
	server := httptest.NewUnstartedServer(handler)
	server.Config = handler.NewServer()
	assert.Equal(t, server.Config.WriteTimeout, time.Duration(0))
	server.Start()
	defer server.Close()
	for range 2 {
		resp, err := server.Client().Get(server.URL + "/order")
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, string(body), "late")
	}
}
