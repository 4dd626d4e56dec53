package dfpplatform

import (
	"context"
	"errors"
	"time"
)

// Event is what a watch reports: Listed, Changed, Deleted or Heartbeat.
type Event interface{ event() }

// Listed is the whole state of the prefix, sorted by key: a key that isn't in
// it doesn't exist. It comes first, and again when changes may have been missed.
type Listed struct {
	Entries  []Entry
	Revision uint64
}

// Changed is a key's new entry.
type Changed struct {
	Entry    Entry
	Revision uint64
}

// Deleted says that a key was deleted, or its lease lapsed.
type Deleted struct {
	Key      string
	Revision uint64
}

// Heartbeat says that the watch is alive and has sent all changes up to Revision.
type Heartbeat struct{ Revision uint64 }

func (Listed) event()    {}
func (Changed) event()   {}
func (Deleted) event()   {}
func (Heartbeat) event() {}

var errSilent = errors.New("the watch went silent")

// Watch reports the state of a prefix and then each change, until ctx is done;
// it returns ctx's error. It lists first, and reopens a watch that failed or went
// silent from where it was. Calls of report don't overlap.
func (c *Client) Watch(ctx context.Context, prefix string, report func(Event)) error {
	w := watcher{client: c, prefix: prefix, report: report}
	pause := c.cfg.ReopenBackoff
	for ctx.Err() == nil {
		before := w.revision
		err := w.run(ctx)
		if w.revision > before || errors.Is(err, errSilent) {
			pause = c.cfg.ReopenBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxReopenBackoff)
	}
	return ctx.Err()
}

// watcher is the state of one Watch across its reopenings.
type watcher struct {
	client   *Client
	prefix   string
	report   func(Event)
	listed   bool
	revision uint64
}

// run lists if needed and reads one stream until it fails.
func (w *watcher) run(ctx context.Context) error {
	if !w.listed {
		entries, revision, err := w.client.List(ctx, w.prefix)
		if err != nil {
			return err
		}
		w.listed, w.revision = true, revision
		w.report(Listed{Entries: entries, Revision: revision})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Cancelling closes the connection, so that the next stream gets a new one.
	silence := time.AfterFunc(w.client.cfg.WatchIdleTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	err := w.client.transport.StreamChanges(ctx, w.prefix, w.revision, func(event Event) {
		silence.Reset(w.client.cfg.WatchIdleTimeout)
		w.handle(event)
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, ErrHistoryLost) {
		w.listed = false
	}
	return err
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
