package dfpguard

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"dragonflyport/internal/contract/dfpcall"
)

// queue holds the waiting requests. It returns them by importance; within an importance by start-time fair
// queueing between organisations (Goyal, Vin and Cheng, SIGCOMM 1996, with every request of cost 1); within
// an organisation the deepest call first, then the oldest.
type queue struct {
	classes  [dfpcall.ImportanceCount]class
	byHandle map[Handle]*waiter
	arrival  uint64
}

// class holds the waiting requests of one importance.
type class struct {
	flows map[string]*flow
	order flowHeap
	// virtualTime is the start tag of the last request popped; it never decreases.
	virtualTime uint64
	waiting     int
}

// flow holds the waiting requests of one organisation at one importance.
type flow struct {
	organisation string
	// startTag is the virtual time at which the flow's next request is due.
	startTag uint64
	waiters  waiterHeap
	index    int
}

type waiter struct {
	request Request
	arrival uint64
	index   int
	flow    *flow
}

func newQueue() *queue {
	q := &queue{byHandle: make(map[Handle]*waiter)}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

func (q *queue) len() int { return len(q.byHandle) }

// push adds a request.
func (q *queue) push(req Request) {
	c := &q.classes[req.Importance]
	f, ok := c.flows[req.Organisation]
	if !ok {
		f = &flow{organisation: req.Organisation}
		c.flows[req.Organisation] = f
	}
	q.arrival++
	w := &waiter{request: req, arrival: q.arrival, flow: f}
	q.byHandle[req.Handle] = w
	heap.Push(&f.waiters, w)
	c.waiting++
	if len(f.waiters) == 1 {
		f.startTag = max(f.startTag, c.virtualTime)
		heap.Push(&c.order, f)
	}
}

// pop removes and returns the request that is due next. It returns false if the queue is empty.
func (q *queue) pop() (Request, bool) {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		if c.waiting == 0 {
			continue
		}
		f := c.order[0]
		c.virtualTime = f.startTag
		f.startTag++
		w := f.waiters[0]
		q.remove(w)
		return w.request, true
	}
	return Request{}, false
}

// removeHandle removes a request by its handle and reports whether it was in the queue.
func (q *queue) removeHandle(h Handle) bool {
	w, ok := q.byHandle[h]
	if ok {
		q.remove(w)
	}
	return ok
}

func (q *queue) remove(w *waiter) {
	f := w.flow
	c := &q.classes[w.request.Importance]
	delete(q.byHandle, w.request.Handle)
	heap.Remove(&f.waiters, w.index)
	c.waiting--
	if len(f.waiters) > 0 {
		heap.Fix(&c.order, f.index)
		return
	}
	heap.Remove(&c.order, f.index)
	c.evictIdleFlows()
}

// requests returns the waiting requests in order of arrival.
func (q *queue) requests() []Request {
	waiters := slices.SortedFunc(maps.Values(q.byHandle), func(v, w *waiter) int {
		return cmp.Compare(v.arrival, w.arrival)
	})
	requests := make([]Request, len(waiters))
	for i, w := range waiters {
		requests[i] = w.request
	}
	return requests
}

// maxIdleFlows is the number of flows without a waiting request that are kept for their start tags.
const maxIdleFlows = 1024

// evictIdleFlows drops all idle flows once there are more than maxIdleFlows. A dropped flow starts again at
// the virtual time of the class, which is the earliest start tag that any flow can have.
func (c *class) evictIdleFlows() {
	if len(c.flows)-len(c.order) <= maxIdleFlows {
		return
	}
	for organisation, f := range c.flows {
		if len(f.waiters) == 0 {
			delete(c.flows, organisation)
		}
	}
}

// hasLessImportant reports whether a less important request waits.
func (q *queue) hasLessImportant(importance dfpcall.Importance) bool {
	for i := range importance {
		if q.classes[i].waiting > 0 {
			return true
		}
	}
	return false
}

// lowest returns the lowest importance of the waiting requests, or false if there are none.
func (q *queue) lowest() (dfpcall.Importance, bool) {
	for i := range q.classes {
		if q.classes[i].waiting > 0 {
			return dfpcall.Importance(i), true
		}
	}
	return 0, false
}

// ahead returns an upper bound for the number of waiting requests that pop would return before a new one.
func (q *queue) ahead(importance dfpcall.Importance, organisation string) int {
	n := 0
	for i := int(importance) + 1; i < len(q.classes); i++ {
		n += q.classes[i].waiting
	}
	c := &q.classes[importance]
	own := 0
	if f := c.flows[organisation]; f != nil {
		own = len(f.waiters)
	}
	return n + min(c.waiting, (own+1)*(len(c.order)+1))
}

// displace makes room for an arrival in a full queue: it removes and returns a waiting request of lower
// precedence, or returns false if there is none. A less important request has lower precedence. Among
// requests of equal importance, one of the organisation with the most waiting requests has lower precedence
// than an arrival of an organisation with fewer, and a less deep call lower than a deeper one of the same
// organisation.
func (q *queue) displace(req Request) (Request, bool) {
	for i := 0; i <= int(req.Importance); i++ {
		c := &q.classes[i]
		if c.waiting == 0 {
			continue
		}
		longest := c.longest()
		victim := longest.last()
		if i == int(req.Importance) {
			own := 0
			if f := c.flows[req.Organisation]; f != nil {
				own = len(f.waiters)
			}
			fairer := own+1 < len(longest.waiters)
			if !fairer && own > 0 {
				victim = c.flows[req.Organisation].last()
			}
			deeper := own > 0 && victim.request.Depth < req.Depth
			if !fairer && !deeper {
				return Request{}, false
			}
		}
		q.remove(victim)
		return victim.request, true
	}
	return Request{}, false
}

// popLast removes and returns the request of the lowest precedence: of the least important ones, one of the
// organisation with the most waiting requests. It panics if the queue is empty.
func (q *queue) popLast() Request {
	lowest, ok := q.lowest()
	if !ok {
		panic("dfpguard: popLast of an empty queue")
	}
	victim := q.classes[lowest].longest().last()
	q.remove(victim)
	return victim.request
}

// longest returns the flow with the most waiting requests; among equals, the one that is due last.
func (c *class) longest() *flow {
	longest := c.order[0]
	for _, f := range c.order[1:] {
		n, m := len(f.waiters), len(longest.waiters)
		if n > m || n == m && longest.before(f) {
			longest = f
		}
	}
	return longest
}

// before reports whether f is due before o.
func (f *flow) before(o *flow) bool {
	if f.startTag != o.startTag {
		return f.startTag < o.startTag
	}
	return f.organisation < o.organisation
}

// last returns the waiting request of the flow that is due last.
func (f *flow) last() *waiter {
	last := f.waiters[0]
	for _, w := range f.waiters[1:] {
		if last.before(w) {
			last = w
		}
	}
	return last
}

// before reports whether w is due before o; both are in the same flow.
func (w *waiter) before(o *waiter) bool {
	if w.request.Depth != o.request.Depth {
		return w.request.Depth > o.request.Depth
	}
	return w.arrival < o.arrival
}

// flowHeap is a container/heap of the flows with waiting requests.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// waiterHeap is a container/heap of one flow's requests.
type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
