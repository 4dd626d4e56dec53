package dfpplatform_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/standin/dfpforwarder"
	"dragonflyport/internal/standin/dfpstore"
)

// longDelay is longer than any test runs.
const longDelay = time.Hour

func setUp(t *testing.T, cfg dfpplatform.Config) (*dfpstore.Store, *dfpplatform.Client) {
	t.Helper()
	store := dfpstore.New(dfpstore.Config{HeartbeatInterval: 20 * time.Millisecond})
	server := httptest.NewServer(store.Handler())
	cfg.URL = server.URL
	client := dfpplatform.New(cfg)
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return store, client
}

// TestWriteFaults checks that the error of a write matches what is certain about its effect.
func TestWriteFaults(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	for _, tc := range []struct {
		name    string
		fault   dfpstore.Fault
		cfg     dfpplatform.Config
		write   dfpplatform.Write
		want    error
		written bool
	}{
		{name: "works", written: true},
		{name: "down", fault: dfpstore.Fault{Down: true}, want: dfpplatform.ErrUnavailable},
		{name: "slow", fault: dfpstore.Fault{Delay: longDelay}, cfg: dfpplatform.Config{Timeout: 50 * time.Millisecond}, want: dfpplatform.ErrOutcomeUnknown},
		{name: "answer lost", fault: dfpstore.Fault{LoseAnswer: true}, want: dfpplatform.ErrOutcomeUnknown, written: true},
		{name: "no connection", cfg: dfpplatform.Config{Dial: refuse}, want: dfpplatform.ErrUnavailable},
		{name: "other revision", write: dfpplatform.Write{Expected: 7}, want: dfpplatform.ErrConflict},
		{name: "expired lease", write: dfpplatform.Write{Lease: 99}, want: dfpplatform.ErrInvalid},
		{name: "too long", write: dfpplatform.Write{Value: make([]byte, dfpstore.MaxValueBytes+1)}, want: dfpplatform.ErrInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store, client := setUp(t, tc.cfg)
			assert.NilError(t, store.SetFault(dfpstore.MethodCompareAndSwap, tc.fault))
			tc.write.Key = "k"
			_, err := client.CompareAndSwap(t.Context(), tc.write)
			assert.Assert(t, errors.Is(err, tc.want), "got %v", err)
			assert.Equal(t, store.Counts().Writes == 1, tc.written)
		})
	}
}

func TestConflictShowsTheOtherEntry(t *testing.T) {
	_, client := setUp(t, dfpplatform.Config{})
	first, err := client.CompareAndSwap(t.Context(), dfpplatform.Write{Key: "k", Value: []byte("a")})
	assert.NilError(t, err)
	other, err := client.CompareAndSwap(t.Context(), dfpplatform.Write{Key: "k", Value: []byte("b")})
	assert.ErrorIs(t, err, dfpplatform.ErrConflict)
	assert.DeepEqual(t, other, first)
	_, err = client.CompareAndSwap(t.Context(), dfpplatform.Write{Key: "k", Expected: first.Revision, Delete: true})
	assert.NilError(t, err)
	deleted, err := client.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, deleted.Revision, uint64(0))
}

func TestReads(t *testing.T) {
	store, client := setUp(t, dfpplatform.Config{})
	for _, key := range []string{"b/2", "a/1", "b/1"} {
		_, err := client.CompareAndSwap(t.Context(), dfpplatform.Write{Key: key})
		assert.NilError(t, err)
	}
	entries, revision, err := client.List(t.Context(), "b/")
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(3))
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Key, "b/1")

	assert.NilError(t, store.SetFault(dfpstore.MethodList, dfpstore.Fault{Stale: true}))
	_, err = client.CompareAndSwap(t.Context(), dfpplatform.Write{Key: "b/3"})
	assert.NilError(t, err)
	entries, revision, err = client.List(t.Context(), "b/")
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(3))
	assert.Equal(t, len(entries), 2)

	store.SetFaultAll(dfpstore.Fault{Down: true})
	_, err = client.Get(t.Context(), "b/1")
	assert.ErrorIs(t, err, dfpplatform.ErrUnavailable)
}

func TestLease(t *testing.T) {
	store, client := setUp(t, dfpplatform.Config{})
	lease, err := client.GrantLease(t.Context(), time.Hour)
	assert.NilError(t, err)
	_, err = client.CompareAndSwap(t.Context(), dfpplatform.Write{Key: "k", Lease: lease})
	assert.NilError(t, err)
	held, err := client.KeepLease(t.Context(), lease)
	assert.NilError(t, err)
	assert.Assert(t, held)
	store.ExpireLeases()
	held, err = client.KeepLease(t.Context(), lease)
	assert.NilError(t, err)
	assert.Assert(t, !held)
	entry, err := client.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, entry.Revision, uint64(0))
}

// TestWatchFaults checks that a watch still reports a change that is made after a fault.
func TestWatchFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*dfpstore.Store, *dfpforwarder.Link)
	}{
		{"none", func(*dfpstore.Store, *dfpforwarder.Link) {}},
		{"silent service", func(s *dfpstore.Store, _ *dfpforwarder.Link) { s.SilenceWatches() }},
		{"silent connection", func(_ *dfpstore.Store, l *dfpforwarder.Link) { l.BlackholeOpen() }},
		{"refused for a while", func(_ *dfpstore.Store, l *dfpforwarder.Link) {
			l.Set(dfpforwarder.Conditions{Refuse: true})
			l.Set(dfpforwarder.Conditions{})
		}},
		{"down for a while", func(s *dfpstore.Store, _ *dfpforwarder.Link) {
			s.SetFaultAll(dfpstore.Fault{Down: true})
			s.SetFaultAll(dfpstore.Fault{})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			link := dfpforwarder.New(dfpforwarder.Conditions{})
			store, client := setUp(t, dfpplatform.Config{Dial: link.Dial, WatchIdleTimeout: 200 * time.Millisecond, ReopenBackoff: time.Millisecond})
			ctx, cancel := context.WithCancel(t.Context())
			events := make(chan dfpplatform.Event, 1000)
			var group errgroup.Group
			group.Go(func() error {
				return client.Watch(ctx, "k", func(e dfpplatform.Event) { events <- e })
			})
			_, isListed := (<-events).(dfpplatform.Listed)
			assert.Assert(t, isListed)
			awaitHeartbeat(events)
			tc.fault(store, link)
			writer := dfpplatform.New(dfpplatform.Config{URL: faultFreeURL(t, store)})
			entry, err := writer.CompareAndSwap(t.Context(), dfpplatform.Write{Key: "k1"})
			assert.NilError(t, err)
			assert.DeepEqual(t, awaitChange(events).Entry, entry)
			cancel()
			assert.ErrorIs(t, group.Wait(), context.Canceled)
		})
	}
}

// faultFreeURL serves the store at a second address, which the faults of the link do not affect.
func faultFreeURL(t *testing.T, store *dfpstore.Store) string {
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return server.URL
}

func awaitHeartbeat(events <-chan dfpplatform.Event) {
	for e := range events {
		if _, ok := e.(dfpplatform.Heartbeat); ok {
			return
		}
	}
}

func awaitChange(events <-chan dfpplatform.Event) dfpplatform.Changed {
	for e := range events {
		if c, ok := e.(dfpplatform.Changed); ok {
			return c
		}
	}
	return dfpplatform.Changed{}
}
