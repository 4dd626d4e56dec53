// Package dfppeer carries requests and control messages between nodes: CBOR frames in WebSocket
// messages, on connections that are dialed on demand and closed when idle. Log lines and errors
// call a connection a link.
//
// Two nodes share their connections: both send requests and control messages on them, whichever
// side dialed. Each side proves that it knows the shared secret before the other accepts any other
// frame from it.
//
// Mesh.Run sends a request to the node beside a backend server and reports how it ended: answered,
// not run, or unknown. A run frame is written at most once. If the connection is lost before the
// write, the request did not run. If the connection is lost afterwards, the mesh resolves the
// request: on another connection to the same process it sends the request ID, and either receives
// the outcome, at once or later, or learns that the request had not arrived and is now barred,
// which means that it will never run there. The outcome is unknown only if the process cannot be asked.
//
// While something waits for a reply on a connection, a probe (a heartbeat that asks for one in
// return) detects that the other side is silent. New requests then use a second connection, and the
// silent one is closed.
//
// # Usage
//
//	mesh := dfppeer.New(dfppeer.Config{Self: "10.0.3.7:9000", Secret: secret, Run: guard, ...})
//	mux.Handle(dfppeer.Path, mesh.Handler())
//	outcome := mesh.Run(ctx, "10.0.3.8:9000", req)
//	...
//	mesh.Close(ctx)
//
// All methods are safe for concurrent use.
package dfppeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// Path is the URL path at which Handler accepts WebSocket upgrades.
const Path = "/dragonflyport/link"

// Sizes in bytes, except for maxElements.
const (
	// MaxFrameBytes bounds an encoded frame, and so a request or an answer with its body.
	MaxFrameBytes = 8 << 20
	// partSize is the size of the parts into which a long frame is split.
	partSize = 32 << 10
	// maxMessageBytes bounds a WebSocket message.
	maxMessageBytes = 256 << 10
	// batchTarget is the message size from which no more short frames are added.
	batchTarget = 64 << 10
	// maxQueuedBytes bounds the frames that wait to be written on one connection.
	maxQueuedBytes = 32 << 20
	// maxAssemblyBytes bounds the total size of the long frames being received on one connection.
	maxAssemblyBytes = 32 << 20
	// socketWriteBuffer bounds the kernel's send buffer of a connection, so that heartbeats do
	// not queue behind seconds of request bodies on a slow network.
	socketWriteBuffer = 128 << 10
	// maxElements bounds the number of elements of each array and map in a frame. A head of 68 KiB, the longest that
	// any listener of a node takes, has at most 17,408 fields, of 4 bytes each.
	maxElements = 32768
)

// Limits on concurrent work, for a whole mesh if not stated otherwise.
const (
	// maxInbound bounds the requests of other nodes that run here.
	maxInbound = 16384
	// maxControls bounds the control messages of other nodes being handled.
	maxControls = 1024
	// maxHandshakes bounds the accepted connections being authenticated.
	maxHandshakes = 256
	// maxQueuedNotifications bounds the notifications per peer that wait for a dial.
	maxQueuedNotifications = 64
	// maxAssemblies bounds the number of long frames being received on one connection.
	maxAssemblies = 64
	// shardCount is the number of shards of the ledger, each with its own lock.
	shardCount = 4
)

// Errors to test for with errors.Is.
var (
	// ErrUnreachable is returned when no connection could be opened.
	ErrUnreachable = errors.New("node unreachable")
	// ErrLinkLost is returned when the connection was lost before the reply arrived.
	ErrLinkLost = errors.New("link lost")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("mesh closed")
	// ErrSecretMismatch is returned when the other side did not prove that it knows the shared secret.
	ErrSecretMismatch = errors.New("shared secret does not match")
	// ErrWrongNode is returned when the node that answers at an address reports a different address.
	ErrWrongNode = errors.New("another node answers at this address")
	// ErrInvalidFrame is returned for data that is not a valid frame.
	ErrInvalidFrame = errors.New("invalid frame")
	// ErrFrameTooLong is returned for a frame of more than MaxFrameBytes.
	ErrFrameTooLong = errors.New("frame too long")
	// ErrQueueFull is returned when too many bytes wait to be written on the connection.
	ErrQueueFull = errors.New("link queue full")
	// ErrRemote is returned with the text of the error that the other node's Control returned.
	ErrRemote = errors.New("remote error")
	errSilent = fmt.Errorf("%w: other side is silent", ErrLinkLost)
	errIdle   = fmt.Errorf("%w: closed when idle", ErrLinkLost)
)

// Defaults of Config.
const (
	DefaultProbeAfter        = 250 * time.Millisecond
	DefaultProbeTimeout      = 750 * time.Millisecond
	DefaultHeartbeatInterval = 5 * time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultDialTimeout       = 750 * time.Millisecond
	DefaultResolveTimeout    = 2 * time.Second
	DefaultCancelWait        = 50 * time.Millisecond
	DefaultOrphanTimeout     = 3 * time.Second
	DefaultWriteTimeout      = 5 * time.Second
)

// Config configures a Mesh. Zero durations take the defaults.
type Config struct {
	// Self is the address at which other nodes reach this one.
	Self string
	// Incarnation identifies this process. It must never be reused.
	Incarnation uint64
	// SecretMismatch, if not nil, is called when the other side of a link has not proved that it knows the
	// secret. It must not block.
	SecretMismatch func()
	// Secret is shared by all nodes; SetSecret can set it later. It is never sent or logged.
	Secret []byte

	// Version returns the version of the rules in force on this node.
	Version func() uint64
	// Load returns the load of this node's guard, the admission control of its backend server.
	Load func() dfpcall.Load
	// Run runs a request that another node sent. It is called at most once per request ID. Its
	// context ends when the request times out or is cancelled.
	Run func(ctx context.Context, from string, req *dfpcall.Request) dfpcall.Outcome
	// Control handles a control message and returns the reply. The reply to a message sent with
	// Notify is dropped.
	Control func(ctx context.Context, from string, msg Control) (Control, error)
	// Observe is called with the rules version and load that come with every outcome and
	// heartbeat of another node. It must not block.
	Observe func(from string, incarnation, version uint64, load dfpcall.Load)
	// OnUnreachable, if not nil, is called when a dial to another node failed, unless a node answered
	// there but failed authentication or has a different address. refused reports whether the
	// address refused the connection.
	OnUnreachable func(address string, refused bool)
	// Dial opens a network connection; nil means a zero net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Group runs the mesh's goroutines; nil means a new group.
	Group *errgroup.Group
	// Log receives a line per connection that is lost or fails authentication, and per control
	// message that cannot be encoded. Nil means no log.
	Log log.Interface
	// Ledger configures the record of the request IDs that ran here. Its size limits are divided
	// among the shards of the ledger.
	Ledger dfponce.LedgerConfig

	// ProbeAfter is how long nothing may be received on a connection on which a reply is due
	// before it is probed.
	ProbeAfter time.Duration
	// NoNotificationProbes turns off the probes of a connection on which only notifications were
	// sent. Only the test that shows that these probes are needed sets it.
	NoNotificationProbes bool
	// ProbeTimeout is how long a probe may go unanswered before the connection is closed. After
	// half of it, a second connection is dialed.
	ProbeTimeout time.Duration
	// HeartbeatInterval is the interval of heartbeats on a connection on which nothing else is sent.
	HeartbeatInterval time.Duration
	// IdleTimeout is how long a connection without requests and control messages is kept.
	IdleTimeout time.Duration
	// DialTimeout bounds a dial with its handshake, and the wait for the proof of a dialer.
	DialTimeout time.Duration
	// ResolveTimeout is how long the mesh tries to learn the outcome of a request whose
	// connection was lost.
	ResolveTimeout time.Duration
	// CancelWait is how long Run waits for the outcome of a request after cancelling it.
	CancelWait time.Duration
	// OrphanTimeout is how long a request of another node may run here after its connection was
	// lost. If the other node has not asked for it by then, the request is cancelled.
	OrphanTimeout time.Duration
	// WriteTimeout bounds one write on a connection.
	WriteTimeout time.Duration
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.ProbeAfter, DefaultProbeAfter},
		{&c.ProbeTimeout, DefaultProbeTimeout},
		{&c.HeartbeatInterval, DefaultHeartbeatInterval},
		{&c.IdleTimeout, DefaultIdleTimeout},
		{&c.DialTimeout, DefaultDialTimeout},
		{&c.ResolveTimeout, DefaultResolveTimeout},
		{&c.CancelWait, DefaultCancelWait},
		{&c.OrphanTimeout, DefaultOrphanTimeout},
		{&c.WriteTimeout, DefaultWriteTimeout},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if c.Version == nil {
		c.Version = func() uint64 { return 0 }
	}
	if c.Load == nil {
		c.Load = func() dfpcall.Load { return dfpcall.Load{} }
	}
	if c.Observe == nil {
		c.Observe = func(string, uint64, uint64, dfpcall.Load) {}
	}
	if c.Run == nil {
		c.Run = func(context.Context, string, *dfpcall.Request) dfpcall.Outcome {
			return &dfpcall.NotRun{Reason: dfpcall.ReasonNoBackendServer}
		}
	}
	if c.Control == nil {
		c.Control = func(context.Context, string, Control) (Control, error) {
			return Control{}, errors.New("node does not handle control messages")
		}
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Group == nil {
		c.Group = new(errgroup.Group)
	}
	if c.Log == nil {
		c.Log = &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}
	}
	return c
}
