// Package dfppeer is the link between two nodes: WebSocket messages of CBOR
// frames, on connections that are made on demand and closed when idle.
//
// A pair of nodes shares its connections: whichever dialed, both send requests
// and control messages on them. Both sides prove that they know the shared secret
// before any other frame is taken.
//
// Run sends a request to the node that guards a backend server and reports
// truthfully how it ended. A run frame is written at most once. If the connection
// is lost before that, the request did not run. If it is lost afterwards, the
// mesh opens a new connection to the same process and asks by request id: it
// gets the outcome, waits for it, or hears that the request had not arrived and is
// now barred. Only if that process cannot be asked is the outcome unknown.
//
// A connection that goes silent is found by heartbeats while someone waits on
// it. New requests then go to a second connection, and the silent one is given up.
//
// # Usage
//
//	mesh := dfppeer.New(dfppeer.Config{Self: "10.0.3.7:9000", Secret: secret, Run: guard, ...})
//	mux.Handle(dfppeer.Path, mesh.Handler())
//	outcome := mesh.Run(ctx, "10.0.3.8:9000", req)
//	...
//	mesh.Close(ctx)
//
// All methods may be called from several goroutines.
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

// Path is where Handler takes the upgrade to a link.
const Path = "/dragonflyport/link"

// Sizes, in bytes.
const (
	// MaxFrameBytes bounds the encoding of a request or an answer, body included.
	MaxFrameBytes = 8 << 20
	// partSize is the length of the pieces of a long frame.
	partSize = 32 << 10
	// maxMessage bounds a WebSocket message.
	maxMessage = 256 << 10
	// fullBatch is the length from which a message gets no more frames.
	fullBatch = 64 << 10
	// maxQueued bounds what waits to be written on one connection.
	maxQueued = 32 << 20
	// maxAssembly bounds the long frames under way from one connection.
	maxAssembly = 32 << 20
	// socketBuffer bounds what the kernel holds for a connection, so that
	// heartbeats do not queue behind seconds of bodies on a slow link.
	socketBuffer = 128 << 10
	// maxElements bounds the arrays and maps of a frame.
	maxElements = 4096
)

// Numbers of things under way at once, for a whole mesh.
const (
	maxInbound    = 16384
	maxControls   = 1024
	maxHandshakes = 256
	maxTells      = 64
	maxAssemblies = 64
	shards        = 4
)

// Errors that callers test for with errors.Is.
var (
	// ErrUnreachable is returned when no connection could be made.
	ErrUnreachable = errors.New("node unreachable")
	// ErrLinkLost is returned when the connection went away before the reply came.
	ErrLinkLost = errors.New("link lost")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("mesh closed")
	// ErrSecretMismatch is returned when the other side does not know the shared secret.
	ErrSecretMismatch = errors.New("shared secret does not match")
	// ErrWrongNode is returned when another node answers at the address.
	ErrWrongNode = errors.New("another node answers at this address")
	// ErrInvalidFrame is returned for what is no valid frame.
	ErrInvalidFrame = errors.New("bad frame")
	// ErrFrameTooLong is returned for a frame over MaxFrameBytes.
	ErrFrameTooLong = errors.New("frame too long")
	// ErrQueueFull is returned when too much waits on the connection.
	ErrQueueFull = errors.New("link queue full")
	// ErrRemote wraps the error that the other node's Control returned.
	ErrRemote = errors.New("remote error")
	errSilent = fmt.Errorf("%w: silent", ErrLinkLost)
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
	// Self is the address at which the others reach this node.
	Self string
	// Incarnation is this process's; it is never used again.
	Incarnation uint64
	// Secret is shared by all nodes; SetSecret sets it later. It is never sent or logged.
	Secret []byte

	// Version returns the version of the rules in force here.
	Version func() uint64
	// Load returns the load of this node's guard.
	Load func() dfpcall.Load
	// Run runs a request that another node sent. It is called at most once per
	// request id; the context ends with the request's timeout or its cancellation.
	Run func(ctx context.Context, from string, req *dfpcall.Request) dfpcall.Outcome
	// Control handles a control message. The reply to a message that was told
	// rather than asked is dropped.
	Control func(ctx context.Context, from string, msg Control) (Control, error)
	// Observe is called for every outcome and heartbeat of another node. It
	// must not block.
	Observe func(from string, incarnation, version uint64, load dfpcall.Load)
	// OnUnreachable is called when no connection to another node could be made; nil where nobody asks.
	// Refused says that its address refuses connections.
	OnUnreachable func(address string, refused bool)
	// Dial opens a connection; nil is a plain net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Group runs the mesh's goroutines; nil makes a group of its own.
	Group *errgroup.Group
	// Log gets one line per link made or lost; nil logs nothing.
	Log log.Interface
	// Ledger bounds what is kept of request ids that ran here.
	Ledger dfponce.LedgerConfig

	// ProbeAfter is how long a connection on which someone waits may say nothing
	// before it is probed.
	ProbeAfter time.Duration
	// NoNotificationProbes leaves a connection that carries control messages only without probes.
	// Only the test that proves the probes sets it.
	NoNotificationProbes bool
	// ProbeTimeout is how long a probe may go unanswered before the connection
	// is given up; after half of it a second connection is tried.
	ProbeTimeout time.Duration
	// HeartbeatInterval is the interval of heartbeats on a connection without traffic.
	HeartbeatInterval time.Duration
	// IdleTimeout is how long a connection without traffic is kept.
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// ResolveTimeout is how long the mesh tries to ask the same process about a
	// request whose connection was lost.
	ResolveTimeout time.Duration
	// CancelWait is how long Run waits for the outcome of a request that it cancelled.
	CancelWait time.Duration
	// OrphanTimeout is how long a request may run here after its connection was
	// lost and before it is cancelled.
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
			return Control{}, errors.New("no control messages taken")
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
