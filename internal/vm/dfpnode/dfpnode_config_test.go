package dfpnode_test

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/link/dfpcaller"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
	"dragonflyport/internal/standin/dfpstore"
)

const (
	rulesWithoutKey = `availability_zone ost-1 region=ost # test
availability_zone ost-2 region=ost # test
organisation waldspiel rate=1000/s burst=1000 # test
service catalogue slots=10 # test
route GET /catalogue/* service=catalogue importance=low # test
`
	withdrawnKey = dfpkey.Prefix + "withdrawn"
)

// TestWithdrawnKeyOnOpenConnections guards against a withdrawn key that keeps working on a connection that
// was opened before. Callers keep HTTP/1.1 and HTTP/2 connections open while the key is withdrawn and the
// platform's watch works, is silent or fails.
func TestWithdrawnKeyOnOpenConnections(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*dfpstore.Store)
	}{
		{"watch alive", func(*dfpstore.Store) {}},
		{"watch silent", func(s *dfpstore.Store) {
			s.SilenceWatches()
			assert.NilError(t, s.SetFault(dfpstore.MethodWatch, dfpstore.Fault{Silent: true}))
		}},
		{"watch down", func(s *dfpstore.Store) {
			assert.NilError(t, s.SetFault(dfpstore.MethodWatch, dfpstore.Fault{Down: true}))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rules := rulesWithoutKey + "key waldspiel " + dfpkey.Hash(withdrawnKey).String() + " # test\n"
			d, err := dfpdeployment.Start(dfpdeployment.Config{
				Zones:    []dfpdeployment.Zone{{Name: "ost-1", Region: "ost"}, {Name: "ost-2", Region: "ost"}},
				Services: []dfpdeployment.Service{{PerZone: 3, Backend: dfpbackendserver.Config{Service: "catalogue", Slots: 10}}},
				Rules:    []byte(rules), Seed: 1,
			})
			assert.NilError(t, err)
			defer d.Close()
			tc.fault(d.Store)
			callers := make([]*caller, len(d.VMs))
			for i, vm := range d.VMs {
				protocols := new(http.Protocols)
				protocols.SetHTTP1(i%2 == 0)
				protocols.SetUnencryptedHTTP2(i%2 == 1)
				transport := &http.Transport{MaxConnsPerHost: 1, Protocols: protocols}
				callers[i] = &caller{url: vm.CallerURL, client: &http.Client{Transport: transport}}
				defer callers[i].client.CloseIdleConnections()
				status, _, _ := callers[i].call(t)
				assert.Equal(t, status, http.StatusOK)
			}
			_, err = d.Apply([]byte(rulesWithoutKey), 1)
			assert.NilError(t, err)
			accepted := time.Now()
			for _, c := range callers {
				c.waitRefused(t, accepted.Add(20*time.Second))
			}
			t.Logf("refused at all nodes %v after the apply was accepted", time.Since(accepted))
		})
	}
}

// caller calls one node over a single connection.
type caller struct {
	url    string
	client *http.Client
}

// call returns the status, the reason for a refusal, and whether the connection was reused.
func (c *caller) call(t *testing.T) (status int, reason string, isReused bool) {
	t.Helper()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isReused = info.Reused }}
	ctx := httptrace.WithClientTrace(t.Context(), trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"/catalogue/1", nil)
	assert.NilError(t, err)
	r.Header.Set(dfpcaller.HeaderKey, withdrawnKey)
	resp, err := c.client.Do(r)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode, resp.Header.Get(dfpcaller.HeaderReason), isReused
}

// waitRefused calls until the key is refused. The connection must stay open.
func (c *caller) waitRefused(t *testing.T, deadline time.Time) {
	t.Helper()
	for time.Now().Before(deadline) {
		status, reason, isReused := c.call(t)
		assert.Assert(t, isReused, "the connection was closed")
		if reason == string(dfpcall.ReasonKeyUnknown) {
			return
		}
		assert.Equal(t, status, http.StatusOK, reason)
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("withdrawn key still accepted at %s", c.url)
}
