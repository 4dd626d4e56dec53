package dfpsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/standin/dfpendtoend"
	"dragonflyport/internal/standin/dfpforwarder"
	"dragonflyport/internal/standin/dfpstore"
)

const (
	zones = 2
	// firstPort is the lowest port of a node's listeners.
	firstPort = 7100
	// callsPerSecond is the mean rate of the calls that callers send to each node.
	callsPerSecond = 12.0
	callTimeout    = RouteTimeout + time.Second
	probeInterval  = 150 * time.Millisecond
	// recoveryFraction is the fraction of the duration, at its end, in which the fleet must serve again.
	recoveryFraction = 0.1
	// linkDelay and storeDelay are the delays that the faults delayLink and storeSlow add.
	linkDelay  = 80 * time.Millisecond
	storeDelay = 600 * time.Millisecond
	// overloadFraction is the fraction of calls that come from overloadOrg.
	overloadFraction = 0.5
)

// The organisations: one without a rate limit, one that sends more than its rate limit.
const (
	unlimitedOrg = "waldspiel"
	overloadOrg  = "nordlicht"
	// unlimitedKeys is the number of keys of unlimitedOrg; all but one may be withdrawn.
	unlimitedKeys = 4
	// overloadRate is the rate limit of overloadOrg, in requests a second, and loweredRate its limit after the
	// fault lowerRate.
	overloadRate, loweredRate = 20.0, 5.0
)

// soak is one soak test. The nodes are processes of their own; the store, the backend servers and the callers
// run in this process.
type soak struct {
	cfg   Config
	fleet *dfpendtoend.Fleet
	store *dfpstore.Store
	nodes []*node
	// ctx ends all goroutines that run in this process; group waits for them.
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	mu       sync.Mutex
	started  time.Time
	rules    Rules
	faults   []string
	evidence Evidence
}

// node is one node with its process, its forwarders, the HTTP client of its callers, and its backend server.
type node struct {
	index int
	spec  NodeSpec
	path  string
	// inbound carries the connections from other nodes, storeLink those from the node to the store.
	inbound, storeLink *dfpforwarder.Link
	client             *http.Client
	backend            *backend

	mu      sync.Mutex // Held while a fault of the process is in force.
	process *dfpendtoend.Process

	state  sync.Mutex // Guards starts and terminating.
	starts int
	// terminating means that the process was sent SIGTERM or SIGKILL.
	terminating bool
}

// newSoak builds the programs and starts the store, the nodes and the backend servers.
func newSoak(ctx context.Context, cfg Config, dir string) (*soak, error) {
	fleet, err := dfpendtoend.Build(dir)
	if err != nil {
		return nil, err
	}
	s := &soak{cfg: cfg, fleet: fleet, store: dfpstore.New(dfpstore.Config{})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.evidence = Evidence{Bounds: DefaultBounds, Withdrawn: map[string]time.Time{}, DrainAcknowledged: map[string]time.Time{}}
	s.rules = Rules{Version: 3, Organisations: []Organisation{{Name: unlimitedOrg}, {Name: overloadOrg, Keys: []string{"key-flood"}, Rate: overloadRate, Burst: overloadRate}}}
	for i := range unlimitedKeys {
		s.rules.Organisations[0].Keys = append(s.rules.Organisations[0].Keys, fmt.Sprintf("key-%d", i))
	}
	s.evidence.Limits = []Limit{{Organisation: overloadOrg, Rate: overloadRate, Burst: overloadRate}}
	s.writeConfiguration()
	store, err := s.serve(cfg.Protocol.StoreHandler(s.store))
	if err == nil {
		err = s.startNodes(dir, store)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// writeConfiguration writes the rules to the store as an operator does. The store's faults do not affect the
// write.
func (s *soak) writeConfiguration() {
	s.store.Put(s.cfg.Protocol.ConfigurationKey(), s.cfg.Protocol.Configuration(s.rules))
}

// serve serves a handler on a free port and returns its address.
func (s *soak) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(s.ctx, func() { _ = server.Close() }) // Nothing uses the server after the test.
	s.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return listener.Addr().String(), nil
}

// serveForwarder serves a forwarder to a target and returns the forwarder's address.
func (s *soak) serveForwarder(link *dfpforwarder.Link, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.group.Go(func() error { return link.Serve(s.ctx, listener, target) })
	return listener.Addr().String(), nil
}

// startNodes starts the nodes with their forwarders and backend servers. The store's address is host:port.
func (s *soak) startNodes(dir, store string) error {
	for i := range s.cfg.Nodes {
		n := &node{
			index: i, path: filepath.Join(dir, fmt.Sprintf("node-%d.toml", i)),
			inbound: dfpforwarder.New(dfpforwarder.Conditions{}), storeLink: dfpforwarder.New(dfpforwarder.Conditions{}),
			client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		}
		n.spec = NodeSpec{Zone: fmt.Sprintf("zone-%d", i%zones), Region: "ost", Service: ServiceFront}
		if i/zones%2 == 1 {
			n.spec.Service = ServiceDeep
		}
		host := s.loopback(i)
		for port, address := range []*string{&n.spec.LinkListen, &n.spec.Callers, &n.spec.Ready, &n.spec.Heartbeats, &n.spec.Metrics, &n.spec.Backend} {
			*address = fmt.Sprintf("%s:%d", host, firstPort+port)
		}
		var err error
		if n.spec.Link, err = s.serveForwarder(n.inbound, n.spec.LinkListen); err != nil {
			return err
		}
		if n.spec.Store, err = s.serveForwarder(n.storeLink, store); err != nil {
			return err
		}
		if err := os.WriteFile(n.path, []byte(s.cfg.Protocol.Settings(n.spec, DefaultBounds)), 0o600); err != nil {
			return err
		}
		n.backend = &backend{soak: s, node: n, rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(100+i)))}
		s.nodes = append(s.nodes, n)
		if err := s.start(n); err != nil {
			return err
		}
		if err := n.backend.start(); err != nil {
			return err
		}
		s.group.Go(n.backend.sendHeartbeats)
	}
	return nil
}

// loopback returns the loopback address of a node. Each node has its own, and outgoing connections use another
// one: no connection takes a port of a node that is down, and seeds that run at the same time do not collide.
func (s *soak) loopback(node int) string {
	const addresses = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%addresses, 1+s.cfg.Seed%addresses, 1+node%addresses)
}

// start starts a node's process. If the process ends without a signal from terminate, it is recorded as an
// unexpected exit.
func (s *soak) start(n *node) error {
	args, env := s.cfg.Protocol.Command(n.spec, n.path)
	process, err := s.fleet.Start("dragonflyport", env, args...)
	if err != nil {
		return err
	}
	n.state.Lock()
	n.process, n.terminating = process, false
	n.starts++
	n.state.Unlock()
	s.mu.Lock()
	s.evidence.Starts = append(s.evidence.Starts, Start{n.index, time.Now()})
	s.mu.Unlock()
	s.group.Go(func() error {
		select {
		case <-s.ctx.Done():
			return nil
		case <-process.Ended():
		}
		n.state.Lock()
		unexpected := !n.terminating && n.process == process
		n.state.Unlock()
		if unexpected {
			log := process.Log()
			s.recordUnexpectedExit("node %d ended by itself: %v: %q", n.index, process.Wait(), log[max(0, len(log)-3):])
		}
		return nil
	})
	return nil
}

// recordUnexpectedExit adds a line to Evidence.UnexpectedExits.
func (s *soak) recordUnexpectedExit(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.UnexpectedExits = append(s.evidence.UnexpectedExits, fmt.Sprintf(format, args...))
}

// processName identifies the current process of a node.
func (n *node) processName() string {
	n.state.Lock()
	defer n.state.Unlock()
	return fmt.Sprintf("node %d start %d", n.index, n.starts)
}

// terminate sends a signal that ends the process, and returns the process.
func (n *node) terminate(sig syscall.Signal) (*dfpendtoend.Process, error) {
	n.state.Lock()
	n.terminating = true
	process := n.process
	n.state.Unlock()
	return process, process.Signal(sig)
}

// awaitService waits until each node serves an order.
func (s *soak) awaitService(ctx context.Context) error {
	const timeout = 20 * time.Second
	deadline := time.Now().Add(timeout)
	for _, n := range s.nodes {
		for i := 0; ; i++ {
			c := s.call(ctx, n, Call{ID: fmt.Sprintf("first-%d-%d", n.index, i), Path: PathOrder, Organisation: unlimitedOrg, Key: "key-0", AtMostOnce: true})
			if c.Verdict == Completed {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%w: node %d served no order within %v: last verdict %s\n%q", ErrNotReady, n.index, timeout, c.Verdict, n.process.Log())
			}
			time.Sleep(probeInterval)
		}
	}
	return nil
}

// call sends a call to a node, adds it to the evidence and returns it with its verdict.
func (s *soak) call(ctx context.Context, n *node, c Call) Call {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.Node, c.Sent, c.Verdict = n.index, time.Now(), Lost
	if r, err := s.cfg.Protocol.NewCall(ctx, n.spec.Callers, c); err == nil {
		if response, err := n.client.Do(r); err == nil {
			if body, err := io.ReadAll(response.Body); err == nil {
				c.Verdict = s.cfg.Protocol.Classify(response, body, c)
			}
			_ = response.Body.Close() // The body has been read, or reading it has failed.
		}
	}
	c.Ended = time.Now()
	s.mu.Lock()
	s.evidence.Calls = append(s.evidence.Calls, c)
	s.mu.Unlock()
	return c
}

// sendLoad sends the calls of a node's callers until end. The callers keep their connections open until the
// process ends.
func (s *soak) sendLoad(ctx context.Context, index int, end time.Time) error {
	rnd := rand.New(rand.NewPCG(s.cfg.Seed, uint64(200+index)))
	var group errgroup.Group
	for i := 0; time.Now().Before(end); i++ {
		c := Call{ID: fmt.Sprintf("%d-%d-%d", s.cfg.Seed, index, i), Path: PathBrowse + "packs/", Organisation: unlimitedOrg}
		c.Key = fmt.Sprintf("key-%d", rnd.IntN(unlimitedKeys))
		if rnd.Float64() < overloadFraction {
			c.Organisation, c.Key = overloadOrg, "key-flood"
		}
		if c.AtMostOnce = rnd.IntN(2) == 0; c.AtMostOnce {
			c.Path = PathOrder
		}
		group.Go(func() error { s.call(ctx, s.nodes[index], c); return nil })
		if !sleepUntil(ctx, time.Now().Add(time.Duration(rnd.ExpFloat64()/callsPerSecond*float64(time.Second)))) {
			break
		}
	}
	return group.Wait()
}

// probeRoutes sends requests to a node for the two routes that were added last, until end.
func (s *soak) probeRoutes(ctx context.Context, index int, end time.Time) error {
	n := s.nodes[index]
	for i := 0; time.Now().Before(end) && sleepUntil(ctx, time.Now().Add(probeInterval)); i++ {
		s.mu.Lock()
		added := s.rules.AddedPaths
		s.mu.Unlock()
		if len(added) == 0 {
			continue
		}
		process, route := n.processName(), added[max(0, len(added)-1-i%2)]
		c := s.call(ctx, n, Call{ID: fmt.Sprintf("probe-%d-%d", index, i), Path: route, Organisation: unlimitedOrg, Key: "key-0", Probe: true})
		if n.processName() != process || c.Verdict != Completed && c.Verdict != Denied {
			continue
		}
		s.mu.Lock()
		s.evidence.Probes = append(s.evidence.Probes, Probe{process, route, c.Sent, c.Verdict == Completed})
		s.mu.Unlock()
	}
	return nil
}

// close ends the node processes and everything that the test runs in this process.
func (s *soak) close() {
	s.cancel()
	s.fleet.Close()
	for _, n := range s.nodes {
		n.backend.stop()
	}
	_ = s.group.Wait() // Errors after the end of the test do not matter.
}
