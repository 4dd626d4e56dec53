// Package dfpproofs tests the guarantees of the whole system: nodes, backend servers and the stand-in for the
// platform run in one process over loopback. An entry is a node's listener for callers.
//
// # Usage
//
//	go test -race ./internal/standin/dfpproofs
//
// Most tests also run with the mechanism behind the guarantee turned off, and check that the guarantee is
// then broken. Outcomes and counts are checked within drainTarget and silenceTarget.
package dfpproofs_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
	"dragonflyport/internal/vm/dfpnode"
)

// The API keys of the two organisations.
const (
	waldspielKey = "dfpkey_waldspiel0123456789waldspiel01234"
	nordlichtKey = "dfpkey_nordlicht0123456789nordlicht01234"
)

// Times within which the system guarantees to react.
const (
	// drainTarget is the time after which a draining backend server gets no new requests.
	drainTarget = 2 * time.Second
	// silenceTarget is the time after which requests are served again once open connections have gone silent.
	// A silent connection stays open but delivers no bytes.
	silenceTarget = 3 * time.Second
)

const (
	pollInterval = 10 * time.Millisecond
	setUpTimeout = 10 * time.Second
)

// rulesText returns the rules that all tests use. callersShare is the largest fraction of an entry's caller
// connections and requests in progress that one organisation may hold. drains are the addresses of the backend
// servers to drain.
func rulesText(callersShare string, drains ...string) []byte {
	var b strings.Builder
	for _, zone := range []string{"ost-1 region=ost", "west-1 region=west"} {
		fmt.Fprintf(&b, "availability_zone %s share=1 # proofs\n", zone)
	}
	for name, key := range map[string]string{"waldspiel": waldspielKey, "nordlicht": nordlichtKey} {
		fmt.Fprintf(&b, "organisation %s rate=5000/s burst=5000 callers=%s # proofs\n", name, callersShare)
		fmt.Fprintf(&b, "key %s %s # proofs\n", name, dfpkey.Hash(key))
	}
	b.WriteString("service ordering slots=64 retries=2 # proofs\nservice catalogue slots=64 retries=2 # proofs\n")
	b.WriteString("route POST /order/* service=ordering importance=critical deadline=5s # proofs\n")
	b.WriteString("route GET /stock/* service=ordering importance=high deadline=5s # proofs\n")
	b.WriteString("route GET /catalogue/* service=catalogue importance=low open=yes deadline=5s # proofs\n")
	for _, address := range drains {
		fmt.Fprintf(&b, "drain %s # proofs\n", address)
	}
	return []byte(b.String())
}

// siteConfig configures a site.
type siteConfig struct {
	// ordering and catalogue are the numbers of backend servers of these services in each zone.
	ordering, catalogue int
	serviceTime         time.Duration
	// callersShare is as for rulesText; empty means 100%.
	callersShare string
	node         dfpnode.Config
	dialPlatform func(context.Context, string, string) (net.Conn, error)
}

// site is a running deployment of two zones. Orders run on the service "ordering" and make a nested call to
// "catalogue".
type site struct {
	*dfpdeployment.Deployment
	errgroup.Group
	t          *testing.T
	client     *http.Client
	operations atomic.Int64 // The number of operation names given out.
	// rulesVersion is the version of the rules that the site started with.
	rulesVersion uint64
}

// siteSlots limits the number of deployments that run at once: nodes short of CPU time miss their deadlines,
// and the test then says nothing about the guarantee.
var siteSlots = make(chan struct{}, 5)

// startSite starts a deployment and returns when an order has been served through each entry.
func startSite(t *testing.T, cfg siteConfig) *site {
	t.Helper()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	if cfg.callersShare == "" {
		cfg.callersShare = "100%"
	}
	cfg.node.GuardRamp = -1 // No ramp.
	backend := func(service string) dfpbackendserver.Config {
		return dfpbackendserver.Config{
			Service: service, Slots: 64, QueueLimit: 64,
			ServiceTime: dfpbackendserver.Distribution{Median: cfg.serviceTime},
		}
	}
	ordering := backend("ordering")
	ordering.NestedCalls = []dfpbackendserver.NestedCall{{PathPrefix: "/order", Method: "GET", Service: "catalogue", Path: "/catalogue/1"}}
	deployment, err := dfpdeployment.Start(dfpdeployment.Config{
		Zones:        []dfpdeployment.Zone{{Name: "ost-1", Region: "ost"}, {Name: "west-1", Region: "west"}},
		Services:     []dfpdeployment.Service{{PerZone: cfg.ordering, Backend: ordering}, {PerZone: cfg.catalogue, Backend: backend("catalogue")}},
		Rules:        rulesText(cfg.callersShare),
		Seed:         1,
		RegionDelay:  time.Millisecond,
		ZoneDelay:    time.Millisecond,
		Node:         cfg.node,
		DialPlatform: cfg.dialPlatform,
		Secrets:      []string{waldspielKey, nordlichtKey},
	})
	assert.NilError(t, err)
	t.Cleanup(deployment.Close)
	s := &site{Deployment: deployment, t: t, rulesVersion: 1}
	s.client = newCaller(t, nil)
	for _, vm := range s.VMs {
		served := func() bool { return s.order(s.client, vm.CallerURL, s.operation()).status == http.StatusOK }
		assert.Assert(t, waitFor(setUpTimeout, served), "no order is served through %s", vm.CallerURL)
	}
	return s
}

// newCaller returns a client with its own connection pool.
func newCaller(t *testing.T, dial func(context.Context, string, string) (net.Conn, error)) *http.Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 256}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

// vmsOf returns the VMs of a service.
func (s *site) vmsOf(service string) []*dfpdeployment.VM {
	var vms []*dfpdeployment.VM
	for _, vm := range s.VMs {
		if vm.Service == service {
			vms = append(vms, vm)
		}
	}
	return vms
}

// nonReplayableReader is a request body that net/http cannot rewind, so that it does not retry the request
// itself.
type nonReplayableReader struct{ io.Reader }

// answer is the response that a caller got, or the error.
type answer struct {
	status          int
	outcome, reason string
	body            string
	err             error
	// newConnection reports whether the request was the first on its connection.
	newConnection bool
}

// send sends one request and reads the whole response.
func send(client *http.Client, method, url string, header map[string]string, body string) answer {
	r, err := http.NewRequest(method, url, nonReplayableReader{strings.NewReader(body)})
	if err != nil {
		return answer{err: err}
	}
	if body == "" {
		r.Body = http.NoBody
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	newConnection := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { newConnection = !info.Reused }}
	resp, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return answer{err: err, newConnection: newConnection}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, body: string(text), err: err, newConnection: newConnection,
		outcome: resp.Header.Get("Dragonflyport-Outcome"), reason: resp.Header.Get("Dragonflyport-Reason"),
	}
}

// operation returns a new name of an operation, unique within the test.
func (s *site) operation() string { return fmt.Sprintf("%s-%d", s.t.Name(), s.operations.Add(1)) }

// order sends a non-idempotent order of the organisation waldspiel to an entry.
func (s *site) order(client *http.Client, entry, operation string) answer {
	return send(client, "POST", entry+"/order/1", map[string]string{
		"Authorization": "Bearer " + waldspielKey, "Lab-Operation": operation,
	}, "one clue pack")
}

// runsAt returns what a VM's backend server has run.
func runsAt(vm *dfpdeployment.VM) []dfpbackendserver.Run { return vm.Backend.Ledger.Snapshot().Runs }

// waitFor polls until the condition holds or the timeout has passed, and reports whether the condition holds.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}
