package dfpplatform

import (
	"errors"
	"fmt"
	"sync"
)

// ErrEarlierEra means that an answer, or the revision that a write expects, is from before the service
// was restored from a copy.
var ErrEarlierEra = errors.New("from before the platform's key-value service was restored")

// Eras follows the eras of a key-value service. A service that is restored from a copy some time old
// loses what was written since, and gives revisions and leases out again; its era rises each time.
// Revisions and leases of different eras cannot be compared. The zero value knows no era. Eras is safe
// for concurrent use.
type Eras struct {
	mu      sync.Mutex
	current uint64
	// ended is closed when the current era ends; nil until Current has been called.
	ended chan struct{}
}

// Observe records the era of an answer; 0 means that the service has none. The error wraps
// ErrEarlierEra if the answer is from an earlier era than another one was.
func (e *Eras) Observe(era uint64) error {
	if era == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case era < e.current:
		return fmt.Errorf("answer of era %d in era %d: %w", era, e.current, ErrEarlierEra)
	case era > e.current:
		if e.current != 0 && e.ended != nil {
			close(e.ended)
			e.ended = nil
		}
		e.current = era
	}
	return nil
}

// Current returns the latest era observed, 0 if there was none, and a channel that is closed when it ends.
func (e *Eras) Current() (era uint64, ended <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended == nil {
		e.ended = make(chan struct{})
	}
	return e.current, e.ended
}
