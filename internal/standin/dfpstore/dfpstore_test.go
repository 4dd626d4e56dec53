package dfpstore_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	pb "dragonflyport/internal/proto/dfpplatformpb"
	"dragonflyport/internal/standin/dfpstore"
)

// clock is a clock that tests advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// TestLeaseExpiry checks that a lease that is not renewed by KeepLease within its time
// to live expires, and that its entry is then deleted.
func TestLeaseExpiry(t *testing.T) {
	c := &clock{now: time.Unix(0, 0)}
	s := dfpstore.New(dfpstore.Config{Now: c.Now})
	granted, err := s.GrantLease(t.Context(), connect.NewRequest(&pb.GrantLeaseRequest{TtlMilliseconds: 1000}))
	assert.NilError(t, err)
	lease := granted.Msg.GetLease()
	_, err = s.CompareAndSwap(t.Context(), connect.NewRequest(&pb.CompareAndSwapRequest{Key: "k", Lease: lease}))
	assert.NilError(t, err)
	for _, tc := range []struct {
		step time.Duration
		held bool
	}{{900 * time.Millisecond, true}, {900 * time.Millisecond, true}, {time.Second, false}} {
		c.advance(tc.step)
		kept, err := s.KeepLease(t.Context(), connect.NewRequest(&pb.KeepLeaseRequest{Lease: lease}))
		assert.NilError(t, err)
		assert.Equal(t, kept.Msg.GetHeld(), tc.held)
		got, err := s.Get(t.Context(), connect.NewRequest(&pb.GetRequest{Key: "k"}))
		assert.NilError(t, err)
		assert.Equal(t, got.Msg.GetEntry() != nil, tc.held)
	}
}

// TestPages checks the HTTP pages and their effect on the service.
func TestPages(t *testing.T) {
	s := dfpstore.New(dfpstore.Config{})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	post := func(path, body string) int {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	for _, tc := range []struct {
		path, body string
		want       int
	}{
		{"/fault", `{"method":"get","fault":{"down":true}}`, 200},
		{"/fault", `{"method":"none"}`, 400},
		{"/fault", `{`, 400},
		{"/lapse", "", 200},
		{"/silence", "", 200},
	} {
		assert.Equal(t, post(tc.path, tc.body), tc.want, tc.body)
	}
	_, err := s.Get(t.Context(), connect.NewRequest(&pb.GetRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	response, err := http.Get(server.URL + "/counts")
	assert.NilError(t, err)
	var counts dfpstore.Counts
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&counts))
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, counts.Calls[dfpstore.MethodGet], uint64(1))
}
