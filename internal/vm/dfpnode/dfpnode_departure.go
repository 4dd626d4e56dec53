package dfpnode

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/vm/dfpinstance"
)

const (
	// departureKeyPrefix is the prefix of the keys of the VMs' departures in the platform.
	departureKeyPrefix = "dragonflyport/left/"
	// departureLease is how long departures are stored. Reports of an instance arrive seconds late, not minutes.
	departureLease = 2 * time.Minute
	// departureRetry is the time between two attempts to read or write the departures.
	departureRetry = 250 * time.Millisecond
	// maxUnreadTime is how long a node with rules waits for the departures of the process before it, if the
	// platform does not answer.
	maxUnreadTime = 5 * time.Second
)

// errDepartureNotStored is returned by Depart.
var errDepartureNotStored = errors.New("departure of the backend server's instance is not stored yet")

// departureLoop keeps the departures of this VM's instances in the platform, so that the node's next process
// knows of them.
type departureLoop struct {
	n *Node

	mu sync.Mutex
	// departures holds what this process was told and, once it is read, what the process before it was.
	departures dfpinstance.Departures
	read       bool
	// held is the last announcement before the departures were read; nil if there was none.
	held *Announcement
	// changes counts the changes of departures, and stored is how many of them the platform has.
	changes, stored uint64
	// progress is closed and replaced when stored rises.
	progress chan struct{}

	// wake holds a value if there is something to store.
	wake chan struct{}
	// revision and era are those of the entry, and lease is the one for the next write; 0 if there is none. Only run
	// uses them.
	revision, lease, era uint64
}

func (l *departureLoop) init(n *Node) {
	l.n = n
	l.read = n.cfg.Platform == nil
	l.progress = make(chan struct{})
	l.wake = make(chan struct{}, 1)
}

// Depart records that an instance of this VM's backend server leaves: other nodes send it no new requests and the
// guard admits none, while running requests continue. It holds for later processes of the node, too. Started is the
// start of the instance in Unix milliseconds; 0 if it is not known. Depart returns nil once the platform has stored
// the departure. Otherwise the departure takes effect, but only for this process so far, and the error says so.
func (n *Node) Depart(ctx context.Context, instance string, started int64) error {
	if n.cfg.NoDrain {
		return nil
	}
	current, _ := n.guard.state()
	isCurrent := instance == current.Instance
	if isCurrent && started == 0 {
		started = current.Started
	}
	if instance == "" {
		if isCurrent {
			n.Drain()
		}
		return nil // The next process could not tell the instance from a new one.
	}
	if started == 0 {
		started = time.Now().UnixMilli()
	}
	n.departures.add(dfpinstance.Departure{Instance: instance, Started: started})
	if isCurrent && current.Started <= started {
		n.Drain()
	}
	return n.departures.awaitStored(ctx)
}

// add records a departure and requests that it is stored.
func (l *departureLoop) add(departure dfpinstance.Departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.departures.Add(departure) || l.n.cfg.Platform == nil {
		return
	}
	l.changes++
	select {
	case l.wake <- struct{}{}:
	default: // A write is already requested.
	}
}

// awaitStored waits until the platform has all departures that are known now.
func (l *departureLoop) awaitStored(ctx context.Context) error {
	l.mu.Lock()
	want := l.changes
	l.mu.Unlock()
	for {
		l.mu.Lock()
		stored, progress := l.stored >= want, l.progress
		l.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return errDepartureNotStored
		case <-l.n.runCtx.Done():
			return errDepartureNotStored
		}
	}
}

// admit reports whether an announcement may take effect, and whether its instance has left. An announcement that may
// not, since nobody knows yet whether the instance left before this process started, is held until it is known.
func (l *departureLoop) admit(announced Announcement) (admitted, left bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left = l.departures.Include(announced.Instance, announced.Started)
	if !l.read && announced.Instance != "" {
		l.held = &announced
		return false, left
	}
	return true, left
}

// run reads the departures of the process before, and then stores each change, and all again after the platform was
// restored from an earlier copy.
func (l *departureLoop) run() error {
	_, ended := l.n.cfg.Platform.Era()
	l.readUntilDone()
	for {
		select {
		case <-l.n.runCtx.Done():
			return nil
		case <-l.wake:
		case <-ended:
			_, ended = l.n.cfg.Platform.Era()
			l.revision, l.lease = 0, 0
		}
		for l.n.runCtx.Err() == nil {
			err := l.store()
			if err == nil {
				break
			}
			if !errors.Is(err, dfpplatform.ErrConflict) {
				l.n.cfg.Log.WithError(err).Warn("departure of the backend server's instance cannot be stored; will try again")
				l.n.sleep(departureRetry)
			}
		}
	}
}

// readUntilDone reads the departures. If the platform does not answer, announcements take effect maxUnreadTime
// after the node has rules, but the node goes on reading.
func (l *departureLoop) readUntilDone() {
	var hadRules time.Time
	for l.n.runCtx.Err() == nil {
		entry, err := l.n.cfg.Platform.Get(l.n.runCtx, l.key())
		if err == nil {
			l.merge(entry)
			return
		}
		now := time.Now()
		if hadRules.IsZero() && l.n.HasRules() {
			hadRules = now
		}
		if !hadRules.IsZero() && now.Sub(hadRules) > maxUnreadTime {
			l.release()
		}
		l.n.sleep(departureRetry)
	}
}

func (l *departureLoop) key() string {
	return departureKeyPrefix + l.n.cfg.VM.Zone + "/" + l.n.cfg.VM.Address
}

// merge adds the departures of an entry, and announces what was held.
func (l *departureLoop) merge(entry dfpplatform.Entry) {
	l.revision, l.era = entry.Revision, entry.Era
	var stored []dfpinstance.Departure
	if err := cbor.Unmarshal(entry.Value, &stored); err != nil && entry.Revision != 0 {
		l.n.cfg.Log.WithField("key", entry.Key).WithError(err).Warn("platform entry is not a list of departures")
	}
	l.mu.Lock()
	var merged dfpinstance.Departures
	for _, d := range stored {
		merged.Add(d)
	}
	for _, d := range l.departures.All() {
		merged.Add(d)
	}
	l.departures = merged
	l.mu.Unlock()
	l.release()
}

// release lets announcements take effect.
func (l *departureLoop) release() {
	l.mu.Lock()
	held := l.held
	l.read, l.held = true, nil
	l.mu.Unlock()
	if held != nil {
		l.n.Announce(*held)
		return
	}
	// An announcement may have taken effect before the departure was read.
	current, _ := l.n.guard.state()
	if _, left := l.admit(current); left {
		l.n.Drain()
	}
}

// store writes the departures to the platform if it does not have them.
func (l *departureLoop) store() error {
	ctx := l.n.runCtx
	l.mu.Lock()
	changes, all := l.changes, l.departures.All()
	value, err := cbor.Marshal(all)
	l.mu.Unlock()
	if err != nil {
		panic("dfpnode: departures cannot be encoded: " + err.Error())
	}
	if len(all) == 0 {
		return nil
	}
	platform := l.n.cfg.Platform
	if l.lease == 0 {
		if l.lease, err = platform.GrantLease(ctx, departureLease); err != nil {
			l.lease = 0
			return err
		}
	}
	entry, err := platform.CompareAndSwap(ctx, dfpplatform.Write{Key: l.key(), Expected: l.revision, Era: l.era, Value: value, Lease: l.lease})
	if errors.Is(err, dfpplatform.ErrConflict) {
		// The entry's lease has expired, the response to an earlier write was lost, or the process before this
		// one wrote the entry after this one had read it.
		l.merge(entry)
		return err
	}
	l.lease = 0 // Each write has a lease of its own, which nobody renews.
	if err != nil {
		return err
	}
	l.revision, l.era = entry.Revision, entry.Era
	l.mu.Lock()
	l.stored = changes
	close(l.progress)
	l.progress = make(chan struct{})
	l.mu.Unlock()
	return nil
}
