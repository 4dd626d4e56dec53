package dfpguard

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"dragonflyport/internal/contract/dfpcall"
)

// queue holds the waiting tickets. It yields them by importance; within an
// importance by start-time fair queueing between organisations (Goyal, Vin and
// Cheng, SIGCOMM 1996, with every request of cost 1); within an organisation
// the deepest first, then the oldest.
type queue struct {
	classes [dfpcall.ImportanceCount]class
	byID    map[Handle]*waiter
	arrival uint64
}

// class holds the waiting tickets of one importance.
type class struct {
	organisations map[string]*lane
	order         laneHeap
	// virtual is the tag of the last ticket taken; it never falls.
	virtual uint64
	waiting int
}

// lane holds the waiting tickets of one organisation at one importance.
type lane struct {
	organisation string
	// tag is the virtual time at which its next ticket is due.
	tag     uint64
	waiters waiterHeap
	index   int
}

type waiter struct {
	ticket  Request
	arrival uint64
	index   int
	lane    *lane
}

func newQueue() *queue {
	q := &queue{byID: make(map[Handle]*waiter)}
	for i := range q.classes {
		q.classes[i].organisations = make(map[string]*lane)
	}
	return q
}

func (q *queue) len() int { return len(q.byID) }

// push adds a ticket.
func (q *queue) push(t Request) {
	c := &q.classes[t.Importance]
	l, ok := c.organisations[t.Organisation]
	if !ok {
		l = &lane{organisation: t.Organisation}
		c.organisations[t.Organisation] = l
	}
	q.arrival++
	w := &waiter{ticket: t, arrival: q.arrival, lane: l}
	q.byID[t.Handle] = w
	heap.Push(&l.waiters, w)
	c.waiting++
	if len(l.waiters) == 1 {
		l.tag = max(l.tag, c.virtual)
		heap.Push(&c.order, l)
	}
}

// pop takes the ticket that is due next.
func (q *queue) pop() (Request, bool) {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		if c.waiting == 0 {
			continue
		}
		l := c.order[0]
		c.virtual = l.tag
		l.tag++
		w := l.waiters[0]
		q.remove(w)
		return w.ticket, true
	}
	return Request{}, false
}

// take removes a ticket by its handle and reports whether it waited.
func (q *queue) take(h Handle) bool {
	w, ok := q.byID[h]
	if ok {
		q.remove(w)
	}
	return ok
}

func (q *queue) remove(w *waiter) {
	l := w.lane
	c := &q.classes[w.ticket.Importance]
	delete(q.byID, w.ticket.Handle)
	heap.Remove(&l.waiters, w.index)
	c.waiting--
	if len(l.waiters) > 0 {
		heap.Fix(&c.order, l.index)
		return
	}
	heap.Remove(&c.order, l.index)
	c.forgetIdle()
}

// tickets returns the waiting tickets in order of arrival.
func (q *queue) tickets() []Request {
	waiters := slices.SortedFunc(maps.Values(q.byID), func(v, w *waiter) int {
		return cmp.Compare(v.arrival, w.arrival)
	})
	tickets := make([]Request, len(waiters))
	for i, w := range waiters {
		tickets[i] = w.ticket
	}
	return tickets
}

// maxIdleLanes bounds the lanes kept, for their tags, without a waiting ticket.
const maxIdleLanes = 1024

// forgetIdle drops all idle lanes once there are too many of them. A lane
// forgotten begins again at the class's virtual time, which is the earliest
// tag that any lane can have.
func (c *class) forgetIdle() {
	if len(c.organisations)-len(c.order) <= maxIdleLanes {
		return
	}
	for organisation, l := range c.organisations {
		if len(l.waiters) == 0 {
			delete(c.organisations, organisation)
		}
	}
}

// holdsBelow reports whether a less important ticket waits.
func (q *queue) holdsBelow(importance dfpcall.Importance) bool {
	for i := range importance {
		if q.classes[i].waiting > 0 {
			return true
		}
	}
	return false
}

// lowest returns the lowest importance that waits, or false if nothing does.
func (q *queue) lowest() (dfpcall.Importance, bool) {
	for i := range q.classes {
		if q.classes[i].waiting > 0 {
			return dfpcall.Importance(i), true
		}
	}
	return 0, false
}

// ahead returns how many waiting tickets would be taken before a new one, at most.
func (q *queue) ahead(importance dfpcall.Importance, organisation string) int {
	n := 0
	for i := int(importance) + 1; i < len(q.classes); i++ {
		n += q.classes[i].waiting
	}
	c := &q.classes[importance]
	own := 0
	if l := c.organisations[organisation]; l != nil {
		own = len(l.waiters)
	}
	return n + min(c.waiting, (own+1)*(len(c.order)+1))
}

// displace makes room for an arrival that the full queue has no place for: it
// removes and returns a waiting ticket that must yield to it, if there is one. A less
// important ticket yields; among equals, one of the organisation with the most waiting
// yields to an organisation with fewer, and a shallower one to a deeper one of its own.
func (q *queue) displace(t Request) (Request, bool) {
	for i := 0; i <= int(t.Importance); i++ {
		c := &q.classes[i]
		if c.waiting == 0 {
			continue
		}
		longest := c.longest()
		victim := longest.last()
		if i == int(t.Importance) {
			own := 0
			if l := c.organisations[t.Organisation]; l != nil {
				own = len(l.waiters)
			}
			fairer := own+1 < len(longest.waiters)
			if !fairer && own > 0 {
				victim = c.organisations[t.Organisation].last()
			}
			deeper := own > 0 && victim.ticket.Depth < t.Depth
			if !fairer && !deeper {
				return Request{}, false
			}
		}
		q.remove(victim)
		return victim.ticket, true
	}
	return Request{}, false
}

// longest returns the lane with the most waiting tickets; among equals the
// one that is due last.
func (c *class) longest() *lane {
	longest := c.order[0]
	for _, l := range c.order[1:] {
		n, m := len(l.waiters), len(longest.waiters)
		if n > m || n == m && longest.before(l) {
			longest = l
		}
	}
	return longest
}

// before reports whether l is due before o.
func (l *lane) before(o *lane) bool {
	if l.tag != o.tag {
		return l.tag < o.tag
	}
	return l.organisation < o.organisation
}

// last returns the waiting ticket of the lane that is due last.
func (l *lane) last() *waiter {
	last := l.waiters[0]
	for _, w := range l.waiters[1:] {
		if last.before(w) {
			last = w
		}
	}
	return last
}

// before reports whether w is due before o in their common lane.
func (w *waiter) before(o *waiter) bool {
	if w.ticket.Depth != o.ticket.Depth {
		return w.ticket.Depth > o.ticket.Depth
	}
	return w.arrival < o.arrival
}

// laneHeap is a container/heap of the lanes with waiting tickets.
type laneHeap []*lane

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop is part of heap.Interface.
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return l
}

// waiterHeap is a container/heap of one lane's tickets.
type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop is part of heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
