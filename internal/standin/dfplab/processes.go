package dfplab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpendtoend"
	"dragonflyport/internal/standin/dfpforwarder"
)

// errNotServed is wrapped by the error for a node that serves no request within serveTimeout.
var errNotServed = errors.New("no request was served")

const (
	serveTimeout      = 20 * time.Second
	servePollInterval = 50 * time.Millisecond
)

// processVM is a VM whose node and backend server are real processes. Other nodes reach its node through
// a forwarder, and the node reaches the platform through its zone's forwarder.
type processVM struct {
	zone, service string
	node, backend *dfpendtoend.Process
	callerURL     string
	backendURL    string
	// inbound carries the connections from other nodes to this node.
	inbound *dfpforwarder.Link
	// closeInbound closes the forwarder, so that its address refuses connections, as the address of a
	// process that has exited does.
	closeInbound context.CancelFunc
}

// processDeployment is a deployment of real processes.
type processDeployment struct {
	fleet       *dfpendtoend.Fleet
	secret      string
	platformURL string
	// platformLinks carry the calls to the platform, by zone.
	platformLinks map[string]*dfpforwarder.Link
	platformURLs  map[string]string
	vms           []*processVM
	group         errgroup.Group
	ctx           context.Context
	cancel        context.CancelFunc
}

// startProcesses builds the programs in dir and starts the platform stand-in with a forwarder for each
// zone. The caller must call close.
func startProcesses(dir string, zones []string) (*processDeployment, error) {
	fleet, err := dfpendtoend.Build(dir)
	if err != nil {
		return nil, err
	}
	p := &processDeployment{
		fleet: fleet, secret: filepath.Join(dir, "secret"),
		platformLinks: make(map[string]*dfpforwarder.Link), platformURLs: make(map[string]string),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.startPlatform(zones); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *processDeployment) startPlatform(zones []string) error {
	if err := os.WriteFile(p.secret, []byte("secret of the measurement of faults\n"), 0o600); err != nil {
		return err
	}
	process, err := p.fleet.Start("dragonflyport-lab", nil, "standin", "platform")
	if err != nil {
		return err
	}
	address, err := process.Field("listening")
	if err != nil {
		return err
	}
	p.platformURL = "http://" + address
	for _, zone := range zones {
		link, listener, err := newForwarder()
		if err != nil {
			return err
		}
		p.group.Go(func() error { return link.Serve(p.ctx, listener, address) })
		p.platformLinks[zone], p.platformURLs[zone] = link, "http://"+listener.Addr().String()
	}
	return nil
}

func newForwarder() (*dfpforwarder.Link, net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return dfpforwarder.New(dfpforwarder.Conditions{}), listener, err
}

// startVM starts a node and its backend server with the extra arguments backendArgs.
func (p *processDeployment) startVM(zone, service string, backendArgs ...string) error {
	link, listener, err := newForwarder()
	if err != nil {
		return err
	}
	// The node advertises the forwarder's address, and the forwarder needs the node's address as its
	// target; so the node's port is chosen before either starts.
	target, err := freeAddress()
	if err != nil {
		return err
	}
	ctx, closeInbound := context.WithCancel(p.ctx)
	p.group.Go(func() error { return link.Serve(ctx, listener, target) })
	vm := &processVM{zone: zone, service: service, inbound: link, closeInbound: closeInbound}
	vm.node, err = p.fleet.Start("dragonflyport", nil, "node", "--zone", zone, "--region", "ost",
		"--link-address", target, "--link-advertise", listener.Addr().String(),
		"--caller-address", "127.0.0.1:0", "--egress-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0",
		"--platform-url", p.platformURLs[zone], "--secret-file", p.secret)
	if err != nil {
		closeInbound()
		return err
	}
	p.vms = append(p.vms, vm)
	egress, err := vm.node.Field("egress")
	if err != nil {
		return err
	}
	args := append([]string{"standin", "backend", "--service", service, "--egress", "http://" + egress}, backendArgs...)
	if vm.backend, err = p.fleet.Start("dragonflyport-lab", nil, args...); err != nil {
		return err
	}
	callers, err := vm.node.Field("callers")
	if err != nil {
		return err
	}
	backend, err := vm.backend.Field("listening")
	vm.callerURL, vm.backendURL = "http://"+callers, "http://"+backend
	return err
}

// freeAddress returns a loopback address with a port that was free at the time of the call.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// waitServed repeats a request at each node until the node serves it. The error wraps errNotServed if
// that does not happen within serveTimeout.
func (p *processDeployment) waitServed(ctx context.Context, method, path, key string) error {
	deadline := time.Now().Add(serveTimeout)
	for _, vm := range p.vms {
		for !serves(ctx, method, vm.callerURL+path, key) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w through %s within %s", errNotServed, vm.callerURL, serveTimeout)
			}
			time.Sleep(servePollInterval)
		}
	}
	return nil
}

func serves(ctx context.Context, method, url, key string) bool {
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body) // Lets the client reuse the connection.
	return answer.StatusCode == http.StatusOK
}

// postPlatform posts to one of the control pages of the platform stand-in.
func (p *processDeployment) postPlatform(page, body string) error {
	return post(p.ctx, p.platformURL+page, body)
}

// ledgers returns the ledgers of all backend servers, in the order of the VMs.
func (p *processDeployment) ledgers() ([]dfpbackendserver.LedgerSnapshot, error) {
	ledgers := make([]dfpbackendserver.LedgerSnapshot, len(p.vms))
	for i, vm := range p.vms {
		answer, err := http.Get(vm.backendURL + "/ledger")
		if err != nil {
			return nil, fmt.Errorf("get ledger: %w", err)
		}
		err = json.NewDecoder(answer.Body).Decode(&ledgers[i])
		if err := errors.Join(err, answer.Body.Close()); err != nil {
			return nil, fmt.Errorf("decode ledger: %w", err)
		}
	}
	return ledgers, nil
}

// close kills all processes and closes the forwarders.
func (p *processDeployment) close() {
	p.fleet.Close()
	p.cancel()
	_ = p.group.Wait() // The forwarders return when the context is cancelled.
}
