// Package dfpapply reads the rules from the platform's key-value service and puts new
// ones there: it carries out the steps of a dfpconfig.Applier.
//
// # Usage
//
//	result := dfpapply.Run(ctx, client, dfpconfig.ApplyConfig{Text: text, BaseVersion: 7, By: "Marija"})
//	fmt.Println(result.Outcome) // accepted, refused or unknown, always true
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

// ErrNoRules says that the platform holds no rules.
var ErrNoRules = errors.New("the platform holds no rules yet")

// ErrNoText says that the platform no longer holds a version's text.
var ErrNoText = errors.New("the platform no longer holds the text")

// maxReadTries bounds the reads of rules that change meanwhile.
const maxReadTries = 20

// Store is what this package needs of the platform; *dfpplatform.Client has it.
type Store interface {
	Get(ctx context.Context, key string) (dfpplatform.Entry, error)
	CompareAndSwap(ctx context.Context, write dfpplatform.Write) (dfpplatform.Entry, error)
}

// ReadHead returns the platform's head and its revision. Errors wrap ErrNoRules,
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

// ReadText returns the text under a key. Errors wrap ErrNoText or dfpplatform.ErrUnavailable.
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

// ReadRules returns the platform's head and text. Errors are those of ReadHead.
func ReadRules(ctx context.Context, store Store) (*dfpconfig.Head, []byte, error) {
	for try := 1; ; try++ {
		head, _, err := ReadHead(ctx, store)
		if err != nil {
			return nil, nil, err
		}
		text, err := ReadText(ctx, store, head.TextKey())
		if !errors.Is(err, ErrNoText) || try == maxReadTries {
			return head, text, err
		}
		// Newer versions came in between, or the read was old.
		if err := pause(ctx, 100*time.Millisecond); err != nil {
			return nil, nil, err
		}
	}
}

// Run puts new rules, which must have been parsed without fault, into the platform. It draws
// the apply id and sets the time if they are not given. The verdict is true also when ctx
// ends early.
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
			now = time.Unix(math.MaxInt32, 0) // There is no time left for another try.
		}
		step = a.Next(now, event)
	}
}

func perform(ctx context.Context, store Store, step dfpconfig.Step) dfpconfig.Event {
	if err := pause(ctx, pauseOf(step)); err != nil {
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

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cleanUp deletes texts that nobody needs any more: the refused one, or the one that
// an accepted change has made the oldest. A text that stays behind does no harm.
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
