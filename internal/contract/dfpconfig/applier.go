package dfpconfig

import (
	"fmt"
	"time"
)

// ApplyConfig is one operator's wish to replace the rules.
type ApplyConfig struct {
	// BaseVersion is the version that the operator's text is based on; 0 is none.
	BaseVersion uint64
	Text        []byte
	// ApplyID must be drawn at random for each Applier and never used again.
	ApplyID string
	// By is the operator's name, at most MaxByBytes bytes.
	By string
	// At is the operator's clock, for the log.
	At time.Time
	// Timeout is the longest time until Finish; default 30 s.
	Timeout time.Duration
}

// Applier puts new rules into the platform by compare-and-swap. Whatever answers are
// lost, its verdict is true:
//
//   - Accepted: the rules are in the platform's line of versions, and stay there.
//   - Refused: they are not, and never will be.
//   - Unknown: the platform could not be asked in time whether they are.
//
// A swap whose answer was lost is sent again as it was. That is safe, since it expects a
// revision that no other write leaves behind, and the answer shows the head as it stands. If
// that is another operator's, its history tells whether this apply came before it.
type Applier struct {
	cfg      ApplyConfig
	deadline time.Time
	step     Step
	head     *Head  // the one to be replaced; nil if there is none
	oldText  []byte // its text; nil if it could not be read
	expected uint64 // its revision
	// swapped says that a swap whose answer was lost may have taken effect.
	swapped bool
	// current is the newest head that was read.
	current *Head
	off     applierOff
}

// applierOff switches mechanisms off, for proofs that tests notice.
type applierOff struct{ settle bool }

// Step is what to do next: *ReadHead, *ReadText, *WriteText, *SwapHead or *Finish.
type Step interface{ step() }

// ReadHead asks for a read of HeadKey after a pause; the event is HeadRead or Failed.
type ReadHead struct{ Pause time.Duration }

// ReadText asks for a read of a key; the event is TextRead or Failed.
type ReadText struct {
	Key   string
	Pause time.Duration
}

// WriteText asks for a write of a key that must not exist; TextWritten is the event
// also if it stands there already, since only this Applier writes it.
type WriteText struct {
	Key   string
	Text  []byte
	Pause time.Duration
}

// SwapHead asks for a swap of HeadKey; the event is HeadSwapped or Failed.
type SwapHead struct {
	// Expected is the revision that HeadKey must have; 0 if it must not exist.
	Expected uint64
	Head     *Head
	Pause    time.Duration
}

// Finish is the end.
type Finish struct{ Result Result }

func (*ReadHead) step()  {}
func (*ReadText) step()  {}
func (*WriteText) step() {}
func (*SwapHead) step()  {}
func (*Finish) step()    {}

// Event is how a step ended: *HeadRead, *TextRead, *TextWritten, *HeadSwapped or *Failed.
type Event interface{ event() }

// HeadRead is the head as read; nil if there is none.
type HeadRead struct {
	Head     *Head
	Revision uint64
}

// TextRead is a text as read; nil if there is none.
type TextRead struct{ Text []byte }

// TextWritten says that the text stands.
type TextWritten struct{}

// HeadSwapped is the answer to a swap, with the head that stands after it.
type HeadSwapped struct {
	Swapped  bool
	Head     *Head
	Revision uint64
}

// Failed says that a step failed or its answer was lost.
type Failed struct {
	Err error
	// NoEffect says that the step is certain to have had and to get no effect.
	NoEffect bool
}

func (*HeadRead) event()    {}
func (*TextRead) event()    {}
func (*TextWritten) event() {}
func (*HeadSwapped) event() {}
func (*Failed) event()      {}

// Outcome is how an apply ended.
type Outcome uint8

// The verdicts.
const (
	Unknown Outcome = iota
	Accepted
	Refused
)

// String returns the verdict's word.
func (v Outcome) String() string { return [...]string{"unknown", "accepted", "refused"}[v] }

// Result is what the operator learns.
type Result struct {
	Outcome Outcome
	// Version is the version that the rules became, if accepted.
	Version uint64
	// Current is the newest head that was read; nil if none was.
	Current *Head
	// Reason says why they were not accepted.
	Reason string
}

// retryPause is the pause before a failed step is tried again.
const retryPause = 200 * time.Millisecond

const defaultApplyTimeout = 30 * time.Second

// NewApplier returns an Applier.
func NewApplier(cfg ApplyConfig) *Applier {
	setDefault(&cfg.Timeout, defaultApplyTimeout)
	return &Applier{cfg: cfg}
}

// Start returns the first step.
func (a *Applier) Start(now time.Time) Step {
	a.deadline = now.Add(a.cfg.Timeout)
	return a.do(&ReadHead{})
}

// Next returns the step that follows an event of the last step.
func (a *Applier) Next(now time.Time, event Event) Step {
	switch event := event.(type) {
	case *HeadRead:
		return a.headIs(now, event)
	case *TextRead:
		a.oldText = event.Text
		return a.do(&WriteText{Key: textKey(a.cfg.ApplyID), Text: a.cfg.Text})
	case *TextWritten:
		return a.swap()
	case *HeadSwapped:
		return a.headSwapped(now, event)
	case *Failed:
		return a.failed(now, event)
	}
	panic(fmt.Sprintf("dfpconfig: unknown event %T", event))
}

func (a *Applier) do(s Step) Step {
	a.step = s
	return s
}

func (a *Applier) headIs(now time.Time, event *HeadRead) Step {
	a.noteCurrent(event.Head)
	var version uint64
	if event.Head != nil {
		version = event.Head.Version
	}
	switch {
	case version > a.cfg.BaseVersion:
		return a.finish(Refused, fmt.Sprintf("the rules are at version %d, you saw %d", version, a.cfg.BaseVersion))
	case version < a.cfg.BaseVersion && now.After(a.deadline):
		return a.finish(Refused, fmt.Sprintf("the platform's newest version is %d, you saw %d", version, a.cfg.BaseVersion))
	case version < a.cfg.BaseVersion: // Perhaps an old answer.
		return a.do(&ReadHead{Pause: retryPause})
	}
	a.head, a.expected = event.Head, event.Revision
	if a.head != nil {
		return a.do(&ReadText{Key: a.head.TextKey()})
	}
	return a.do(&WriteText{Key: textKey(a.cfg.ApplyID), Text: a.cfg.Text})
}

func (a *Applier) swap() Step {
	if a.head != nil && a.oldText != nil && !a.head.describes(a.oldText) {
		a.oldText = nil
	}
	apply := Apply{ApplyID: a.cfg.ApplyID, By: a.cfg.By, At: a.cfg.At.Unix()}
	return a.do(&SwapHead{Expected: a.expected, Head: a.head.next(apply, a.oldText, a.cfg.Text)})
}

func (a *Applier) headSwapped(now time.Time, event *HeadSwapped) Step {
	if event.Swapped {
		a.noteCurrent(event.Head)
		return a.finish(Accepted, "")
	}
	a.noteCurrent(event.Head)
	if a.off.settle {
		return a.finish(Refused, "")
	}
	if event.Head == nil || event.Revision <= a.expected {
		// The answer is older than the head that was read: it says nothing.
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
		// The old text only makes the change smaller to send.
		return a.Next(now, &TextRead{})
	case *SwapHead:
		a.swapped = a.swapped || !event.NoEffect
	}
	return a.retry(now, fmt.Sprint(event.Err))
}

// retry repeats the last step while there is time.
func (a *Applier) retry(now time.Time, reason string) Step {
	if !now.Before(a.deadline) {
		if a.swapped {
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

func (a *Applier) noteCurrent(head *Head) {
	if head != nil && (a.current == nil || head.Version > a.current.Version) {
		a.current = head
	}
}

func (a *Applier) finish(verdict Outcome, reason string) Step {
	r := Result{Outcome: verdict, Current: a.current, Reason: reason}
	if verdict == Accepted {
		r.Version = a.cfg.BaseVersion + 1
	}
	return a.do(&Finish{Result: r})
}
