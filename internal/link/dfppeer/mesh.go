package dfppeer

import (
	"context"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
	"dragonflyport/internal/link/dfpanswer"
)

// Mesh holds a node's connections to the other nodes.
type Mesh struct {
	cfg    Config
	epoch  time.Time
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	stats  stats

	// secret is shared by all nodes. It points to an empty slice until it is set.
	secret         atomic.Pointer[[]byte]
	closed         atomic.Bool
	handshakes     atomic.Int32
	controls       atomic.Int32
	inboundRunning atomic.Int32
	sequence       atomic.Uint64

	peersMu sync.Mutex
	peers   atomic.Pointer[map[string]*peer] // Copied on write.

	inboundShards [shardCount]inboundShard

	orphansMu sync.Mutex
	orphans   []orphan
}

// New returns a mesh. Its goroutines run in the configuration's group until Close.
func New(cfg Config) *Mesh {
	m := &Mesh{cfg: cfg.withDefaults(), epoch: time.Now()}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.client = &http.Client{Transport: dfpanswer.New(dfpanswer.Config{Dial: m.dial, DisableKeepAlives: true})}
	m.SetSecret(m.cfg.Secret)
	m.peers.Store(&map[string]*peer{})
	for i := range m.inboundShards {
		m.inboundShards[i].ledger = dfponce.NewLedger(shardLedgerConfig(m.cfg.Ledger))
		m.inboundShards[i].running = make(map[dfpcall.RequestID]*inboundRequest)
	}
	m.cfg.Group.Go(m.watch)
	return m
}

// SetSecret sets the secret that all nodes share. Until it is set, the mesh neither dials nor accepts
// connections.
func (m *Mesh) SetSecret(secret []byte) { m.secret.Store(&secret) }

func (m *Mesh) hasSecret() bool { return len(*m.secret.Load()) > 0 }

func (m *Mesh) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := m.cfg.Dial(ctx, network, address)
	if err == nil {
		limitWriteBuffer(c)
	}
	return c, err
}

// now returns the time since the mesh's epoch in nanoseconds. It is never 0.
func (m *Mesh) now() int64 { return int64(time.Since(m.epoch)) + 1 }

// maxGap returns the longest time without a message after which a connection is still read. It must
// stay below the time for which the ledger records barred IDs.
func (m *Mesh) maxGap() time.Duration { return 2*m.cfg.HeartbeatInterval + m.cfg.ProbeTimeout }

func (m *Mesh) peer(address string) *peer {
	if p := (*m.peers.Load())[address]; p != nil {
		return p
	}
	m.peersMu.Lock()
	defer m.peersMu.Unlock()
	old := *m.peers.Load()
	if p := old[address]; p != nil {
		return p
	}
	p := newPeer(m, address)
	peers := make(map[string]*peer, len(old)+1)
	for a, q := range old {
		peers[a] = q
	}
	peers[address] = p
	m.peers.Store(&peers)
	return p
}

// addConn adds an authenticated WebSocket connection to the peer and starts its loops.
func (m *Mesh) addConn(p *peer, ws *websocket.Conn, incarnation uint64, dialed bool) *conn {
	c := &conn{mesh: m, peer: p, ws: ws, incarnation: incarnation, dialed: dialed, openedAt: m.now(), out: newSendQueue()}
	c.lastRead.Store(m.now())
	c.lastUse.Store(m.now())
	c.lastWrite.Store(m.now())
	m.stats.connections.Add(1)
	m.stats.opened.Add(1)
	p.add(c)
	m.cfg.Group.Go(c.writeLoop)
	m.cfg.Group.Go(c.readLoop)
	if m.closed.Load() {
		c.startClosing()
	}
	if m.ctx.Err() != nil {
		c.fail(errIdle)
	}
	return c
}

// Run sends a request to another node, which runs it, and returns the outcome. When the context
// ends, Run cancels the request on that node and waits up to CancelWait for the outcome. The caller
// must not change req until Run returns, and must never reuse its ID.
func (m *Mesh) Run(ctx context.Context, to string, req *dfpcall.Request) dfpcall.Outcome {
	if m.closed.Load() {
		return notRun(req, dfpcall.ReasonDraining)
	}
	return m.peer(to).run(ctx, req)
}

// Call sends a control message and waits for its reply. The error wraps ErrUnreachable, ErrLinkLost,
// ErrQueueFull, ErrInvalidFrame, ErrFrameTooLong, ErrClosed, ErrRemote or the context's error.
func (m *Mesh) Call(ctx context.Context, to string, msg Control) (Control, error) {
	if m.closed.Load() {
		return Control{}, ErrClosed
	}
	msg.Version = m.cfg.Version()
	return m.peer(to).call(ctx, msg)
}

// Notify sends a control message without waiting and without a delivery guarantee.
func (m *Mesh) Notify(to string, msg Control) {
	if m.closed.Load() {
		return
	}
	msg.Version = m.cfg.Version()
	m.peer(to).notify(msg)
}

// Close shuts the mesh down: it starts nothing new and waits, until the context ends, for the requests
// and control messages in progress in both directions. Then it closes all connections.
func (m *Mesh) Close(ctx context.Context) {
	if m.closed.Swap(true) {
		return
	}
	for _, c := range m.connections() {
		c.startClosing()
	}
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil && !m.drained() {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	m.cancel()
	for _, c := range m.connections() {
		c.fail(errIdle)
	}
}

// drained reports whether no request or control message is in progress in either direction and no
// frame waits to be written.
func (m *Mesh) drained() bool {
	if m.inboundRunning.Load() > 0 || m.controls.Load() > 0 {
		return false
	}
	for _, p := range *m.peers.Load() {
		if p.waiting() > 0 {
			return false
		}
	}
	for _, c := range m.connections() {
		if !c.out.empty() || c.writeStartedAt.Load() != 0 {
			return false
		}
	}
	return true
}

func (m *Mesh) connections() []*conn {
	var conns []*conn
	for _, p := range *m.peers.Load() {
		conns = append(conns, p.connections()...)
	}
	return conns
}

// PeerState describes a peer in the result of State.
type PeerState struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Connections int    `json:"connections"`
	// Waiting is the number of requests and calls to the peer without a reply.
	Waiting int `json:"waiting"`
	// SilentMilliseconds is the time since the last message from the peer, or -1 if there is no
	// connection.
	SilentMilliseconds int64 `json:"silent_milliseconds"`
	// LastError is the error of the last dial, if it failed.
	LastError string `json:"last_error,omitempty"`
}

// State returns the state of each peer, sorted by address.
func (m *Mesh) State() []PeerState {
	var states []PeerState
	for _, p := range *m.peers.Load() {
		states = append(states, p.state())
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Address < states[j].Address })
	return states
}

func notRun(req *dfpcall.Request, reason dfpcall.Reason) dfpcall.Outcome {
	return &dfpcall.NotRun{Reason: reason, Budget: req.Budget}
}

func unknown(req *dfpcall.Request, reason dfpcall.Reason) dfpcall.Outcome {
	return &dfpcall.Unknown{Reason: reason, Budget: req.Budget}
}
