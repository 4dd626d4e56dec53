// Package dfpplatform is the client of the platform's key-value service.
//
// A Transport implements the protocol of the service. The default one implements proto/platform.proto.
// The Client, which is built on a Transport, adds timeouts and reopens watches that fail.
//
// Every call has a timeout. The error of a call says what is certain about its effect: a call that
// failed with ErrUnavailable or ErrInvalid had no effect, one that failed with ErrOutcomeUnknown may have
// had one, and ErrConflict means that the service answered and that the key had another revision.
//
// The service may be restored from a copy some time old; see Eras. Watches then list all keys again, and
// late answers from before are dropped.
//
// # Usage
//
//	client := dfpplatform.New(dfpplatform.Config{URL: "http://10.0.0.1:7000"})
//	entry, err := client.Get(ctx, "dragonflyport/rules")
//	entry, err = client.CompareAndSwap(ctx, dfpplatform.Write{
//		Key: entry.Key, Expected: entry.Revision, Value: text,
//	})
//	switch {
//	case errors.Is(err, dfpplatform.ErrConflict):       // entry is the current one.
//	case errors.Is(err, dfpplatform.ErrOutcomeUnknown): // Read the key to find out.
//	}
package dfpplatform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

var (
	// ErrUnavailable means that the service cannot be reached or refused the call. The call had no
	// effect.
	ErrUnavailable = errors.New("the platform's key-value service is unavailable")
	// ErrOutcomeUnknown means that the answer to a write was lost. The write may have taken effect, or
	// may still do so.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrConflict means that the key did not have the expected revision.
	ErrConflict = errors.New("the key has another revision")
	// ErrHistoryLost means that a watch cannot continue from its revision, because the service no
	// longer has the changes since then. The watch must list the keys again.
	ErrHistoryLost = errors.New("the changes since that revision are no longer available")
	// ErrInvalid means that the service refused the call permanently, for example because the value
	// is too long or the lease has expired. The call had no effect.
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
	// Eras follows the service's eras; nil takes new Eras. A Transport of a service that has eras must
	// call Observe of the same Eras for each answer.
	Eras *Eras
	// Transport replaces the default transport, which implements proto/platform.proto. If it is set,
	// URL and Dial are ignored.
	Transport Transport
	// Dial opens a connection; nil means net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout limits each call except Watch; 0 means DefaultTimeout.
	Timeout time.Duration
	// WatchIdleTimeout is the time without a change or heartbeat after which a watch is reopened on
	// a new connection; 0 means DefaultWatchIdleTimeout. It must be longer than the interval between
	// the service's heartbeats.
	WatchIdleTimeout time.Duration
	// ReopenBackoff is the delay before a watch is reopened after its first failure; 0 means
	// DefaultReopenBackoff. The delay doubles with each failure in a row, up to 1.5 s.
	ReopenBackoff time.Duration
}

// Entry is a key and its value. A Revision of 0 means that the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64
	// Era is the service's era in which Revision and Lease are valid; 0 if the service has none.
	Era uint64
}

// Write is a change of one key.
type Write struct {
	Key string
	// Expected is the revision that the key must have; 0 means that the key must not exist.
	Expected uint64
	// Era is the era in which Expected was given out; 0 if that is not known. A write that expects a
	// revision of an era that is known to have ended fails without effect.
	Era   uint64
	Value []byte
	// Delete deletes the key instead of writing Value.
	Delete bool
	// Lease is the lease to which the entry is bound; 0 means none.
	Lease uint64
}

// Transport implements the protocol of a key-value service. Its methods correspond to those of Client,
// but have no timeouts of their own. Their errors wrap the same sentinel errors.
type Transport interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) (entries []Entry, revision uint64, err error)
	CompareAndSwap(ctx context.Context, write Write) (Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	KeepLease(ctx context.Context, lease uint64) (held bool, err error)
	// StreamChanges reports each change of the keys with a prefix after a revision, and a Heartbeat from
	// time to time, until it fails. Era is that of the revision. The error wraps ErrHistoryLost if changes
	// may have been missed, as when the service is in another era.
	StreamChanges(ctx context.Context, prefix string, era, after uint64, report func(Event)) error
	// Close closes the idle connections.
	Close()
}

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport Transport
}

// New returns a client. It does not open a connection.
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
	if cfg.Eras == nil {
		cfg.Eras = new(Eras)
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

// Era returns the latest era of the service that an answer had, 0 if none had one, and a channel that is
// closed when the era ends.
func (c *Client) Era() (era uint64, ended <-chan struct{}) { return c.cfg.Eras.Current() }

// Get returns the entry of a key. Errors wrap ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.Get(ctx, key)
}

// List returns the entries whose keys start with prefix, sorted by key, and the revision from which to
// watch for changes. Errors wrap ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.List(ctx, prefix)
}

// CompareAndSwap changes a key if it has the expected revision, and returns its new entry. If it has
// another revision, CompareAndSwap returns its current entry and an error that wraps ErrConflict. Other
// errors wrap ErrUnavailable, ErrOutcomeUnknown or ErrInvalid, and ErrEarlierEra beside ErrUnavailable if
// write.Era has ended.
func (c *Client) CompareAndSwap(ctx context.Context, write Write) (Entry, error) {
	if era, _ := c.Era(); write.Expected != 0 && write.Era != 0 && write.Era != era {
		return Entry{}, fmt.Errorf("write of %s in era %d expects a revision of era %d: %w: %w", write.Key, era, write.Era, ErrUnavailable, ErrEarlierEra)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.CompareAndSwap(ctx, write)
}

// GrantLease creates a lease that expires if it is not renewed for ttl. Calling it again after a lost
// answer is safe, because a lease that nobody renews expires by itself.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.GrantLease(ctx, ttl)
}

// KeepLease renews a lease and reports whether the lease was still valid. Errors wrap ErrUnavailable,
// ErrOutcomeUnknown or ErrInvalid; with ErrOutcomeUnknown the lease may have been renewed.
func (c *Client) KeepLease(ctx context.Context, lease uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.transport.KeepLease(ctx, lease)
}
