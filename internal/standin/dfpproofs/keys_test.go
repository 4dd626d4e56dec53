package dfpproofs_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
	"dragonflyport/internal/vm/dfpnode"
)

// allRuns returns the runs of an operation on all backend servers, with those of its nested calls.
func (s *site) allRuns(operation string) []dfpbackendserver.Run {
	var runs []dfpbackendserver.Run
	for _, ledger := range s.Ledgers() {
		for _, run := range ledger.Runs {
			if run.Operation == operation || strings.HasPrefix(run.Operation, operation+"/") {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// requestsWithKey returns the number of requests that contained a key when they reached a backend server.
func (s *site) requestsWithKey() int {
	count := 0
	for _, ledger := range s.Ledgers() {
		count += ledger.RequestsWithSecret
	}
	return count
}

// TestKeysAndForgedHeaders checks that, wherever a caller puts a key and whatever it claims in headers, no
// backend server receives the key and every run is for the key's organisation.
func TestKeysAndForgedHeaders(t *testing.T) {
	t.Parallel()
	s := startSite(t, siteConfig{ordering: 1, catalogue: 1})
	bearer := "Bearer " + waldspielKey
	cases := []struct {
		name, method, target string
		header               map[string]string
		body                 string
		// want is the status of the answer.
		want int
		// wantOrganisation is the organisation of each run, if there are any.
		wantOrganisation string
	}{
		{"bearer", "POST", "/order/1", map[string]string{"Authorization": bearer}, "x", 200, "waldspiel"},
		{"own header", "POST", "/order/1", map[string]string{"Dragonflyport-Key": waldspielKey}, "x", 200, "waldspiel"},
		{"query", "POST", "/order/1?a=1&key=" + waldspielKey, nil, "x", 200, "waldspiel"},
		{"two places, one key", "POST", "/order/1?key=" + waldspielKey, map[string]string{"Authorization": bearer}, "x", 200, "waldspiel"},
		{"two organisations' keys", "POST", "/order/1?key=" + nordlichtKey, map[string]string{"Authorization": bearer}, "x", 200, "waldspiel"},
		{"path", "POST", "/order/" + waldspielKey, map[string]string{"Authorization": bearer}, "x", 400, ""},
		{"second query value", "POST", "/order/1?again=" + waldspielKey, map[string]string{"Authorization": bearer}, "x", 400, ""},
		{"body", "POST", "/order/1", map[string]string{"Authorization": bearer}, "key=" + waldspielKey, 400, ""},
		{"cookie", "POST", "/order/1", map[string]string{"Authorization": bearer, "Cookie": "session=" + waldspielKey}, "x", 400, ""},
		{"other header", "POST", "/order/1", map[string]string{"Authorization": bearer, "X-Api-Key": waldspielKey}, "x", 400, ""},
		{"header name", "POST", "/order/1", map[string]string{"Authorization": bearer, "X-" + waldspielKey: "1"}, "x", 400, ""},
		{"idempotency key", "POST", "/order/1", map[string]string{"Authorization": bearer, "Idempotency-Key": waldspielKey}, "x", 400, ""},
		{"second key in a cookie", "POST", "/order/1?key=" + nordlichtKey, map[string]string{"Authorization": bearer, "Cookie": nordlichtKey}, "x", 400, ""},
		{"no key", "POST", "/order/1", nil, "x", 401, ""},
		{"unknown key", "POST", "/order/1", map[string]string{"Authorization": "Bearer dfpkey_guessed"}, "x", 401, ""},
		{"forged headers without a key", "POST", "/order/1", map[string]string{
			"Dragonflyport-Organisation": "waldspiel", "Dragonflyport-Parent": "p", "Dragonflyport-Request": "1-1",
		}, "x", 401, ""},
		{"forged headers with another's key", "POST", "/order/1", map[string]string{
			"Authorization": bearer, "Dragonflyport-Organisation": "nordlicht", "Dragonflyport-Parent": "p",
			"Dragonflyport-Request": "1-1", "Dragonflyport-Deadline-Ms": "999999", "Dragonflyport-Idempotent": "yes",
		}, "x", 200, "waldspiel"},
		{"open route, no key", "GET", "/catalogue/1", nil, "", 200, ""},
		{"open route, valid key", "GET", "/catalogue/1", map[string]string{"Authorization": bearer}, "", 200, "waldspiel"},
		{"open route, unknown key", "GET", "/catalogue/1", map[string]string{"Authorization": "Bearer dfpkey_guessed"}, "", 200, ""},
		{"open route, forged organisation", "GET", "/catalogue/1", map[string]string{"Dragonflyport-Organisation": "waldspiel"}, "", 200, ""},
	}
	clients := []struct {
		name   string
		client *http.Client
	}{{"http1", s.client}, {"http2", newHTTP2Caller(t)}}
	for _, c := range clients {
		for _, tc := range cases {
			for _, vm := range s.VMs {
				var operation string
				var a answer
				// The entry may refuse a request because of load, which says nothing about keys: try again.
				waitFor(setUpTimeout, func() bool {
					operation = s.operation()
					header := map[string]string{"Lab-Operation": operation}
					for name, value := range tc.header {
						header[name] = value
					}
					a = send(c.client, tc.method, vm.CallerURL+tc.target, header, tc.body)
					return a.status < http.StatusInternalServerError
				})
				assert.NilError(t, a.err, tc.name)
				assert.Equal(t, a.status, tc.want, "%s by %s: %s", tc.name, c.name, a.body)
				runs := s.allRuns(operation)
				assert.Equal(t, len(runs) > 0, tc.want == 200, tc.name)
				for _, run := range runs {
					assert.Equal(t, run.Organisation, tc.wantOrganisation, "%s by %s: %+v", tc.name, c.name, run)
				}
			}
		}
	}
	assert.Equal(t, s.requestsWithKey(), 0)
}

// TestKeysReachBackendWithoutRemoval checks that the ledgers count keys when the node does not remove them,
// so that the zero counts of the other tests mean something.
func TestKeysReachBackendWithoutRemoval(t *testing.T) {
	t.Parallel()
	s := startSite(t, siteConfig{ordering: 1, catalogue: 1, node: dfpnode.Config{KeepKeys: true}})
	assert.Assert(t, s.requestsWithKey() > 0) // startSite has sent orders with a key.
}

// spyBackend is a backend server that records the parent token of its latest request.
type spyBackend struct {
	server *httptest.Server
	mu     sync.Mutex
	parent string
	// started receives a value when a request has arrived.
	started chan struct{}
	// finish is closed to have all requests answered.
	finish chan struct{}
}

func newSpyBackend(t *testing.T) *spyBackend {
	b := &spyBackend{started: make(chan struct{}, 8), finish: make(chan struct{})}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.parent = r.Header.Get("Dragonflyport-Parent")
		b.mu.Unlock()
		b.started <- struct{}{}
		<-b.finish
		_, _ = io.WriteString(w, "{}")
	}))
	t.Cleanup(b.server.Close)
	return b
}

// token returns the parent token of the latest request.
func (b *spyBackend) token() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.parent
}

// announceSpy announces the spy to a VM's node in place of the VM's backend server.
func announceSpy(t *testing.T, vm *dfpdeployment.VM, b *spyBackend) {
	body, err := json.Marshal(map[string]any{"service": vm.Service, "address": b.server.Listener.Addr().String(), "slots": 8})
	assert.NilError(t, err)
	resp, err := http.Post(vm.EgressURL+"/dragonflyport/announce", "application/json", strings.NewReader(string(body)))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// TestParentTokens checks that the egress accepts a nested call only with the token of a request that is
// running on the same VM, and runs it for that request's organisation whatever the call's headers say.
func TestParentTokens(t *testing.T) {
	t.Parallel()
	s := startSite(t, siteConfig{ordering: 1, catalogue: 1})
	spyVM, otherVM := s.vmsOf("ordering")[0], s.vmsOf("ordering")[1]
	assert.NilError(t, otherVM.Backend.Drain(t.Context()))
	spy := newSpyBackend(t)
	spyVM.StopAnnouncing()
	announceSpy(t, spyVM, spy)

	answers := make(chan answer, 1)
	s.Go(func() error {
		answers <- s.order(s.client, spyVM.CallerURL, s.operation())
		return nil
	})
	<-spy.started
	token := spy.token()
	assert.Equal(t, len(token), 32)
	altered := "0" + token[1:]
	if altered == token {
		altered = "1" + token[1:]
	}
	checkNestedCalls := func(vm *dfpdeployment.VM, token string, running bool) {
		for _, tc := range []struct {
			name, token string
			want        int
		}{
			{"own token", token, map[bool]int{true: 200, false: 400}[running]},
			{"none", "", 400},
			{"guessed", strings.Repeat("0", 32), 400},
			{"one digit off", altered, 400},
			{"upper case", strings.ToUpper(token) + " ", 400},
		} {
			operation := s.operation()
			a := send(s.client, "GET", vm.EgressURL+"/service/catalogue/catalogue/1", map[string]string{
				"Dragonflyport-Parent": tc.token, "Dragonflyport-Organisation": "nordlicht", "Lab-Operation": operation,
				"Authorization": "Bearer " + nordlichtKey,
			}, "")
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, tc.want, "%s: %s", tc.name, a.body)
			runs := s.allRuns(operation)
			assert.Equal(t, len(runs), map[bool]int{true: 1}[tc.want == 200], tc.name)
			if tc.want != 200 {
				assert.Equal(t, a.reason, "parent_unknown", tc.name)
				continue
			}
			assert.Equal(t, runs[0].Organisation, "waldspiel")
		}
	}
	checkNestedCalls(spyVM, token, true)
	checkNestedCalls(otherVM, token, false) // The token belongs to a request on another VM.
	close(spy.finish)
	assert.Equal(t, (<-answers).status, 200)
	checkNestedCalls(spyVM, token, false) // The request has ended.
	assert.Equal(t, s.requestsWithKey(), 0)
}

// TestNoSmuggledRequest checks that ambiguous framing or headers on a raw connection do not let a caller
// smuggle in a request that runs for another organisation.
func TestNoSmuggledRequest(t *testing.T) {
	t.Parallel()
	s := startSite(t, siteConfig{ordering: 1, catalogue: 1})
	for _, tc := range []struct{ name, head, want string }{
		{"length and chunks", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
		{"two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd", "400"},
		{"space before the colon", "X-Test : 1\r\n\r\n", "400"},
		{"folded header", "X-Test: 1\r\n 2\r\nContent-Length: 0\r\n\r\n", ""},
		{"hop header hides the organisation", "Connection: close, Dragonflyport-Organisation\r\nContent-Length: 0\r\n\r\n", "200"},
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.VMs[0].CallerURL, "http://"))
		assert.NilError(t, err)
		operation := s.operation()
		fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nLab-Operation: %s\r\n%s", waldspielKey, operation, tc.head)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_ = resp.Body.Close()
		}
		if tc.want != "" {
			assert.NilError(t, err, tc.name)
			assert.Equal(t, fmt.Sprint(resp.StatusCode), tc.want, tc.name)
		}
		_ = conn.Close()
		for _, run := range s.allRuns(operation) {
			assert.Equal(t, run.Organisation, "waldspiel", tc.name)
		}
	}
}
