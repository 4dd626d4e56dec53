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
	// callsPerSecond is what callers send through each node.
	callsPerSecond = 12.0
	callTimeout    = RouteTimeout + time.Second
	probePause     = 150 * time.Millisecond
	// lastPart is the part of the duration, at its end, in which the fleet must serve again.
	lastPart = 0.1
	// delayed and slowed are the delays of links and of the store.
	delayed = 80 * time.Millisecond
	slowed  = 600 * time.Millisecond
	// floodPart is the part of calls of an organisation that sends more than its rate.
	floodPart = 0.5
)

// The organisations: one without a limit, one that sends too much.
const (
	free  = "waldspiel"
	flood = "nordlicht"
	// freeKeys is the number of keys of the first; all but one may be withdrawn.
	freeKeys = 4
	// floodRate is its rate, in requests a second, and lowRate the one after it is lowered.
	floodRate, lowRate = 20.0, 5.0
)

// site is a deployment of node processes; the store, the backend servers and the callers are in this process.
type site struct {
	cfg   Config
	fleet *dfpendtoend.Fleet
	store *dfpstore.Store
	nodes []*node
	// ctx is the life of all that runs here; group holds it.
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group

	mu       sync.Mutex
	started  time.Time
	rules    Rules
	faults   []string
	evidence Evidence
}

// node is one node process and what stands around it.
type node struct {
	index int
	addr  NodeSpec
	path  string
	// inbound carries what other nodes send, storeWay what the node sends to the store.
	inbound, storeWay *dfpforwarder.Link
	client            *http.Client
	backend           *backend

	mu      sync.Mutex // Held through a fault of the process.
	process *dfpendtoend.Process

	state  sync.Mutex // Guards starts and ending.
	starts int
	// ending says that the process has been told to end.
	ending bool
}

// newSite builds the programs and starts everything.
func newSite(ctx context.Context, cfg Config, dir string) (*site, error) {
	fleet, err := dfpendtoend.Build(dir)
	if err != nil {
		return nil, err
	}
	s := &site{cfg: cfg, fleet: fleet, store: dfpstore.New(dfpstore.Config{})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.evidence = Evidence{Bounds: DefaultBounds, Withdrawn: map[string]time.Time{}, DrainAcknowledged: map[string]time.Time{}}
	s.rules = Rules{Version: 3, Organisations: []Organisation{{Name: free}, {Name: flood, Keys: []string{"key-flood"}, Rate: floodRate, Burst: floodRate}}}
	for i := range freeKeys {
		s.rules.Organisations[0].Keys = append(s.rules.Organisations[0].Keys, fmt.Sprintf("key-%d", i))
	}
	s.evidence.Limits = []Limit{{Organisation: flood, Rate: floodRate, Burst: floodRate}}
	s.configure()
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

// configure writes the rules as the operator does. The store's faults do not meet it.
func (s *site) configure() {
	s.store.Put(s.cfg.Protocol.ConfigurationKey(), s.cfg.Protocol.Configuration(s.rules))
}

// serve serves a handler on a free port and returns its address.
func (s *site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(s.ctx, func() { _ = server.Close() }) // Nobody needs it any more.
	s.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return listener.Addr().String(), nil
}

// forward serves a forwarder to a target and returns its address.
func (s *site) forward(link *dfpforwarder.Link, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.group.Go(func() error { return link.Serve(s.ctx, listener, target) })
	return listener.Addr().String(), nil
}

func (s *site) startNodes(dir, store string) error {
	for i := range s.cfg.Nodes {
		n := &node{
			index: i, path: filepath.Join(dir, fmt.Sprintf("node-%d.toml", i)),
			inbound: dfpforwarder.New(dfpforwarder.Conditions{}), storeWay: dfpforwarder.New(dfpforwarder.Conditions{}),
			client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		}
		n.addr = NodeSpec{Zone: fmt.Sprintf("zone-%d", i%zones), Region: "ost", Service: ServiceFront}
		if i/zones%2 == 1 {
			n.addr.Service = ServiceDeep
		}
		host := s.loopback(i)
		for port, address := range []*string{&n.addr.LinkListen, &n.addr.Callers, &n.addr.Ready, &n.addr.Heartbeats, &n.addr.Metrics, &n.addr.Backend} {
			*address = fmt.Sprintf("%s:%d", host, firstPort+port)
		}
		var err error
		if n.addr.Link, err = s.forward(n.inbound, n.addr.LinkListen); err != nil {
			return err
		}
		if n.addr.Store, err = s.forward(n.storeWay, store); err != nil {
			return err
		}
		if err := os.WriteFile(n.path, []byte(s.cfg.Protocol.Settings(n.addr, DefaultBounds)), 0o600); err != nil {
			return err
		}
		n.backend = &backend{site: s, node: n, rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(100+i)))}
		s.nodes = append(s.nodes, n)
		if err := s.start(n); err != nil {
			return err
		}
		if err := n.backend.start(); err != nil {
			return err
		}
		s.group.Go(n.backend.beat)
	}
	return nil
}

// loopback returns a loopback address of a node's own. Outgoing connections have another one, so that none
// takes a port of the node's while it is down, and seeds that run at once do not meet.
func (s *site) loopback(node int) string {
	const most = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%most, 1+s.cfg.Seed%most, 1+node%most)
}

// start starts a node's process and watches that it does not end by itself.
func (s *site) start(n *node) error {
	args, env := s.cfg.Protocol.Command(n.addr, n.path)
	process, err := s.fleet.Start("dragonflyport", env, args...)
	if err != nil {
		return err
	}
	n.state.Lock()
	n.process, n.ending = process, false
	n.starts++
	n.state.Unlock()
	s.group.Go(func() error {
		select {
		case <-s.ctx.Done():
			return nil
		case <-process.Ended():
		}
		n.state.Lock()
		byItself := !n.ending && n.process == process
		n.state.Unlock()
		if byItself {
			log := process.Log()
			s.ended("node %d ended by itself: %v: %q", n.index, process.Wait(), log[max(0, len(log)-3):])
		}
		return nil
	})
	return nil
}

func (s *site) ended(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.UnexpectedExits = append(s.evidence.UnexpectedExits, fmt.Sprintf(format, args...))
}

// name names the present process of a node.
func (n *node) name() string {
	n.state.Lock()
	defer n.state.Unlock()
	return fmt.Sprintf("node %d start %d", n.index, n.starts)
}

// end sends a signal that ends the process.
func (n *node) end(sig syscall.Signal) (*dfpendtoend.Process, error) {
	n.state.Lock()
	n.ending = true
	process := n.process
	n.state.Unlock()
	return process, process.Signal(sig)
}

// awaitService waits until each node serves an order.
func (s *site) awaitService(ctx context.Context) error {
	const most = 20 * time.Second
	deadline := time.Now().Add(most)
	for _, n := range s.nodes {
		for i := 0; ; i++ {
			c := s.call(ctx, n, Call{ID: fmt.Sprintf("first-%d-%d", n.index, i), Path: PathOrder, Organisation: free, Key: "key-0", AtMostOnce: true})
			if c.Verdict == Completed {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%w: node %d within %v: %s\n%q", ErrNotReady, n.index, most, c.Verdict, n.process.Log())
			}
			time.Sleep(probePause)
		}
	}
	return nil
}

// call sends a call and keeps it as evidence.
func (s *site) call(ctx context.Context, n *node, c Call) Call {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.Node, c.Sent, c.Verdict = n.index, time.Now(), Lost
	if r, err := s.cfg.Protocol.NewCall(ctx, n.addr.Callers, c); err == nil {
		if response, err := n.client.Do(r); err == nil {
			if body, err := io.ReadAll(response.Body); err == nil {
				c.Verdict = s.cfg.Protocol.Classify(response, body, c)
			}
			_ = response.Body.Close() // It has been read, or failed before.
		}
	}
	c.Ended = time.Now()
	s.mu.Lock()
	s.evidence.Calls = append(s.evidence.Calls, c)
	s.mu.Unlock()
	return c
}

// load sends the calls of a node's callers. They use open connections until the process is gone.
func (s *site) load(ctx context.Context, index int, end time.Time) error {
	rnd := rand.New(rand.NewPCG(s.cfg.Seed, uint64(200+index)))
	var group errgroup.Group
	for i := 0; time.Now().Before(end); i++ {
		c := Call{ID: fmt.Sprintf("%d-%d-%d", s.cfg.Seed, index, i), Path: PathBrowse + "packs/", Organisation: free}
		c.Key = fmt.Sprintf("key-%d", rnd.IntN(freeKeys))
		if rnd.Float64() < floodPart {
			c.Organisation, c.Key = flood, "key-flood"
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

// probe asks a node for the routes that were added last.
func (s *site) probe(ctx context.Context, index int, end time.Time) error {
	n := s.nodes[index]
	for i := 0; time.Now().Before(end) && sleepUntil(ctx, time.Now().Add(probePause)); i++ {
		s.mu.Lock()
		added := s.rules.AddedPaths
		s.mu.Unlock()
		if len(added) == 0 {
			continue
		}
		process, route := n.name(), added[max(0, len(added)-1-i%2)]
		c := s.call(ctx, n, Call{ID: fmt.Sprintf("probe-%d-%d", index, i), Path: route, Organisation: free, Key: "key-0", Probe: true})
		if n.name() != process || c.Verdict != Completed && c.Verdict != Denied {
			continue
		}
		s.mu.Lock()
		s.evidence.Probes = append(s.evidence.Probes, Probe{process, route, c.Sent, c.Verdict == Completed})
		s.mu.Unlock()
	}
	return nil
}

func (s *site) close() {
	s.cancel()
	s.fleet.Close()
	for _, n := range s.nodes {
		n.backend.stop()
	}
	_ = s.group.Wait() // All of it ends with the context, whatever it met.
}
