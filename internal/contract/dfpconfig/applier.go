package dfpconfig

import (
	"fmt"
	"time"
)

// ApplyConfig is one operator's request to replace the rules.
type ApplyConfig struct {
	// BaseVersion is the version that the operator's text is based on; 0 means no rules.
	BaseVersion uint64
	Text        []byte
	// ApplyID must be drawn at random for each Applier and never reused.
	ApplyID string
	// By is the operator's name, at most MaxByBytes bytes.
	By string
	// At is the time on the operator's clock, for the log.
	At time.Time
	// Timeout is the longest time until Finish; default 30 s.
	Timeout time.Duration
}

// Applier writes new rules to the platform by compare-and-swap. Its outcome is correct whichever
// of the platform's answers are lost:
//
//   - Accepted: the rules are one of the platform's versions, and remain so.
//   - Refused: the rules are not one of the platform's versions, and never will be.
//   - Unknown: the platform did not answer in time, or its history no longer tells.
//
// A swap whose answer was lost is sent again unchanged. This is safe because the swap expects a
// revision that no other write produces, and its answer contains the current head. If that
// head is another operator's, its history tells whether this apply took effect before it.
type Applier struct {
	cfg      ApplyConfig
	deadline time.Time
	step     Step
	head     *Head  // the head to be replaced; nil if there is none
	oldText  []byte // the text of head; nil if it could not be read
	expected uint64 // the revision of head
	// swapSent reports that a swap whose answer was lost may have taken effect.
	swapSent bool
	// current is the newest head that was read.
	current  *Head
	disabled applierDisabled
}

// applierDisabled disables mechanisms, so that tests can prove that they detect the resulting faults.
type applierDisabled struct{ historyCheck bool }

// Step is what to do next: *ReadHead, *ReadText, *WriteText, *SwapHead or *Finish.
type Step interface{ step() }

// ReadHead asks for a read of HeadKey after a pause; the event is HeadRead or Failed.
type ReadHead struct{ Pause time.Duration }

// ReadText asks for a read of a key; the event is TextRead or Failed.
type ReadText struct {
	Key   string
	Pause time.Duration
}

// WriteText asks for a write of a key that must not exist. The event is TextWritten or Failed;
// TextWritten is also right if the key exists already, since only this Applier writes it.
type WriteText struct {
	Key   string
	Text  []byte
	Pause time.Duration
}

// SwapHead asks for a compare-and-swap of HeadKey; the event is HeadSwapped or Failed.
type SwapHead struct {
	// Expected is the revision that HeadKey must have; 0 if it must not exist.
	Expected uint64
	Head     *Head
	Pause    time.Duration
}

// Finish is the last step.
type Finish struct{ Result Result }

func (*ReadHead) step()  {}
func (*ReadText) step()  {}
func (*WriteText) step() {}
func (*SwapHead) step()  {}
func (*Finish) step()    {}

// Event is how a step ended: *HeadRead, *TextRead, *TextWritten, *HeadSwapped or *Failed.
type Event interface{ event() }

// HeadRead is the head that was read; nil if there is none.
type HeadRead struct {
	Head     *Head
	Revision uint64
}

// TextRead is the text that was read; nil if there is none.
type TextRead struct{ Text []byte }

// TextWritten reports that the platform has the text.
type TextWritten struct{}

// HeadSwapped is the answer to a swap, with the head in place after it.
type HeadSwapped struct {
	Swapped  bool
	Head     *Head
	Revision uint64
}

// Failed reports that a step failed or that its answer was lost.
type Failed struct {
	Err error
	// NoEffect reports that the step certainly had no effect and will have none.
	NoEffect bool
}

func (*HeadRead) event()    {}
func (*TextRead) event()    {}
func (*TextWritten) event() {}
func (*HeadSwapped) event() {}
func (*Failed) event()      {}

// Outcome is how an apply ended.
type Outcome uint8

// The outcomes.
const (
	Unknown Outcome = iota
	Accepted
	Refused
)

// String returns the outcome as a word.
func (o Outcome) String() string { return [...]string{"unknown", "accepted", "refused"}[o] }

// Result is what the operator is told.
type Result struct {
	Outcome Outcome
	// Version is the version that the rules became, if accepted.
	Version uint64
	// Current is the newest head that was read; nil if none was.
	Current *Head
	// Reason says why the rules were not accepted.
	Reason string
}

// retryPause is the pause before a failed step is retried.
const retryPause = 200 * time.Millisecond

const defaultApplyTimeout = 30 * time.Second

// NewApplier returns an Applier that has not started; Start returns its first step.
func NewApplier(cfg ApplyConfig) *Applier {
	setDefault(&cfg.Timeout, defaultApplyTimeout)
	return &Applier{cfg: cfg}
}

// Start returns the first step.
func (a *Applier) Start(now time.Time) Step {
	a.deadline = now.Add(a.cfg.Timeout)
	return a.setStep(&ReadHead{})
}

// Next returns the step that follows an event of the last step.
func (a *Applier) Next(now time.Time, event Event) Step {
	switch event := event.(type) {
	case *HeadRead:
		return a.headRead(now, event)
	case *TextRead:
		a.oldText = event.Text
		return a.setStep(&WriteText{Key: textKey(a.cfg.ApplyID), Text: a.cfg.Text})
	case *TextWritten:
		return a.swap()
	case *HeadSwapped:
		return a.headSwapped(now, event)
	case *Failed:
		return a.failed(now, event)
	}
	panic(fmt.Sprintf("dfpconfig: unknown event %T", event))
}

func (a *Applier) setStep(s Step) Step {
	a.step = s
	return s
}

func (a *Applier) headRead(now time.Time, event *HeadRead) Step {
	a.updateCurrent(event.Head)
	var version uint64
	if event.Head != nil {
		version = event.Head.Version
	}
	switch {
	case version > a.cfg.BaseVersion:
		return a.finish(Refused, fmt.Sprintf("the rules are at version %d, you saw %d", version, a.cfg.BaseVersion))
	case version < a.cfg.BaseVersion && now.After(a.deadline):
		return a.finish(Refused, fmt.Sprintf("the platform's newest version is %d, you saw %d", version, a.cfg.BaseVersion))
	case version < a.cfg.BaseVersion: // The read may have returned an old head.
		return a.setStep(&ReadHead{Pause: retryPause})
	}
	a.head, a.expected = event.Head, event.Revision
	if a.head != nil {
		return a.setStep(&ReadText{Key: a.head.TextKey()})
	}
	return a.setStep(&WriteText{Key: textKey(a.cfg.ApplyID), Text: a.cfg.Text})
}

func (a *Applier) swap() Step {
	if a.head != nil && a.oldText != nil && !a.head.matches(a.oldText) {
		a.oldText = nil
	}
	apply := Apply{ApplyID: a.cfg.ApplyID, By: a.cfg.By, At: a.cfg.At.Unix()}
	return a.setStep(&SwapHead{Expected: a.expected, Head: a.head.next(apply, a.oldText, a.cfg.Text)})
}

func (a *Applier) headSwapped(now time.Time, event *HeadSwapped) Step {
	if event.Swapped {
		a.updateCurrent(event.Head)
		return a.finish(Accepted, "")
	}
	a.updateCurrent(event.Head)
	if a.disabled.historyCheck {
		return a.finish(Refused, "")
	}
	if event.Head == nil || event.Revision <= a.expected {
		// The answer is not newer than the head that was read, so it does not tell what happened.
		return a.retry(now, "the platform's answers contradict each other")
	}
	if _, found := event.Head.Find(a.cfg.ApplyID); found {
		return a.finish(Accepted, "")
	}
	if !event.Head.covers(a.cfg.BaseVersion + 1) {
		return a.finish(Unknown, "too many other changes came in between: read the rules to see whether yours are in them")
	}
	return a.finish(Refused, fmt.Sprintf("another change came first: the rules are at version %d, you saw %d",
		event.Head.Version, a.cfg.BaseVersion))
}

func (a *Applier) failed(now time.Time, event *Failed) Step {
	switch a.step.(type) {
	case *ReadText:
		// The old text serves only to make a patch; the apply goes on without one.
		return a.Next(now, &TextRead{})
	case *SwapHead:
		a.swapSent = a.swapSent || !event.NoEffect
	}
	return a.retry(now, fmt.Sprint(event.Err))
}

// retry repeats the last step until the deadline.
func (a *Applier) retry(now time.Time, reason string) Step {
	if !now.Before(a.deadline) {
		if a.swapSent {
			return a.finish(Unknown, "no answer from the platform: "+reason)
		}
		return a.finish(Refused, "nothing was changed: "+reason)
	}
	switch s := a.step.(type) {
	case *ReadHead:
		s.Pause = retryPause
	case *WriteText:
		s.Pause = retryPause
	case *SwapHead:
		s.Pause = retryPause
	}
	return a.step
}

func (a *Applier) updateCurrent(head *Head) {
	if head != nil && (a.current == nil || head.Version > a.current.Version) {
		a.current = head
	}
}

func (a *Applier) finish(outcome Outcome, reason string) Step {
	r := Result{Outcome: outcome, Current: a.current, Reason: reason}
	if outcome == Accepted {
		r.Version = a.cfg.BaseVersion + 1
	}
	return a.setStep(&Finish{Result: r})
}
