// Package dfpplatform is the client of the platform's key-value service.
//
// A Transport speaks the service's protocol; this package's own is the one of
// proto/platform.proto. The Client above it holds the timeouts and reopens watches.
//
// Every call has a timeout. An error tells the caller what is certain: a call
// that failed with ErrUnavailable had no effect, one that failed with
// ErrOutcomeUnknown may have had one, and ErrConflict means that the service
// answered and the key had another revision.
//
// # Usage
//
//	client := dfpplatform.New(dfpplatform.Config{URL: "http://10.0.0.1:7000"})
//	entry, err := client.Get(ctx, "dragonflyport/rules")
//	entry, err = client.CompareAndSwap(ctx, dfpplatform.Write{
//		Key: entry.Key, Expected: entry.Revision, Value: text,
//	})
//	switch {
//	case errors.Is(err, dfpplatform.ErrConflict):       // entry is what stands there.
//	case errors.Is(err, dfpplatform.ErrOutcomeUnknown): // Read back to find out.
//	}
package dfpplatform

import (
	"context"
	"errors"
	"net"
	"time"
)

var (
	// ErrUnavailable says that the service can't be reached or refused the
	// call, which had no effect.
	ErrUnavailable = errors.New("the platform's key-value service is unavailable")
	// ErrOutcomeUnknown says that a write's answer was lost: it may have taken
	// effect, or may still do so.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrConflict says that the key's revision wasn't the expected one.
	ErrConflict = errors.New("the key has another revision")
	// ErrHistoryLost says that changes were missed, so that a watch must list anew.
	ErrHistoryLost = errors.New("the changes since that revision are no longer available")
	// ErrInvalid says that the service refused the call for good, as with a
	// value that is too long or a lease that has lapsed. It had no effect.
	ErrInvalid = errors.New("the platform's key-value service refused the call")
)

// Defaults of Config.
const (
	DefaultTimeout          = time.Second
	DefaultWatchIdleTimeout = 2 * time.Second
	DefaultReopenBackoff    = 200 * time.Millisecond
	maxReopenBackoff        = 1500 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	// URL is the service's base URL, such as "http://10.0.0.1:7000".
	URL string
	// Transport speaks another protocol than proto/platform.proto; URL and Dial are not used then.
	Transport Transport
	// Dial opens connections; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds each call but Watch; 0 means DefaultTimeout.
	Timeout time.Duration
	// WatchIdleTimeout is how long a watch may stay without change or heartbeat before
	// it is reopened on a new connection; 0 means DefaultWatchIdleTimeout. It must be
	// longer than the service's heartbeat.
	WatchIdleTimeout time.Duration
	// ReopenBackoff is the first pause before a watch is reopened after a
	// failure; it doubles up to 1.5 s. 0 means DefaultReopenBackoff.
	ReopenBackoff time.Duration
}

// Entry is one key's value. A Revision of 0 means that there is no such key.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64
}

// Write is a change of one key.
type Write struct {
	Key string
	// Expected is the revision that the key must have; 0 means no such key.
	Expected uint64
	Value    []byte
	// Delete removes the key in place of writing Value.
	Delete bool
	// Lease binds the entry to a lease; 0 for none.
	Lease uint64
}

// Transport speaks the protocol of one key-value service. Its methods are those of Client
// without timeouts; their errors wrap the same sentinels.
type Transport interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) (entries []Entry, revision uint64, err error)
	CompareAndSwap(ctx context.Context, write Write) (Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	KeepLease(ctx context.Context, lease uint64) (held bool, err error)
	// StreamChanges reports the changes of a prefix after a revision, and a Heartbeat now and then, until
	// it fails. The error wraps ErrHistoryLost where changes may have been missed.
	StreamChanges(ctx context.Context, prefix string, after uint64, report func(Event)) error
	// Close closes the idle connections.
	Close()
}

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport Transport
}

// New returns a client. It opens no connection yet.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.WatchIdleTimeout == 0 {
		cfg.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	if cfg.ReopenBackoff == 0 {
		cfg.ReopenBackoff = DefaultReopenBackoff
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	transport := cfg.Transport
	if transport == nil {
		transport = newConnectTransport(cfg)
	}
	return &Client{cfg: cfg, transport: transport}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.Close() }

// Get returns the entry of a key. Errors wrap ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.Get(ctx, key)
}

// List returns the entries whose key starts with prefix, sorted by key, and the
// revision to watch from. Errors wrap ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.List(ctx, prefix)
}

// CompareAndSwap changes a key whose revision is the expected one, and returns
// the entry as it stands afterwards. With ErrConflict the entry is the one that
// stood in the way. Other errors wrap ErrUnavailable, ErrOutcomeUnknown or
// ErrInvalid.
func (c *Client) CompareAndSwap(ctx context.Context, write Write) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.CompareAndSwap(ctx, write)
}

// GrantLease makes a lease that lapses when it isn't kept for ttl. A lease
// whose answer was lost lapses by itself, so that asking again is safe.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.GrantLease(ctx, ttl)
}

// KeepLease renews a lease and reports whether it was still held. Errors wrap
// ErrUnavailable or ErrOutcomeUnknown; the lease may then have been renewed.
func (c *Client) KeepLease(ctx context.Context, lease uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.KeepLease(ctx, lease)
}
