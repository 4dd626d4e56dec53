package dfpconfig_test

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/vm/dfpvm"
)

// tick is the virtual time between two looks at what is due, nodeTicks the number of
// them between two ticks of the nodes, as in the node's own loop.
const (
	tick      = 20 * time.Millisecond
	nodeTicks = 5
)

// answerTimeout is when an unanswered call of the platform counts as failed.
const answerTimeout = 300 * time.Millisecond

// world runs the decisions of nodes and operators over a message channel and a platform
// with faults, in virtual time. It stops at the first broken promise.
type world struct {
	now      time.Time
	ticks    int
	rng      *rand.Rand
	off      dfpconfig.Mechanism
	events   []event
	sequence int

	heads     []*dfpconfig.Head // heads[i] has revision i+1
	texts     map[string][]byte
	headReads int
	messages  int
	bytes     int
	// down stops the platform; loss is the part of its calls that are lost on the way
	// there or back, or delayed; stale is the part of reads that get an older head.
	down        bool
	loss, stale float64
	watchSilent bool

	// config is the nodes', but for what tells them apart.
	config    dfpconfig.Config
	nodes     []*node
	byAddress map[string]*node
	zonesCut  map[[2]string]bool
	verdicts  map[string]dfpconfig.Result
	applied   map[string]string
	broken    error
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type node struct {
	vm          dfpvm.VM
	state       *dfpconfig.State
	platformCut bool
	dead        bool
	highest     uint64
	installedAt time.Time
}

func newWorld(seed uint64, zones, perZone int, off dfpconfig.Mechanism) *world {
	w := &world{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), off: off,
		texts: map[string][]byte{}, zonesCut: map[[2]string]bool{}, verdicts: map[string]dfpconfig.Result{}, applied: map[string]string{},
	}
	for z := range zones {
		for i := range perZone {
			w.nodes = append(w.nodes, &node{vm: dfpvm.VM{Address: fmt.Sprintf("10.0.%d.%d:9000", z, i), Zone: fmt.Sprint("zone-", z)}})
		}
	}
	w.byAddress = map[string]*node{}
	for _, n := range w.nodes {
		w.byAddress[n.vm.Address] = n
		w.start(n)
	}
	return w
}

// start gives a node a new state, as a new VM of its address would have.
func (w *world) start(n *node) {
	cfg := w.config
	cfg.Self, cfg.Zone = n.vm.Address, n.vm.Zone
	n.state = dfpconfig.New(cfg)
	n.state.SwitchOff(w.off)
	n.highest, n.dead = 0, false
	var vms []dfpvm.VM
	for _, other := range w.nodes {
		vms = append(vms, other.vm)
	}
	n.state.SetRoster(vms)
}

func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	w.events = append(w.events, event{w.now.Add(d), w.sequence, do})
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.broken == nil; w.now = w.now.Add(tick) {
		due := []event{}
		w.events = slices.DeleteFunc(w.events, func(e event) bool {
			isDue := !e.at.After(w.now)
			if isDue {
				due = append(due, e)
			}
			return isDue
		})
		slices.SortFunc(due, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), a.sequence-b.sequence) })
		for _, e := range due {
			e.do()
		}
		w.ticks++
		for i, n := range w.nodes {
			if !n.dead && (w.ticks+i)%nodeTicks == 0 {
				w.carryOut(n, n.state.Tick(w.now, w.rng))
			}
		}
	}
}

func (w *world) breakPromise(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf("at %v: %w", w.now.Sub(time.Unix(1000, 0)), fmt.Errorf(format, args...))
	}
}

func (w *world) delay() time.Duration { return time.Duration(1+w.rng.IntN(20)) * time.Millisecond }

// call runs a call of the platform: it may be lost on the way there, take effect late
// though it counts as failed, or lose its answer.
func (w *world) call(isCut bool, effect func(), done func(ok bool)) {
	kind := w.rng.Float64() / max(w.loss, 1e-9)
	switch {
	case isCut || w.down || kind < 0.3:
		w.after(answerTimeout, func() { done(false) })
	case kind < 0.7:
		w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() {
			if !w.down {
				effect()
			}
		})
		w.after(answerTimeout, func() { done(false) })
	case kind < 1:
		effect()
		w.after(answerTimeout, func() { done(false) })
	default:
		w.after(w.delay(), func() {
			effect()
			w.after(w.delay(), func() { done(true) })
		})
	}
}

// head returns the head as a read sees it, with its revision.
func (w *world) head() (*dfpconfig.Head, uint64) {
	n := len(w.heads)
	if n > 0 && w.rng.Float64() < w.stale {
		n = w.rng.IntN(n + 1)
	}
	if n == 0 {
		return nil, 0
	}
	return decoded(w.heads[n-1]), uint64(n)
}

func decoded(h *dfpconfig.Head) *dfpconfig.Head {
	out, err := dfpconfig.DecodeHead(h.Encode())
	if err != nil {
		panic(err)
	}
	return out
}

func (w *world) swap(expected uint64, head *dfpconfig.Head) bool {
	if expected != uint64(len(w.heads)) {
		return false
	}
	w.heads = append(w.heads, decoded(head))
	for _, n := range w.nodes {
		if n.state.IsWatcher() && !n.dead && !n.platformCut && !w.watchSilent {
			w.after(w.delay(), func() { w.carryOut(n, n.state.HeadWatched(w.now, w.rng, decoded(head))) })
		}
	}
	return true
}

// carryOut does a node's effects and checks the promises about what it installs.
func (w *world) carryOut(n *node, e dfpconfig.Effects) {
	if e.Err != nil {
		w.breakPromise("node %s: %w", n.vm.Address, e.Err)
	}
	if e.Install != nil {
		w.installed(n, e.Install)
	}
	for _, s := range e.Send {
		w.send(n, s)
	}
	if e.ReadHead {
		w.readHead(n)
	}
	if e.ReadText != "" {
		state := n.state
		var text []byte
		w.call(n.platformCut, func() { text = w.texts[e.ReadText] }, func(ok bool) {
			if n.state == state && !n.dead {
				w.carryOut(n, state.TextRead(w.now, w.rng, e.ReadText, text))
			}
		})
	}
}

func (w *world) installed(n *node, in *dfpconfig.Installed) {
	v := in.Head.Version
	if v <= n.highest {
		w.breakPromise("node %s went from version %d to %d", n.vm.Address, n.highest, v)
	}
	n.highest, n.installedAt = v, w.now
	if v > uint64(len(w.heads)) || string(in.Text) != w.applied[w.heads[v-1].ApplyID] {
		w.breakPromise("node %s installed a version %d that nobody was granted", n.vm.Address, v)
	}
}

func (w *world) readHead(n *node) {
	w.headReads++
	state, sentAt := n.state, w.now
	var head *dfpconfig.Head
	w.call(n.platformCut, func() { head, _ = w.head() }, func(ok bool) {
		switch {
		case n.state != state || n.dead:
		case ok:
			w.carryOut(n, state.HeadRead(w.now, w.rng, sentAt, head))
		default:
			state.HeadFailed()
		}
	})
}

func (w *world) send(from *node, s dfpconfig.Send) {
	w.messages++
	b := dfpconfig.EncodeMessage(s.Message)
	w.bytes += len(b)
	to := w.byAddress[s.To]
	if w.zonesCut[[2]string{from.vm.Zone, to.vm.Zone}] || w.rng.Float64() < w.loss/4 {
		return
	}
	w.after(w.delay(), func() {
		m, err := dfpconfig.DecodeMessage(b)
		if err != nil {
			panic(err)
		}
		if !to.dead {
			w.carryOut(to, to.state.Receive(w.now, w.rng, from.vm.Address, m))
		}
	})
}

// cutZones cuts or joins two zones, both ways.
func (w *world) cutZones(a, b string, cut bool) {
	w.zonesCut[[2]string{a, b}], w.zonesCut[[2]string{b, a}] = cut, cut
}

// apply starts an operator; its verdict stands in verdicts once it is there.
func (w *world) apply(id, text string, seen uint64) {
	w.applied[id] = text
	a := dfpconfig.NewApplier(dfpconfig.ApplyConfig{BaseVersion: seen, Text: []byte(text), ApplyID: id, By: id, Timeout: 5 * time.Second})
	a.SwitchOff(w.off)
	w.operate(id, a, a.Start(w.now))
}

var errNoAnswer = errors.New("no answer")

func (w *world) operate(id string, a *dfpconfig.Applier, step dfpconfig.Step) {
	do := func(pause time.Duration, effect func() dfpconfig.Event) {
		w.after(pause, func() {
			var got dfpconfig.Event
			w.call(false, func() { got = effect() }, func(ok bool) {
				if !ok {
					got = &dfpconfig.Failed{Err: errNoAnswer}
				}
				w.operate(id, a, a.Next(w.now, got))
			})
		})
	}
	switch s := step.(type) {
	case *dfpconfig.ReadHead:
		do(s.Pause, func() dfpconfig.Event { h, r := w.head(); return &dfpconfig.HeadRead{Head: h, Revision: r} })
	case *dfpconfig.ReadText:
		do(s.Pause, func() dfpconfig.Event { return &dfpconfig.TextRead{Text: w.texts[s.Key]} })
	case *dfpconfig.WriteText:
		do(s.Pause, func() dfpconfig.Event { w.texts[s.Key] = s.Text; return &dfpconfig.TextWritten{} })
	case *dfpconfig.SwapHead:
		do(s.Pause, func() dfpconfig.Event {
			swapped := w.swap(s.Expected, s.Head)
			h, r := w.heads[len(w.heads)-1], uint64(len(w.heads))
			return &dfpconfig.HeadSwapped{Swapped: swapped, Head: decoded(h), Revision: r}
		})
	case *dfpconfig.Finish:
		w.verdicts[id] = s.Result
	}
}

// checkVerdicts compares what operators were told with the platform's history.
func (w *world) checkVerdicts() {
	versions := map[string]uint64{}
	for i, h := range w.heads {
		versions[h.ApplyID] = uint64(i + 1)
	}
	for id, r := range w.verdicts {
		switch v := versions[id]; {
		case r.Outcome == dfpconfig.Accepted && v != r.Version:
			w.breakPromise("%s was told accepted as version %d, but is version %d", id, r.Version, v)
		case r.Outcome == dfpconfig.Refused && v != 0:
			w.breakPromise("%s was told refused, but is version %d", id, v)
		}
	}
}

// checkInForce checks that every living node has the platform's newest version.
func (w *world) checkInForce() {
	for _, n := range w.nodes {
		if got := n.state.Version(); !n.dead && got != uint64(len(w.heads)) {
			w.breakPromise("node %s has version %d, the platform %d", n.vm.Address, got, len(w.heads))
		}
	}
}

// behind returns the number of nodes that lack a version.
func (w *world) behind(version uint64) int {
	behind := 0
	for _, n := range w.nodes {
		if n.state.Version() < version {
			behind++
		}
	}
	return behind
}

// rules returns the text of rules that differ by a number.
func rules(number int) string {
	return fmt.Sprintf("availability_zone zone-0 region=r # x\norganisation o rate=%d/s burst=1 # x\n", number+1)
}

// mustHold fails a test if a promise was broken.
func (w *world) mustHold(t *testing.T) {
	t.Helper()
	if w.broken != nil {
		t.Fatal(w.broken)
	}
}
