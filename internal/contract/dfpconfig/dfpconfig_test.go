package dfpconfig_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/contract/dfpconfig"
)

// randomRun runs concurrent applies while nodes, links, watches and the platform fail at random. It then
// repairs everything except some nodes' paths to the platform, and expects the newest version to be in
// force at every node within 2 s.
func randomRun(t *rapid.T, disabled dfpconfig.Mechanism) error {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 3, disabled)
	zones := []string{"zone-0", "zone-1", "zone-2"}
	sim.loss = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "loss")
	sim.staleReads = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "stale")
	sim.watchSilent = rapid.Bool().Draw(t, "watch_silent")
	pick := func() *node { return sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")] }
	applies := 0
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		switch rapid.SampledFrom([]string{"apply", "apply", "platform", "path", "restart", "cut", "wait"}).Draw(t, "action") {
		case "apply":
			for range rapid.IntRange(1, 3).Draw(t, "operators") {
				applies++
				baseVersion := max(0, len(sim.heads)-rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind"))
				sim.apply(fmt.Sprintf("apply-%d", applies), rules(applies), uint64(baseVersion))
			}
		case "platform":
			sim.down = !sim.down
		case "path":
			n := pick()
			n.platformCut = !n.platformCut
		case "restart":
			if n := pick(); n.dead {
				sim.start(n)
			} else {
				n.dead = true
			}
		case "cut":
			a, b := rapid.SampledFrom(zones).Draw(t, "a"), rapid.SampledFrom(zones).Draw(t, "b")
			sim.cutZones(a, b, rapid.Bool().Draw(t, "is_cut"))
		}
		sim.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	}
	sim.down, sim.loss, sim.staleReads = false, 0, 0
	clear(sim.zonesCut)
	for i, n := range sim.nodes {
		n.platformCut = i%3 == 0 // Some paths stay cut.
		if n.dead {
			sim.start(n)
		}
	}
	sim.run(6 * time.Second) // Until all applies and delayed calls have ended.
	settled := len(sim.heads)
	sim.run(2 * time.Second)
	if settled == len(sim.heads) {
		sim.checkInForce()
	}
	sim.checkOutcomes()
	return sim.failure
}

func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := randomRun(t, ""); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRandomRunsDetectFaults checks that the random runs fail if a mechanism is disabled.
func TestRandomRunsDetectFaults(t *testing.T) {
	for _, tc := range []struct {
		disabled dfpconfig.Mechanism
		want     string
	}{
		{dfpconfig.Monotonic, "went from version"},
		{dfpconfig.Gossip, "the platform"},
		{dfpconfig.HistoryCheck, "was told refused, but is version"},
	} {
		t.Run(string(tc.disabled), func(t *testing.T) {
			draw := rapid.Custom(func(t *rapid.T) error { return randomRun(t, tc.disabled) })
			for seed := range 300 {
				if err := draw.Example(seed); err != nil {
					assert.ErrorContains(t, err, tc.want)
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no run failed although the mechanism was disabled")
		})
	}
}

// TestWithdrawal bounds the virtual time from the acceptance of a change until it is in force at
// every node, for working and silent watches and with some nodes' paths to the platform cut.
func TestWithdrawal(t *testing.T) {
	for _, tc := range []struct {
		name           string
		zones, perZone int
		watchSilent    bool
		cut            func(i int, n *node) bool
		disabled       dfpconfig.Mechanism
		limit          time.Duration
		isLate         bool
	}{
		{"all well", 4, 4, false, nil, "", 500 * time.Millisecond, false},
		{"watch silent", 4, 4, true, nil, "", 2 * time.Second, false},
		{"watch silent, 3 of 4 paths cut", 4, 4, true, func(i int, _ *node) bool { return i%4 != 1 }, "", 2 * time.Second, false},
		{"watch silent, two zones' paths cut", 4, 4, true, func(i int, _ *node) bool { return i < 8 }, "", 2 * time.Second, false},
		{"watch silent, all watchers' paths cut", 1, 4, true, func(_ int, n *node) bool { return n.state.IsWatcher() }, "", 2 * time.Second, false},
		{"a large zone, watch silent, half cut", 1, 127, true, func(i int, _ *node) bool { return i%2 == 0 }, "", 13 * time.Second, false},
		{"no gossip", 4, 4, true, func(i int, _ *node) bool { return i%4 != 1 }, dfpconfig.Gossip, 2 * time.Second, true},
		{"no substitutes", 1, 4, true, func(_ int, n *node) bool { return n.state.IsWatcher() }, dfpconfig.Substitute, 2 * time.Second, true},
		{"no poll", 4, 4, true, nil, dfpconfig.Poll, 2 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(20) {
				took := propagationTime(t, seed, tc.zones, tc.perZone, tc.watchSilent, tc.cut, tc.disabled, tc.limit+time.Second)
				worst = max(worst, took)
				if tc.perZone > 20 && seed == 2 {
					break
				}
			}
			t.Logf("worst %v", worst)
			assert.Equal(t, worst > tc.limit, tc.isLate, "worst %v, limit %v", worst, tc.limit)
		})
	}
}

// propagationTime returns how long a change takes to be in force at every node, or tooLong if it takes longer.
func propagationTime(t *testing.T, seed uint64, zones, perZone int, silent bool, cut func(int, *node) bool, disabled dfpconfig.Mechanism, tooLong time.Duration) time.Duration {
	t.Helper()
	sim := newSimulation(seed, zones, perZone, disabled)
	sim.apply("first", rules(1), 0)
	sim.run(6 * time.Second)
	sim.watchSilent = silent
	for i, n := range sim.nodes {
		n.platformCut = cut != nil && cut(i, n)
	}
	sim.run(5*time.Second + time.Duration(seed)*150*time.Millisecond) // The seeds cover all phases of the polls.
	sim.apply("second", rules(2), 1)
	for len(sim.heads) < 2 {
		sim.run(tick)
	}
	acceptedAt := sim.now
	for took := time.Duration(0); took < tooLong; took = sim.now.Sub(acceptedAt) {
		sim.run(tick)
		if sim.countBehind(2) == 0 {
			sim.requireNoFailure(t)
			return sim.now.Sub(acceptedAt)
		}
	}
	return tooLong
}

// TestWatchersUnanswered checks the time of a change if the platform answers no watcher from just before
// the change. The other nodes have to poll the platform soon enough to meet the bound on a change.
func TestWatchersUnanswered(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for _, tc := range []struct {
		name              string
		fallbackPollAfter time.Duration
		isLate            bool
	}{
		{"by default", 0, true},
		{"700 ms before the bound", bound - 700*time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(20) {
				sim := newSimulation(seed, 4, 4, "")
				sim.config = dfpconfig.Config{Watchers: 1, FallbackPollAfter: tc.fallbackPollAfter}
				for _, n := range sim.nodes {
					sim.start(n)
				}
				sim.apply("first", rules(1), 0)
				sim.run(6*time.Second + time.Duration(seed)*150*time.Millisecond)
				sim.watchSilent = true
				for _, n := range sim.nodes {
					n.platformCut = n.state.IsWatcher()
				}
				sim.apply("second", rules(2), 1)
				for len(sim.heads) < 2 {
					sim.run(tick)
				}
				acceptedAt := sim.now
				for sim.countBehind(2) > 0 && sim.now.Sub(acceptedAt) < 2*bound {
					sim.run(tick)
				}
				sim.requireNoFailure(t)
				worst = max(worst, sim.now.Sub(acceptedAt))
			}
			assert.Equal(t, worst > bound, tc.isLate, "worst %v", worst)
		})
	}
}

// TestOutage checks that new nodes get the rules from peers during an outage, that rules become stale, and
// that the number of reads of the platform stays bounded.
func TestOutage(t *testing.T) {
	sim := newSimulation(1, 2, 30, "")
	sim.apply("first", rules(1), 0)
	sim.run(20 * time.Second)
	for _, n := range sim.nodes {
		assert.Assert(t, !n.state.Stale(sim.now), n.vm.Address)
	}
	steady := sim.headReads
	sim.run(10 * time.Second)
	assert.Assert(t, sim.headReads-steady <= 2*2*14, "%d reads in 10 s by 60 nodes", sim.headReads-steady)
	sim.down = true
	sim.run(12 * time.Second)
	for _, n := range sim.nodes {
		assert.Assert(t, n.state.Stale(sim.now), n.vm.Address)
	}
	sim.start(sim.nodes[3])
	sim.run(2 * time.Second)
	assert.Equal(t, sim.nodes[3].state.Version(), uint64(1))
	assert.Assert(t, sim.nodes[3].state.Stale(sim.now))
	before := sim.headReads
	sim.run(10 * time.Second)
	assert.Assert(t, sim.headReads-before <= 2*25*10, "%d reads in 10 s of an outage", sim.headReads-before)
	sim.down = false
	sim.run(6 * time.Second)
	for _, n := range sim.nodes {
		assert.Assert(t, !n.state.Stale(sim.now), n.vm.Address)
	}
}

// TestAgeCountsFromQuery checks that the age in a delayed report counts from when the query was sent, so that
// the delay does not make the rules look fresh.
func TestAgeCountsFromQuery(t *testing.T) {
	for _, disabled := range []dfpconfig.Mechanism{"", dfpconfig.AgeFromQuery} {
		sim := newSimulation(1, 1, 2, disabled)
		sim.apply("first", rules(1), 0)
		sim.run(3 * time.Second)
		a, b := sim.nodes[0], sim.nodes[1]
		var query dfpconfig.Send
		for query.Message == nil {
			sim.now = sim.now.Add(tick)
			for _, s := range a.state.Tick(sim.now, sim.rng).Send {
				query = s
			}
		}
		report := b.state.Receive(sim.now, sim.rng, a.vm.Address, query.Message).Send[0].Message
		sim.now = sim.now.Add(9 * time.Second)
		a.state.Receive(sim.now, sim.rng, b.vm.Address, report)
		freshAt, _ := a.state.FreshAt()
		assert.Equal(t, sim.now.Sub(freshAt) < 9*time.Second, disabled != "", "disabled mechanism: %q", disabled)
	}
}

func TestApplierOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(sim *simulation)
		want map[string]dfpconfig.Outcome
	}{
		{"first", func(sim *simulation) { sim.apply("a", rules(1), 0) }, map[string]dfpconfig.Outcome{"a": dfpconfig.Accepted}},
		{"race", func(sim *simulation) {
			sim.apply("a", rules(1), 0)
			sim.run(500 * time.Millisecond)
			sim.apply("b", rules(2), 0)
		}, map[string]dfpconfig.Outcome{"a": dfpconfig.Accepted, "b": dfpconfig.Refused}},
		{"base version too high", func(sim *simulation) { sim.apply("a", rules(1), 7) }, map[string]dfpconfig.Outcome{"a": dfpconfig.Refused}},
		{"outage before", func(sim *simulation) { sim.down = true; sim.apply("a", rules(1), 0) }, map[string]dfpconfig.Outcome{"a": dfpconfig.Refused}},
	} {
		sim := newSimulation(1, 1, 1, "")
		tc.run(sim)
		sim.run(10 * time.Second)
		sim.checkOutcomes()
		sim.requireNoFailure(t)
		for id, want := range tc.want {
			assert.Equal(t, sim.outcomes[id].Outcome, want, "%s: %s", tc.name, id)
		}
	}
}

// TestApplierLostAnswer loses the answer to the swap, and others apply before the operator
// sends it again. The outcome is correct as long as the history reaches back, and unknown otherwise.
func TestApplierLostAnswer(t *testing.T) {
	for _, tc := range []struct {
		name       string
		tookEffect bool
		others     int
		want       dfpconfig.Outcome
	}{
		{"took effect", true, 0, dfpconfig.Accepted},
		{"took effect, overwritten since", true, 5, dfpconfig.Accepted},
		{"took no effect, another's since", false, 1, dfpconfig.Refused},
		{"history too short", true, 40, dfpconfig.Unknown},
	} {
		sim := newSimulation(1, 1, 1, "")
		a := dfpconfig.NewApplier(dfpconfig.ApplyConfig{Text: []byte(rules(0)), ApplyID: "mine", Timeout: time.Hour})
		a.Start(sim.now)
		a.Next(sim.now, &dfpconfig.HeadRead{})
		swap := a.Next(sim.now, &dfpconfig.TextWritten{}).(*dfpconfig.SwapHead)
		if tc.tookEffect {
			sim.swap(swap.Expected, swap.Head)
		}
		for i := range tc.others {
			sim.apply(fmt.Sprint("other-", i), rules(i), uint64(len(sim.heads)))
			sim.run(time.Second)
		}
		again := a.Next(sim.now, &dfpconfig.Failed{Err: errNoAnswer}).(*dfpconfig.SwapHead)
		swapped := sim.swap(again.Expected, again.Head)
		head, revision := sim.head()
		end := a.Next(sim.now, &dfpconfig.HeadSwapped{Swapped: swapped, Head: head, Revision: revision})
		assert.Equal(t, end.(*dfpconfig.Finish).Result.Outcome, tc.want, tc.name)
	}
}

func TestDecodeErrors(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"empty", ""}, {"text", "hello"}, {"empty map", "\xa0"}, {"large", strings.Repeat("x", 20_000)},
	} {
		_, err := dfpconfig.DecodeHead([]byte(tc.text))
		assert.ErrorIs(t, err, dfpconfig.ErrHead, tc.name)
		_, err = dfpconfig.DecodeMessage([]byte(tc.text))
		assert.ErrorIs(t, err, dfpconfig.ErrMessage, tc.name)
	}
}

// TestPeerUpdates checks the handling of updates that are invalid or out of order.
func TestPeerUpdates(t *testing.T) {
	sim := newSimulation(1, 1, 1, "")
	for i := range 3 {
		sim.apply(fmt.Sprint("a", i), rules(i), uint64(i))
		sim.run(time.Second)
	}
	n := dfpconfig.New(dfpconfig.Config{Self: "x", Zone: "zone-0"})
	receive := func(head *dfpconfig.Head, text string) dfpconfig.Effects {
		u := &dfpconfig.Update{Head: *head}
		if text != "" {
			u.Text = []byte(text)
		}
		return n.Receive(sim.now, sim.rng, "y", u)
	}
	assert.ErrorIs(t, receive(sim.heads[1], rules(0)).Err, dfpconfig.ErrTextMismatch)
	assert.Equal(t, n.Version(), uint64(0))
	e := receive(sim.heads[1], "")
	assert.DeepEqual(t, e.Send[0].Message, &dfpconfig.Pull{})
	assert.Equal(t, receive(sim.heads[1], rules(1)).Install.Head.Version, uint64(2))
	assert.Assert(t, receive(sim.heads[0], rules(0)).Install == nil)
	forked := roundTrip(sim.heads[1])
	forked.ApplyID = "z"
	assert.ErrorIs(t, receive(forked, rules(1)).Err, dfpconfig.ErrForked)
	assert.Equal(t, string(receive(sim.heads[2], "").Install.Text), rules(2))
}
