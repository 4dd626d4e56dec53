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

// tick is the time step of the simulation. Each node ticks once every nodeTicks steps, which is 100 ms
// as in a real node.
const (
	tick      = 20 * time.Millisecond
	nodeTicks = 5
)

// answerTimeout is the time after which an unanswered call to the platform fails.
const answerTimeout = 300 * time.Millisecond

// simulation runs nodes and operators in virtual time, over faulty links and a faulty
// platform. It stops at the first violated invariant.
type simulation struct {
	now      time.Time
	ticks    int
	rng      *rand.Rand
	disabled dfpconfig.Mechanism
	events   []event
	sequence int

	heads     []*dfpconfig.Head // heads[i] has revision i+1
	texts     map[string][]byte
	headReads int
	messages  int
	bytes     int
	// down stops the platform. loss is the fraction of calls that fail: the request or the answer is
	// lost, or the call takes effect late. staleReads is the fraction of reads that return an older head.
	down             bool
	loss, staleReads float64
	// watchSilent stops the watches from reporting new heads.
	watchSilent bool

	// config is the configuration of all nodes, except for address and zone.
	config    dfpconfig.Config
	nodes     []*node
	byAddress map[string]*node
	zonesCut  map[[2]string]bool
	outcomes  map[string]dfpconfig.Result
	applied   map[string]string
	failure   error
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type node struct {
	vm             dfpvm.VM
	state          *dfpconfig.State
	platformCut    bool
	dead           bool
	highestVersion uint64
	installedAt    time.Time
}

func newSimulation(seed uint64, zones, perZone int, disabled dfpconfig.Mechanism) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), disabled: disabled,
		texts: map[string][]byte{}, zonesCut: map[[2]string]bool{}, outcomes: map[string]dfpconfig.Result{}, applied: map[string]string{},
	}
	for z := range zones {
		for i := range perZone {
			sim.nodes = append(sim.nodes, &node{vm: dfpvm.VM{Address: fmt.Sprintf("10.0.%d.%d:9000", z, i), Zone: fmt.Sprint("zone-", z)}})
		}
	}
	sim.byAddress = map[string]*node{}
	for _, n := range sim.nodes {
		sim.byAddress[n.vm.Address] = n
		sim.start(n)
	}
	return sim
}

// start gives a node an empty state, as a new VM at the same address would have.
func (sim *simulation) start(n *node) {
	cfg := sim.config
	cfg.Self, cfg.Zone = n.vm.Address, n.vm.Zone
	n.state = dfpconfig.New(cfg)
	n.state.Disable(sim.disabled)
	n.highestVersion, n.dead = 0, false
	var vms []dfpvm.VM
	for _, other := range sim.nodes {
		vms = append(vms, other.vm)
	}
	n.state.SetRoster(vms)
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.sequence++
	sim.events = append(sim.events, event{sim.now.Add(d), sim.sequence, do})
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end) && sim.failure == nil; sim.now = sim.now.Add(tick) {
		due := []event{}
		sim.events = slices.DeleteFunc(sim.events, func(e event) bool {
			isDue := !e.at.After(sim.now)
			if isDue {
				due = append(due, e)
			}
			return isDue
		})
		slices.SortFunc(due, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), a.sequence-b.sequence) })
		for _, e := range due {
			e.do()
		}
		sim.ticks++
		for i, n := range sim.nodes {
			if !n.dead && (sim.ticks+i)%nodeTicks == 0 {
				sim.perform(n, n.state.Tick(sim.now, sim.rng))
			}
		}
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == nil {
		sim.failure = fmt.Errorf("at %v: %w", sim.now.Sub(time.Unix(1000, 0)), fmt.Errorf(format, args...))
	}
}

func (sim *simulation) delay() time.Duration {
	return time.Duration(1+sim.rng.IntN(20)) * time.Millisecond
}

// call simulates a call to the platform. The request may be lost, the call may fail for its caller
// but take effect later, or the answer may be lost.
func (sim *simulation) call(isCut bool, effect func(), done func(ok bool)) {
	kind := sim.rng.Float64() / max(sim.loss, 1e-9)
	switch {
	case isCut || sim.down || kind < 0.3:
		sim.after(answerTimeout, func() { done(false) })
	case kind < 0.7:
		sim.after(time.Duration(sim.rng.IntN(3000))*time.Millisecond, func() {
			if !sim.down {
				effect()
			}
		})
		sim.after(answerTimeout, func() { done(false) })
	case kind < 1:
		effect()
		sim.after(answerTimeout, func() { done(false) })
	default:
		sim.after(sim.delay(), func() {
			effect()
			sim.after(sim.delay(), func() { done(true) })
		})
	}
}

// head returns the head that a read returns, which may be an old one, and its revision.
func (sim *simulation) head() (*dfpconfig.Head, uint64) {
	n := len(sim.heads)
	if n > 0 && sim.rng.Float64() < sim.staleReads {
		n = sim.rng.IntN(n + 1)
	}
	if n == 0 {
		return nil, 0
	}
	return roundTrip(sim.heads[n-1]), uint64(n)
}

func roundTrip(h *dfpconfig.Head) *dfpconfig.Head {
	out, err := dfpconfig.DecodeHead(h.Encode())
	if err != nil {
		panic(err)
	}
	return out
}

func (sim *simulation) swap(expected uint64, head *dfpconfig.Head) bool {
	if expected != uint64(len(sim.heads)) {
		return false
	}
	sim.heads = append(sim.heads, roundTrip(head))
	for _, n := range sim.nodes {
		if n.state.IsWatcher() && !n.dead && !n.platformCut && !sim.watchSilent {
			sim.after(sim.delay(), func() { sim.perform(n, n.state.HeadWatched(sim.now, sim.rng, roundTrip(head))) })
		}
	}
	return true
}

// perform carries out a node's effects and checks the invariants of installed versions.
func (sim *simulation) perform(n *node, e dfpconfig.Effects) {
	if e.Err != nil {
		sim.fail("node %s: %w", n.vm.Address, e.Err)
	}
	if e.Install != nil {
		sim.checkInstalled(n, e.Install)
	}
	for _, s := range e.Send {
		sim.send(n, s)
	}
	if e.ReadHead {
		sim.readHead(n)
	}
	if e.ReadText != "" {
		state := n.state
		var text []byte
		sim.call(n.platformCut, func() { text = sim.texts[e.ReadText] }, func(ok bool) {
			if n.state == state && !n.dead {
				sim.perform(n, state.TextRead(sim.now, sim.rng, e.ReadText, text))
			}
		})
	}
}

func (sim *simulation) checkInstalled(n *node, in *dfpconfig.Installed) {
	v := in.Head.Version
	if v <= n.highestVersion {
		sim.fail("node %s went from version %d to %d", n.vm.Address, n.highestVersion, v)
	}
	n.highestVersion, n.installedAt = v, sim.now
	if v > uint64(len(sim.heads)) || string(in.Text) != sim.applied[sim.heads[v-1].ApplyID] {
		sim.fail("node %s installed version %d, which no operator applied", n.vm.Address, v)
	}
}

func (sim *simulation) readHead(n *node) {
	sim.headReads++
	state, sentAt := n.state, sim.now
	var head *dfpconfig.Head
	sim.call(n.platformCut, func() { head, _ = sim.head() }, func(ok bool) {
		switch {
		case n.state != state || n.dead:
		case ok:
			sim.perform(n, state.HeadRead(sim.now, sim.rng, sentAt, head))
		default:
			state.HeadFailed()
		}
	})
}

func (sim *simulation) send(from *node, s dfpconfig.Send) {
	sim.messages++
	b := dfpconfig.EncodeMessage(s.Message)
	sim.bytes += len(b)
	to := sim.byAddress[s.To]
	if sim.zonesCut[[2]string{from.vm.Zone, to.vm.Zone}] || sim.rng.Float64() < sim.loss/4 {
		return
	}
	sim.after(sim.delay(), func() {
		m, err := dfpconfig.DecodeMessage(b)
		if err != nil {
			panic(err)
		}
		if !to.dead {
			sim.perform(to, to.state.Receive(sim.now, sim.rng, from.vm.Address, m))
		}
	})
}

// cutZones disconnects or reconnects two zones in both directions.
func (sim *simulation) cutZones(a, b string, cut bool) {
	sim.zonesCut[[2]string{a, b}], sim.zonesCut[[2]string{b, a}] = cut, cut
}

// apply starts an operator's apply. Its result is put into outcomes when it ends.
func (sim *simulation) apply(id, text string, baseVersion uint64) {
	sim.applied[id] = text
	a := dfpconfig.NewApplier(dfpconfig.ApplyConfig{BaseVersion: baseVersion, Text: []byte(text), ApplyID: id, By: id, Timeout: 5 * time.Second})
	a.Disable(sim.disabled)
	sim.runApplier(id, a, a.Start(sim.now))
}

var errNoAnswer = errors.New("no answer")

func (sim *simulation) runApplier(id string, a *dfpconfig.Applier, step dfpconfig.Step) {
	do := func(pause time.Duration, effect func() dfpconfig.Event) {
		sim.after(pause, func() {
			var got dfpconfig.Event
			sim.call(false, func() { got = effect() }, func(ok bool) {
				if !ok {
					got = &dfpconfig.Failed{Err: errNoAnswer}
				}
				sim.runApplier(id, a, a.Next(sim.now, got))
			})
		})
	}
	switch s := step.(type) {
	case *dfpconfig.ReadHead:
		do(s.Pause, func() dfpconfig.Event { h, r := sim.head(); return &dfpconfig.HeadRead{Head: h, Revision: r} })
	case *dfpconfig.ReadText:
		do(s.Pause, func() dfpconfig.Event { return &dfpconfig.TextRead{Text: sim.texts[s.Key]} })
	case *dfpconfig.WriteText:
		do(s.Pause, func() dfpconfig.Event { sim.texts[s.Key] = s.Text; return &dfpconfig.TextWritten{} })
	case *dfpconfig.SwapHead:
		do(s.Pause, func() dfpconfig.Event {
			swapped := sim.swap(s.Expected, s.Head)
			h, r := sim.heads[len(sim.heads)-1], uint64(len(sim.heads))
			return &dfpconfig.HeadSwapped{Swapped: swapped, Head: roundTrip(h), Revision: r}
		})
	case *dfpconfig.Finish:
		sim.outcomes[id] = s.Result
	}
}

// checkOutcomes compares the results of the applies with the platform's history.
func (sim *simulation) checkOutcomes() {
	versions := map[string]uint64{}
	for i, h := range sim.heads {
		versions[h.ApplyID] = uint64(i + 1)
	}
	for id, r := range sim.outcomes {
		switch v := versions[id]; {
		case r.Outcome == dfpconfig.Accepted && v != r.Version:
			sim.fail("%s was told accepted as version %d, but is version %d", id, r.Version, v)
		case r.Outcome == dfpconfig.Refused && v != 0:
			sim.fail("%s was told refused, but is version %d", id, v)
		}
	}
}

// checkInForce checks that every running node has the platform's newest version.
func (sim *simulation) checkInForce() {
	for _, n := range sim.nodes {
		if got := n.state.Version(); !n.dead && got != uint64(len(sim.heads)) {
			sim.fail("node %s has version %d, the platform %d", n.vm.Address, got, len(sim.heads))
		}
	}
}

// countBehind returns the number of nodes whose version is below the given one.
func (sim *simulation) countBehind(version uint64) int {
	behind := 0
	for _, n := range sim.nodes {
		if n.state.Version() < version {
			behind++
		}
	}
	return behind
}

// rules returns a valid rules text that differs for each number.
func rules(number int) string {
	return fmt.Sprintf("availability_zone zone-0 region=r # x\norganisation o rate=%d/s burst=1 # x\n", number+1)
}

// requireNoFailure fails the test if an invariant was violated.
func (sim *simulation) requireNoFailure(t *testing.T) {
	t.Helper()
	if sim.failure != nil {
		t.Fatal(sim.failure)
	}
}
