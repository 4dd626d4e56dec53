// Package dfpproofs proves the promises at the level of the whole system: nodes,
// backend servers and the platform's stand-in in one process over loopback.
//
// # Usage
//
//	go test -race ./internal/standin/dfpproofs
//
// Each proof has a switch that turns its mechanism off; the test shows that the
// promise is then broken. Outcomes and counts are judged within the stated targets.
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

// The keys of the two organisations.
const (
	waldspielKey = "dfpkey_waldspiel0123456789waldspiel01234"
	nordlichtKey = "dfpkey_nordlicht0123456789nordlicht01234"
)

// Targets of the promises.
const (
	drainTarget   = 2 * time.Second
	silenceTarget = 3 * time.Second
)

const (
	poll         = 10 * time.Millisecond
	setUpTimeout = 10 * time.Second
)

// rulesText returns the rules of all proofs; drains are addresses of backend servers.
func rulesText(callers string, drains ...string) []byte {
	var b strings.Builder
	for _, zone := range []string{"ost-1 region=ost", "west-1 region=west"} {
		fmt.Fprintf(&b, "availability_zone %s share=1 # proofs\n", zone)
	}
	for name, key := range map[string]string{"waldspiel": waldspielKey, "nordlicht": nordlichtKey} {
		fmt.Fprintf(&b, "organisation %s rate=5000/s burst=5000 callers=%s # proofs\n", name, callers)
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
	// ordering and catalogue are the backend servers in each zone.
	ordering, catalogue int
	serviceTime         time.Duration
	callers             string
	node                dfpnode.Config
	dialPlatform        func(context.Context, string, string) (net.Conn, error)
}

// site is a running deployment of two zones in which orders make a nested call.
type site struct {
	*dfpdeployment.Deployment
	errgroup.Group
	t       *testing.T
	client  *http.Client
	counter atomic.Int64
	rules   uint64
}

// sites bounds the deployments that run at once, since starved processes prove nothing.
var sites = make(chan struct{}, 5)

func startSite(t *testing.T, cfg siteConfig) *site {
	t.Helper()
	sites <- struct{}{}
	t.Cleanup(func() { <-sites })
	if cfg.callers == "" {
		cfg.callers = "100%"
	}
	cfg.node.GuardRamp = -1
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
		Rules:        rulesText(cfg.callers),
		Seed:         1,
		RegionDelay:  time.Millisecond,
		ZoneDelay:    time.Millisecond,
		Node:         cfg.node,
		DialPlatform: cfg.dialPlatform,
		Secrets:      []string{waldspielKey, nordlichtKey},
	})
	assert.NilError(t, err)
	t.Cleanup(deployment.Close)
	s := &site{Deployment: deployment, t: t, rules: 1}
	s.client = newCaller(t, nil)
	for _, vm := range s.VMs {
		served := func() bool { return s.order(s.client, vm.CallerURL, s.operation()).status == http.StatusOK }
		assert.Assert(t, waitFor(setUpTimeout, served), "no order is served through %s", vm.CallerURL)
	}
	return s
}

// newCaller returns a client with connections of its own.
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

// onceReader is a body that net/http cannot send twice.
type onceReader struct{ io.Reader }

// answer is what a caller got.
type answer struct {
	status          int
	outcome, reason string
	body            string
	err             error
	// fresh says that the request was the first on its connection.
	fresh bool
}

// send sends one request and reads the whole answer.
func send(client *http.Client, method, url string, header map[string]string, body string) answer {
	r, err := http.NewRequest(method, url, onceReader{strings.NewReader(body)})
	if err != nil {
		return answer{err: err}
	}
	if body == "" {
		r.Body = http.NoBody
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	fresh := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { fresh = !info.Reused }}
	resp, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return answer{err: err, fresh: fresh}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, body: string(text), err: err, fresh: fresh,
		outcome: resp.Header.Get("Dragonflyport-Outcome"), reason: resp.Header.Get("Dragonflyport-Reason"),
	}
}

// operation returns a name that was not used before.
func (s *site) operation() string { return fmt.Sprintf("%s-%d", s.t.Name(), s.counter.Add(1)) }

// order sends a non-idempotent order of waldspiel.
func (s *site) order(client *http.Client, entry, operation string) answer {
	return send(client, "POST", entry+"/order/1", map[string]string{
		"Authorization": "Bearer " + waldspielKey, "Lab-Operation": operation,
	}, "one clue pack")
}

// runsAt returns what a VM's backend server has run.
func runsAt(vm *dfpdeployment.VM) []dfpbackendserver.Run { return vm.Backend.Ledger.Snapshot().Runs }

// waitFor polls until the condition holds or the time is over, and reports which.
func waitFor(within time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(poll) {
		if condition() {
			return true
		}
	}
	return condition()
}
