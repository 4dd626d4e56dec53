package dfpquarantine

import (
	"slices"
	"time"
)

const (
	// orderTolerance allows for answers and broken connections being seen in another order than they happened.
	orderTolerance = 100 * time.Millisecond
	// maxUnansweredAge is how long an ended request without an answer can be a suspect.
	maxUnansweredAge = 10 * time.Second
	// maxUnanswered bounds the number of these.
	maxUnanswered = 1024
)

// Watch follows the requests on one backend server. When that crashes, Crashed returns those that it may have
// been running: the ones in progress, and the ones that ended without an answer when no later answer has shown
// it alive. A request that this instance has answered before is not the cause; it would otherwise be suspected
// whenever many servers end at once, if many callers send it. The zero value follows none.
type Watch struct {
	instance   string
	running    map[uint64]Fingerprint
	unanswered []unanswered
	// answeredAt is the time of the last answer, and answered holds recent answers' requests by their hash.
	answeredAt time.Time
	answered   *[answeredSlots]Fingerprint
}

// answeredSlots is the number of answered requests that a Watch remembers; two with the same slot replace each
// other.
const answeredSlots = 4096

type unanswered struct {
	fingerprint Fingerprint
	at          time.Time
}

// Replace records that an instance has taken the place of the one before, if that is another one, and returns
// the requests that the one before may have been running.
func (w *Watch) Replace(now time.Time, instance string) []Fingerprint {
	if instance == w.instance {
		return nil
	}
	suspects := w.Crashed(now, w.instance)
	w.instance = instance
	return suspects
}

// Start records that the request with a handle is sent to an instance. It ignores requests for an instance that
// has been replaced.
func (w *Watch) Start(instance string, handle uint64, f Fingerprint) {
	if instance != w.instance {
		return
	}
	if w.running == nil {
		w.running = make(map[uint64]Fingerprint)
	}
	w.running[handle] = f
}

// Ending is how a request at a backend server ended.
type Ending int

const (
	// EndedAnswered means that the backend server has run the request and answered.
	EndedAnswered Ending = iota
	// EndedRefused means that the backend server has answered that it has not run the request.
	EndedRefused
	// EndedUnanswered means that the backend server may have run the request and has not answered.
	EndedUnanswered
	// EndedUnsent means that the backend server has not got the request.
	EndedUnsent
)

// Finish records how the request with a handle ended.
func (w *Watch) Finish(now time.Time, handle uint64, ending Ending) {
	f, ok := w.running[handle]
	delete(w.running, handle)
	if ok && ending == EndedAnswered {
		if w.answered == nil {
			w.answered = new([answeredSlots]Fingerprint)
		}
		w.answered[f%answeredSlots] = f
	}
	switch {
	case ending == EndedAnswered, ending == EndedRefused:
		w.answeredAt = now
		w.unanswered = slices.DeleteFunc(w.unanswered, func(u unanswered) bool { return now.Sub(u.at) > orderTolerance })
	case ending == EndedUnanswered && ok:
		if len(w.unanswered) == maxUnanswered {
			w.unanswered = slices.Delete(w.unanswered, 0, 1)
		}
		w.unanswered = append(w.unanswered, unanswered{f, now})
	}
}

// Crashed records that an instance has crashed, and returns the requests that it may have been running. It
// returns none if the instance has been replaced.
func (w *Watch) Crashed(now time.Time, instance string) []Fingerprint {
	if instance != w.instance {
		return nil
	}
	var suspects []Fingerprint
	add := func(f Fingerprint) {
		if proven := w.answered != nil && w.answered[f%answeredSlots] == f; !proven && !slices.Contains(suspects, f) {
			suspects = append(suspects, f)
		}
	}
	for _, u := range w.unanswered {
		if now.Sub(u.at) <= maxUnansweredAge && w.answeredAt.Sub(u.at) <= orderTolerance {
			add(u.fingerprint)
		}
	}
	for _, f := range w.running {
		add(f)
	}
	*w = Watch{instance: instance}
	return suspects
}
