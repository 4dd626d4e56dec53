package dfpbackendserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/standin/dfpbackendserver"
)

// get sends a GET request. It returns status 0 if there is no response.
func get(ctx context.Context, t *testing.T, url string, header map[string]string) (int, dfpbackendserver.Reply) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(t, err)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, dfpbackendserver.Reply{}
	}
	defer func() { assert.NilError(t, response.Body.Close()) }()
	var reply dfpbackendserver.Reply
	_ = json.NewDecoder(response.Body).Decode(&reply) // The bodies of error responses are plain text.
	return response.StatusCode, reply
}

// start starts a server and returns it with its URL.
func start(t *testing.T, cfg dfpbackendserver.Config) (*dfpbackendserver.Server, string) {
	t.Helper()
	server := dfpbackendserver.New(cfg)
	h := httptest.NewServer(server.Handler())
	t.Cleanup(h.Close)
	return server, h.URL
}

func TestAnswerAndLedger(t *testing.T) {
	server, url := start(t, dfpbackendserver.Config{Service: "catalogue", Slots: 1})
	server.Ledger.WatchSecrets([]string{"geheim"})
	status, reply := get(t.Context(), t, url+"/catalogue/1", map[string]string{
		dfpbackendserver.HeaderOperation:    "op",
		dfpbackendserver.HeaderRequest:      "r1",
		dfpbackendserver.HeaderOrganisation: "waldspiel",
	})
	assert.Equal(t, status, http.StatusOK)
	assert.DeepEqual(t, reply, dfpbackendserver.Reply{Service: "catalogue", Operation: "op", Organisation: "waldspiel", Path: "/catalogue/1"})
	_, _ = get(t.Context(), t, url+"/x?key=geheim", nil)
	snapshot := server.Ledger.Snapshot()
	assert.DeepEqual(t, snapshot.Runs[0], dfpbackendserver.Run{
		Request: "r1", Operation: "op", Organisation: "waldspiel", Method: "GET", Path: "/catalogue/1", Ended: true, Completed: true,
	})
	assert.Equal(t, snapshot.RequestsWithSecret, 1)
	assert.Equal(t, snapshot.RunsByOperation()["op"], 1)
}

func TestSlotsShedAndCancel(t *testing.T) {
	server, url := start(t, dfpbackendserver.Config{Service: "s", Slots: 1})
	server.SetFault(dfpbackendserver.Fault{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		get(ctx, t, url+"/hang", nil)
		return nil
	})
	for len(server.Ledger.Snapshot().Runs) == 0 {
		time.Sleep(time.Millisecond)
	}
	status, _ := get(t.Context(), t, url+"/shed", nil)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	cancel()
	assert.NilError(t, group.Wait())
	for !server.Ledger.Snapshot().Runs[0].Ended {
		time.Sleep(time.Millisecond)
	}
	snapshot := server.Ledger.Snapshot()
	assert.Assert(t, snapshot.Runs[0].Cancelled)
	assert.Equal(t, len(snapshot.Runs), 1)
	assert.Equal(t, snapshot.Shed, 1)
}

func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  dfpbackendserver.Fault
		header map[string]string
		want   int
		page   dfpbackendserver.Status
	}{
		{name: "none", want: 200, page: dfpbackendserver.Status{Healthy: true, Slots: 3}},
		{name: "fails fast", fault: dfpbackendserver.Fault{FailFast: true}, want: 500, page: dfpbackendserver.Status{Slots: 3}},
		{name: "fails fast with false health", fault: dfpbackendserver.Fault{FailFast: true, FalseHealth: true}, want: 500, page: dfpbackendserver.Status{Healthy: true, Slots: 3}},
		{
			name: "hangs until the deadline", fault: dfpbackendserver.Fault{Hang: true},
			header: map[string]string{dfpbackendserver.HeaderDeadline: "10"}, want: 503, page: dfpbackendserver.Status{Slots: 3},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server, url := start(t, dfpbackendserver.Config{Service: "s", Slots: 3})
			server.SetFault(tc.fault)
			status, _ := get(t.Context(), t, url+"/x", tc.header)
			assert.Equal(t, status, tc.want)
			response, err := http.Get(url + "/load")
			assert.NilError(t, err)
			var page dfpbackendserver.Status
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&page))
			assert.NilError(t, response.Body.Close())
			assert.DeepEqual(t, page, tc.page)
		})
	}
}

func TestIgnoreCancellation(t *testing.T) {
	server, url := start(t, dfpbackendserver.Config{
		Service: "s", Slots: 1, IgnoreCancellation: true, ServiceTime: dfpbackendserver.Distribution{Median: 20 * time.Millisecond},
	})
	status, _ := get(t.Context(), t, url+"/x", map[string]string{dfpbackendserver.HeaderDeadline: "1"})
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, server.Ledger.Snapshot().Runs[0].Completed)
}

// TestNested checks a nested call to a second server through a fake egress, whose first
// response is an error.
func TestNested(t *testing.T) {
	inner, innerURL := start(t, dfpbackendserver.Config{Service: "catalogue", Slots: 1})
	calls := 0
	egress := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		assert.Equal(t, r.Header.Get(dfpbackendserver.HeaderParent), "token")
		if calls == 1 {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		path, found := strings.CutPrefix(r.URL.Path, "/service/catalogue")
		assert.Assert(t, found)
		status, reply := get(r.Context(), t, innerURL+path, map[string]string{
			dfpbackendserver.HeaderOperation: r.Header.Get(dfpbackendserver.HeaderOperation),
		})
		w.WriteHeader(status)
		assert.NilError(t, json.NewEncoder(w).Encode(reply))
	}))
	defer egress.Close()
	_, url := start(t, dfpbackendserver.Config{
		Service: "ordering", Slots: 1, EgressURL: egress.URL,
		NestedCalls: []dfpbackendserver.NestedCall{{PathPrefix: "/order", Method: "GET", Service: "catalogue", Path: "/c", Retries: 1}},
	})
	status, reply := get(t.Context(), t, url+"/order", map[string]string{
		dfpbackendserver.HeaderOperation: "op", dfpbackendserver.HeaderParent: "token",
	})
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, reply.Operation, "op")
	run := inner.Ledger.Snapshot().Runs[0]
	assert.Equal(t, run.Operation, "op/0")
	assert.Equal(t, run.Depth, 1)
}

func TestAnnounceAndDrain(t *testing.T) {
	seen := make(chan string, 100)
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a dfpbackendserver.Announcement
		assert.NilError(t, json.NewDecoder(r.Body).Decode(&a))
		seen <- fmt.Sprint(r.URL.Path, " ", a)
	}))
	defer node.Close()
	server, _ := start(t, dfpbackendserver.Config{Service: "s", Slots: 2, MaxConnections: 9, EgressURL: node.URL, AnnounceInterval: time.Millisecond})
	var group errgroup.Group
	group.Go(func() error { return server.Announce(t.Context(), "127.0.0.1:5") })
	assert.Equal(t, <-seen, "/dragonflyport/announce {s 127.0.0.1:5 2 9}")
	assert.NilError(t, server.Drain(t.Context()))
	assert.NilError(t, group.Wait())
	last := ""
	for len(seen) > 0 {
		if s := <-seen; strings.HasPrefix(s, "/dragonflyport/drain") {
			last = s
		}
	}
	assert.Equal(t, last, "/dragonflyport/drain {  0 0}")
}
