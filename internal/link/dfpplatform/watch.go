package dfpplatform

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Event is what a watch reports: Listed, Changed, Deleted or Heartbeat.
type Event interface{ event() }

// Listed contains all entries with the prefix, sorted by key: a key that is not listed does not exist.
// It is the first event, and is repeated when changes may have been missed.
type Listed struct {
	Entries  []Entry
	Revision uint64
}

// Changed reports the new entry of a key.
type Changed struct {
	Entry    Entry
	Revision uint64
}

// Deleted reports that a key was deleted or its lease expired.
type Deleted struct {
	Key      string
	Revision uint64
}

// Heartbeat reports that the watch is working and has sent all changes up to Revision.
type Heartbeat struct{ Revision uint64 }

func (Listed) event()    {}
func (Changed) event()   {}
func (Deleted) event()   {}
func (Heartbeat) event() {}

var errIdle = errors.New("no change or heartbeat within the idle timeout")

// Watch reports all entries whose keys start with prefix and then each change, until ctx is done; it
// returns the error of ctx. If the stream of changes fails or is idle for WatchIdleTimeout, Watch reopens
// it from the last revision received. Calls of report do not overlap.
func (c *Client) Watch(ctx context.Context, prefix string, report func(Event)) error {
	w := watcher{client: c, prefix: prefix, report: report}
	delay := c.cfg.ReopenBackoff
	for ctx.Err() == nil {
		before := w.revision
		err := w.run(ctx)
		if w.revision > before || errors.Is(err, errIdle) || errors.Is(err, ErrEarlierEra) {
			delay = c.cfg.ReopenBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxReopenBackoff)
	}
	return ctx.Err()
}

// watcher is the state of one call of Watch, kept while its stream is reopened.
type watcher struct {
	client *Client
	prefix string
	report func(Event)
	listed bool
	// revision is the last one received, in the given era.
	revision, era uint64
}

// run lists the entries if needed and then reads one stream of changes until the stream fails or the era
// ends.
func (w *watcher) run(ctx context.Context) error {
	era, ended := w.client.Era()
	if !w.listed || era != w.era {
		entries, revision, err := w.client.List(ctx, w.prefix)
		if err != nil {
			return err
		}
		if era, ended = w.client.Era(); !inEra(entries, era) {
			return fmt.Errorf("list of %s: %w", w.prefix, ErrEarlierEra)
		}
		w.listed, w.revision, w.era = true, revision, era
		w.report(Listed{Entries: entries, Revision: revision})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Cancelling the context closes the connection, so that the next stream uses a new one.
	idleTimer := time.AfterFunc(w.client.cfg.WatchIdleTimeout, func() { cancel(errIdle) })
	defer idleTimer.Stop()
	group := new(errgroup.Group)
	group.Go(func() error {
		select {
		case <-ended:
			cancel(ErrEarlierEra)
		case <-ctx.Done():
		}
		return nil
	})
	err := w.client.transport.StreamChanges(ctx, w.prefix, w.era, w.revision, func(event Event) {
		idleTimer.Reset(w.client.cfg.WatchIdleTimeout)
		w.handle(event)
	})
	cause := context.Cause(ctx)
	cancel(nil)
	_ = group.Wait() // Its function returns no error.
	if cause != nil {
		return cause
	}
	if errors.Is(err, ErrHistoryLost) {
		w.listed = false
	}
	return err
}

// inEra reports whether all entries were read in an era.
func inEra(entries []Entry, era uint64) bool {
	return !slices.ContainsFunc(entries, func(e Entry) bool { return e.Era != 0 && e.Era != era })
}

func (w *watcher) handle(event Event) {
	switch e := event.(type) {
	case Changed:
		w.revision = max(w.revision, e.Revision)
	case Deleted:
		w.revision = max(w.revision, e.Revision)
	case Heartbeat:
		w.revision = max(w.revision, e.Revision)
	}
	w.report(event)
}
