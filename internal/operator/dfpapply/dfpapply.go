// Package dfpapply reads the rules from the platform's key-value service and applies new ones: it
// performs the steps of a dfpconfig.Applier. The head is the entry that describes the current version
// (dfpconfig.Head); the text of each recent version has a key of its own.
//
// # Usage
//
//	result := dfpapply.Run(ctx, client, dfpconfig.ApplyConfig{Text: text, BaseVersion: 7, By: "Marija"})
//	fmt.Println(result.Outcome) // accepted, refused or unknown
//	head, text, err := dfpapply.ReadRules(ctx, client)
package dfpapply

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"math"
	"time"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/link/dfpplatform"
)

// ErrNoRules means that the platform holds no rules.
var ErrNoRules = errors.New("the platform holds no rules yet")

// ErrNoText means that the platform no longer holds the text of a version.
var ErrNoText = errors.New("the platform no longer holds the text")

// maxReadAttempts limits the attempts of ReadRules while the rules keep changing.
const maxReadAttempts = 20

// Store is the part of the platform's service that this package uses. *dfpplatform.Client implements it.
type Store interface {
	Get(ctx context.Context, key string) (dfpplatform.Entry, error)
	CompareAndSwap(ctx context.Context, write dfpplatform.Write) (dfpplatform.Entry, error)
}

// ReadHead returns the platform's head and the revision of its key. Errors wrap ErrNoRules,
// dfpplatform.ErrUnavailable or dfpconfig.ErrHead.
func ReadHead(ctx context.Context, store Store) (*dfpconfig.Head, uint64, error) {
	entry, err := store.Get(ctx, dfpconfig.HeadKey)
	if err != nil {
		return nil, 0, err
	}
	if entry.Revision == 0 {
		return nil, 0, ErrNoRules
	}
	head, err := dfpconfig.DecodeHead(entry.Value)
	return head, entry.Revision, err
}

// ReadText returns the rules text that is stored under key. Errors wrap ErrNoText or
// dfpplatform.ErrUnavailable.
func ReadText(ctx context.Context, store Store, key string) ([]byte, error) {
	entry, err := store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if entry.Revision == 0 {
		return nil, fmt.Errorf("%w of %s", ErrNoText, key)
	}
	return entry.Value, nil
}

// ReadRules returns the platform's head and the text that belongs to it. Errors are those of ReadHead and
// ReadText; ErrNoText only if repeated attempts found no text for the head.
func ReadRules(ctx context.Context, store Store) (*dfpconfig.Head, []byte, error) {
	for attempt := 1; ; attempt++ {
		head, _, err := ReadHead(ctx, store)
		if err != nil {
			return nil, nil, err
		}
		text, err := ReadText(ctx, store, head.TextKey())
		if !errors.Is(err, ErrNoText) || attempt == maxReadAttempts {
			return head, text, err
		}
		// Newer versions were applied after the head was read, or the head that was read was stale.
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, nil, err
		}
	}
}

// Run applies new rules to the platform. The caller must have parsed them without errors. If cfg has no
// apply id, Run draws a random one; if it has no time, Run sets the current one. The outcome is correct
// even if ctx ends early.
func Run(ctx context.Context, store Store, cfg dfpconfig.ApplyConfig) dfpconfig.Result {
	if cfg.ApplyID == "" {
		cfg.ApplyID = rand.Text()
	}
	if cfg.At.IsZero() {
		cfg.At = time.Now()
	}
	a := dfpconfig.NewApplier(cfg)
	step := a.Start(time.Now())
	for {
		if finish, isEnd := step.(*dfpconfig.Finish); isEnd {
			cleanUp(ctx, store, cfg, finish.Result)
			return finish.Result
		}
		event := perform(ctx, store, step)
		now := time.Now()
		if ctx.Err() != nil {
			now = time.Unix(math.MaxInt32, 0) // Past the timeout, so that the Applier makes no further attempt.
		}
		step = a.Next(now, event)
	}
}

func perform(ctx context.Context, store Store, step dfpconfig.Step) dfpconfig.Event {
	if err := sleep(ctx, pauseOf(step)); err != nil {
		return &dfpconfig.Failed{Err: err, NoEffect: true}
	}
	switch step := step.(type) {
	case *dfpconfig.ReadHead:
		head, revision, err := ReadHead(ctx, store)
		if err != nil && !errors.Is(err, ErrNoRules) {
			return &dfpconfig.Failed{Err: err}
		}
		return &dfpconfig.HeadRead{Head: head, Revision: revision}
	case *dfpconfig.ReadText:
		text, err := ReadText(ctx, store, step.Key)
		if err != nil {
			return &dfpconfig.Failed{Err: err}
		}
		return &dfpconfig.TextRead{Text: text}
	case *dfpconfig.WriteText:
		_, err := store.CompareAndSwap(ctx, dfpplatform.Write{Key: step.Key, Value: step.Text})
		if err != nil && !errors.Is(err, dfpplatform.ErrConflict) {
			return &dfpconfig.Failed{Err: err}
		}
		return &dfpconfig.TextWritten{}
	case *dfpconfig.SwapHead:
		return swapHead(ctx, store, step)
	}
	panic(fmt.Sprintf("dfpapply: unknown step %T", step))
}

func swapHead(ctx context.Context, store Store, step *dfpconfig.SwapHead) dfpconfig.Event {
	entry, err := store.CompareAndSwap(ctx, dfpplatform.Write{
		Key: dfpconfig.HeadKey, Expected: step.Expected, Value: step.Head.Encode(),
	})
	swapped := err == nil
	if err != nil && !errors.Is(err, dfpplatform.ErrConflict) {
		noEffect := errors.Is(err, dfpplatform.ErrUnavailable) || errors.Is(err, dfpplatform.ErrInvalid)
		return &dfpconfig.Failed{Err: err, NoEffect: noEffect}
	}
	if swapped || entry.Revision == 0 {
		return &dfpconfig.HeadSwapped{Swapped: swapped, Revision: entry.Revision}
	}
	head, err := dfpconfig.DecodeHead(entry.Value)
	if err != nil {
		return &dfpconfig.Failed{Err: err, NoEffect: true}
	}
	return &dfpconfig.HeadSwapped{Head: head, Revision: entry.Revision}
}

func pauseOf(step dfpconfig.Step) time.Duration {
	switch step := step.(type) {
	case *dfpconfig.ReadHead:
		return step.Pause
	case *dfpconfig.WriteText:
		return step.Pause
	case *dfpconfig.SwapHead:
		return step.Pause
	}
	return 0
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cleanUp deletes a text that is no longer needed: the text of a refused apply, or, after an accepted one,
// the text that no longer belongs to the newest dfpconfig.KeptTexts versions. It ignores errors, because
// a text that is not deleted does no harm.
func cleanUp(ctx context.Context, store Store, cfg dfpconfig.ApplyConfig, result dfpconfig.Result) {
	switch result.Outcome {
	case dfpconfig.Refused:
		own := dfpconfig.Apply{ApplyID: cfg.ApplyID}
		remove(ctx, store, own.TextKey())
	case dfpconfig.Accepted:
		if result.Current == nil {
			return
		}
		for _, a := range result.Current.History {
			if a.Version+dfpconfig.KeptTexts == result.Version {
				remove(ctx, store, a.TextKey())
			}
		}
	}
}

func remove(ctx context.Context, store Store, key string) {
	entry, err := store.Get(ctx, key)
	if err != nil || entry.Revision == 0 {
		return
	}
	_, _ = store.CompareAndSwap(ctx, dfpplatform.Write{Key: key, Expected: entry.Revision, Delete: true})
}
