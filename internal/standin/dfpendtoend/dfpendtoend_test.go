package dfpendtoend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/operator/dfpapply"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpendtoend"
)

const key = "dfpkey_endtoend0123456789endtoend0123456"

// vm is a node and its backend server, as processes.
type vm struct {
	node, backend       *dfpendtoend.Process
	callers, backendURL string
	operator, address   string
}

// site is a deployment of processes in two zones. Orders run on the service "ordering".
type site struct {
	t               *testing.T
	fleet           *dfpendtoend.Fleet
	platformURL     string
	platformProcess *dfpendtoend.Process
	secretFile      string
	// seeds is the value of the flag --seeds of nodes started from now on.
	seeds string
	vms   []*vm
}

// field returns a field that the process has printed, and fails the test without it.
func (s *site) field(p *dfpendtoend.Process, name string) string {
	s.t.Helper()
	value, err := p.Field(name)
	assert.NilError(s.t, err)
	return value
}

// startVM starts a node and then its backend server, with more as additional arguments of the backend server.
func (s *site) startVM(zone, service string, more ...string) {
	s.t.Helper()
	node, err := s.fleet.Start("dragonflyport", nil, "node", "--zone", zone, "--region", "ost",
		"--link-address", "127.0.0.1:0", "--caller-address", "127.0.0.1:0", "--egress-address", "127.0.0.1:0",
		"--operator-address", "127.0.0.1:0", "--platform-url", s.platformURL, "--secret-file", s.secretFile,
		"--seeds", s.seeds)
	assert.NilError(s.t, err)
	args := append([]string{"standin", "backend", "--service", service, "--egress", "http://" + s.field(node, "egress")}, more...)
	backend, err := s.fleet.Start("dragonflyport-lab", nil, args...)
	assert.NilError(s.t, err)
	s.vms = append(s.vms, &vm{
		node: node, backend: backend,
		callers:    "http://" + s.field(node, "callers"),
		operator:   s.field(node, "operator"),
		address:    s.field(node, "address"),
		backendURL: "http://" + s.field(backend, "listening"),
	})
}

// TestNewVMStartsFromSeeds checks that a VM that starts during an outage of the platform gets the rules, the
// other VMs, the rates and the claims from its seed nodes, serves callers and gets requests from other
// entry nodes.
func TestNewVMStartsFromSeeds(t *testing.T) {
	s := startSite(t)
	assert.NilError(t, s.platformProcess.Signal(syscall.SIGSTOP))
	s.seeds = s.vms[0].address + "," + s.vms[3].address
	s.startVM("ost-1", "ordering", "--service-time", "5ms", "--slots", "50")
	fresh := s.vms[len(s.vms)-1]
	s.waitServed(fresh.callers)
	var group errgroup.Group
	for i := range 100 {
		entry := s.vms[i%4].callers
		group.Go(func() error {
			s.call(entry, fmt.Sprintf("order-%d", i))
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	assert.Assert(t, len(s.ledger(fresh).Runs) > 0, "the new VM got no requests from the other entry nodes")
}

// call sends an order to an entry node and returns the status and body of the answer, or 0 and the error.
func (s *site) call(entry, operation string) (int, string) {
	req, err := http.NewRequest("POST", entry+"/order/1?key="+key, nil)
	assert.NilError(s.t, err)
	req.Header.Set("Idempotency-Key", operation)
	req.Header.Set("Lab-Operation", operation)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// ledger returns the ledger of a VM's backend server.
func (s *site) ledger(v *vm) dfpbackendserver.LedgerSnapshot {
	resp, err := http.Get(v.backendURL + "/ledger")
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	var ledger dfpbackendserver.LedgerSnapshot
	assert.NilError(s.t, json.NewDecoder(resp.Body).Decode(&ledger))
	return ledger
}

// waitServed sends orders to an entry node until one is served, since the processes take some time to be ready.
func (s *site) waitServed(entry string) {
	s.t.Helper()
	var status int
	var body string
	for i := range 200 {
		if status, body = s.call(entry, fmt.Sprintf("warm-%s-%d", entry[len(entry)-5:], i)); status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Fatalf("no request was served through %s: %d %s", entry, status, body)
}

// startSite starts the platform stand-in and two VMs in each of two zones: one of the service "ordering",
// whose orders make a nested call, and one of the service "stock", which serves that call.
func startSite(t *testing.T) *site {
	dir := t.TempDir()
	fleet, err := dfpendtoend.Build(dir)
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	s := &site{t: t, fleet: fleet, secretFile: filepath.Join(dir, "secret")}
	assert.NilError(t, os.WriteFile(s.secretFile, []byte("end-to-end secret of the test\n"), 0o600))
	platform, err := fleet.Start("dragonflyport-lab", nil, "standin", "platform")
	assert.NilError(t, err)
	s.platformProcess, s.platformURL = platform, "http://"+s.field(platform, "listening")
	client := dfpplatform.New(dfpplatform.Config{URL: s.platformURL})
	defer client.Close()
	rules := fmt.Sprintf(`availability_zone ost-1 region=ost # test
availability_zone ost-2 region=ost # test
organisation waldspiel rate=1000/s burst=1000 # test
key waldspiel %s # test
service ordering slots=50 # test
service stock slots=50 # test
route POST /order/* service=ordering importance=critical # test
`, dfpkey.Hash(key))
	result := dfpapply.Run(context.Background(), client, dfpconfig.ApplyConfig{Text: []byte(rules), By: "test"})
	assert.Equal(t, result.Outcome, dfpconfig.Accepted, result.Reason)
	nested := []string{"--nested", "/order POST stock /reserve/1", "--service-time", "300ms", "--slots", "50"}
	s.startVM("ost-1", "ordering", nested...)
	s.startVM("ost-2", "ordering", nested...)
	s.startVM("ost-1", "stock", "--slots", "50")
	s.startVM("ost-2", "stock", "--slots", "50")
	for _, v := range s.vms {
		s.waitServed(v.callers)
	}
	return s
}

// TestWholePathAndGracefulStop checks the whole path of requests through separate processes: each caller gets
// the answer to its own order, each order and each nested call runs once, for the key's organisation, and no
// backend server sees the key. One node shuts down gracefully while requests are in progress, and none of
// them fails.
func TestWholePathAndGracefulStop(t *testing.T) {
	s := startSite(t)
	stopping := s.vms[0]
	const requests = 40
	var group errgroup.Group
	statuses := make([]string, requests)
	for i := range requests {
		entry := s.vms[1+i%3].callers
		group.Go(func() error {
			status, body := s.call(entry, fmt.Sprintf("order-%d", i))
			statuses[i] = fmt.Sprintf("%d %s", status, body)
			return nil
		})
	}
	s.waitRunning(stopping)
	assert.NilError(t, stopping.node.Signal(syscall.SIGTERM))
	assert.NilError(t, stopping.node.Wait())
	assert.NilError(t, group.Wait())
	for i, got := range statuses {
		want := fmt.Sprintf(`200 {"service":"ordering","operation":"order-%d","organisation":"waldspiel","path":"/order/1"}`, i)
		assert.Equal(t, got, want)
	}
	runs := map[string]int{}
	ranOnStopping := 0
	for _, v := range s.vms {
		ledger := s.ledger(v)
		for _, run := range ledger.Runs {
			runs[run.Operation]++
			assert.Equal(t, run.Organisation, "waldspiel")
			if v == stopping && run.Operation[0] == 'o' {
				ranOnStopping++
			}
		}
		assert.Equal(t, ledger.Headers["Authorization"], 0)
	}
	for i := range requests {
		assert.Equal(t, runs[fmt.Sprintf("order-%d", i)], 1)
		assert.Equal(t, runs[fmt.Sprintf("order-%d/0", i)], 1)
	}
	assert.Assert(t, ranOnStopping > 0, "no order ran on the stopping VM, so the test shows nothing")
}

// waitRunning waits until an order is running on a backend server.
func (s *site) waitRunning(v *vm) {
	s.t.Helper()
	for range 500 {
		for _, run := range s.ledger(v).Runs {
			if run.Operation[0] == 'o' && !run.Ended {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("no order has reached the backend server")
}
