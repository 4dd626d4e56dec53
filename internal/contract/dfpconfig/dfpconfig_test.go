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

// randomRun lets operators race while nodes, links, watches and the platform fail, then
// mends everything and expects the newest version in force everywhere within 2 s.
func randomRun(t *rapid.T, off dfpconfig.Mechanism) error {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 3, off)
	zones := []string{"zone-0", "zone-1", "zone-2"}
	w.loss = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "loss")
	w.stale = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "stale")
	w.watchSilent = rapid.Bool().Draw(t, "watch_silent")
	pick := func() *node { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")] }
	applies := 0
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		switch rapid.SampledFrom([]string{"apply", "apply", "platform", "path", "restart", "cut", "wait"}).Draw(t, "action") {
		case "apply":
			for range rapid.IntRange(1, 3).Draw(t, "operators") {
				applies++
				seen := max(0, len(w.heads)-rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind"))
				w.apply(fmt.Sprintf("apply-%d", applies), rules(applies), uint64(seen))
			}
		case "platform":
			w.down = !w.down
		case "path":
			n := pick()
			n.platformCut = !n.platformCut
		case "restart":
			if n := pick(); n.dead {
				w.start(n)
			} else {
				n.dead = true
			}
		case "cut":
			a, b := rapid.SampledFrom(zones).Draw(t, "a"), rapid.SampledFrom(zones).Draw(t, "b")
			w.cutZones(a, b, rapid.Bool().Draw(t, "is_cut"))
		}
		w.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	}
	w.down, w.loss, w.stale = false, 0, 0
	clear(w.zonesCut)
	for i, n := range w.nodes {
		n.platformCut = i%3 == 0 // Some paths stay cut.
		if n.dead {
			w.start(n)
		}
	}
	w.run(6 * time.Second) // The operators and late calls come to an end.
	settled := len(w.heads)
	w.run(2 * time.Second)
	if settled == len(w.heads) {
		w.checkInForce()
	}
	w.checkVerdicts()
	return w.broken
}

func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := randomRun(t, ""); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRandomRunsNotice shows that the runs find a fault once a mechanism is off.
func TestRandomRunsNotice(t *testing.T) {
	for _, tc := range []struct {
		off  dfpconfig.Mechanism
		want string
	}{
		{dfpconfig.Forward, "went from version"},
		{dfpconfig.Spread, "the platform"},
		{dfpconfig.Settle, "was told refused, but is version"},
	} {
		t.Run(string(tc.off), func(t *testing.T) {
			draw := rapid.Custom(func(t *rapid.T) error { return randomRun(t, tc.off) })
			for seed := range 300 {
				if err := draw.Example(seed); err != nil {
					assert.ErrorContains(t, err, tc.want)
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no run found the fault")
		})
	}
}

// TestWithdrawal measures the virtual time from an accepted change to its being in force at
// every node, with the watch alive or silent and some nodes' paths to the platform cut.
func TestWithdrawal(t *testing.T) {
	for _, tc := range []struct {
		name           string
		zones, perZone int
		watchSilent    bool
		cut            func(i int, n *node) bool
		off            dfpconfig.Mechanism
		limit          time.Duration
		isLate         bool
	}{
		{"all well", 4, 4, false, nil, "", 500 * time.Millisecond, false},
		{"watch silent", 4, 4, true, nil, "", 2 * time.Second, false},
		{"watch silent, 3 of 4 paths cut", 4, 4, true, func(i int, _ *node) bool { return i%4 != 1 }, "", 2 * time.Second, false},
		{"watch silent, two zones' paths cut", 4, 4, true, func(i int, _ *node) bool { return i < 8 }, "", 2 * time.Second, false},
		{"watch silent, all watchers' paths cut", 1, 4, true, func(_ int, n *node) bool { return n.state.IsWatcher() }, "", 2 * time.Second, false},
		{"a large zone, watch silent, half cut", 1, 127, true, func(i int, _ *node) bool { return i%2 == 0 }, "", 13 * time.Second, false},
		{"no spread", 4, 4, true, func(i int, _ *node) bool { return i%4 != 1 }, dfpconfig.Spread, 2 * time.Second, true},
		{"no substitutes", 1, 4, true, func(_ int, n *node) bool { return n.state.IsWatcher() }, dfpconfig.Substitute, 2 * time.Second, true},
		{"no poll", 4, 4, true, nil, dfpconfig.Poll, 2 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(20) {
				took := spreadTime(t, seed, tc.zones, tc.perZone, tc.watchSilent, tc.cut, tc.off, tc.limit+time.Second)
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

// spreadTime returns how long a change takes to be in force everywhere; tooLong if it takes longer.
func spreadTime(t *testing.T, seed uint64, zones, perZone int, silent bool, cut func(int, *node) bool, off dfpconfig.Mechanism, tooLong time.Duration) time.Duration {
	t.Helper()
	w := newWorld(seed, zones, perZone, off)
	w.apply("first", rules(1), 0)
	w.run(6 * time.Second)
	w.watchSilent = silent
	for i, n := range w.nodes {
		n.platformCut = cut != nil && cut(i, n)
	}
	w.run(5*time.Second + time.Duration(seed)*150*time.Millisecond) // At all phases of the reads.
	w.apply("second", rules(2), 1)
	for len(w.heads) < 2 {
		w.run(tick)
	}
	accepted := w.now
	for took := time.Duration(0); took < tooLong; took = w.now.Sub(accepted) {
		w.run(tick)
		if w.behind(2) == 0 {
			w.mustHold(t)
			return w.now.Sub(accepted)
		}
	}
	return tooLong
}

// TestReadersTurnedAway lets the platform turn the reader of each zone away at the moment of a change: the
// others must not wait for them for longer than a change may take.
func TestReadersTurnedAway(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for _, tc := range []struct {
		name          string
		lonePollAfter time.Duration
		isLate        bool
	}{
		{"by default", 0, true},
		{"700 ms before the bound", bound - 700*time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(20) {
				w := newWorld(seed, 4, 4, "")
				w.config = dfpconfig.Config{Watchers: 1, FallbackPollAfter: tc.lonePollAfter}
				for _, n := range w.nodes {
					w.start(n)
				}
				w.apply("first", rules(1), 0)
				w.run(6*time.Second + time.Duration(seed)*150*time.Millisecond)
				w.watchSilent = true
				for _, n := range w.nodes {
					n.platformCut = n.state.IsWatcher()
				}
				w.apply("second", rules(2), 1)
				for len(w.heads) < 2 {
					w.run(tick)
				}
				accepted := w.now
				for w.behind(2) > 0 && w.now.Sub(accepted) < 2*bound {
					w.run(tick)
				}
				w.mustHold(t)
				worst = max(worst, w.now.Sub(accepted))
			}
			assert.Equal(t, worst > bound, tc.isLate, "worst %v", worst)
		})
	}
}

// TestOutage checks that new nodes start from peers, that knowledge grows stale, and
// that the platform's load in an outage and at its end stays bounded.
func TestOutage(t *testing.T) {
	w := newWorld(1, 2, 30, "")
	w.apply("first", rules(1), 0)
	w.run(20 * time.Second)
	for _, n := range w.nodes {
		assert.Assert(t, !n.state.Stale(w.now), n.vm.Address)
	}
	steady := w.headReads
	w.run(10 * time.Second)
	assert.Assert(t, w.headReads-steady <= 2*2*14, "%d reads in 10 s by 60 nodes", w.headReads-steady)
	w.down = true
	w.run(12 * time.Second)
	for _, n := range w.nodes {
		assert.Assert(t, n.state.Stale(w.now), n.vm.Address)
	}
	w.start(w.nodes[3])
	w.run(2 * time.Second)
	assert.Equal(t, w.nodes[3].state.Version(), uint64(1))
	assert.Assert(t, w.nodes[3].state.Stale(w.now))
	before := w.headReads
	w.run(10 * time.Second)
	assert.Assert(t, w.headReads-before <= 2*25*10, "%d reads in 10 s of an outage", w.headReads-before)
	w.down = false
	w.run(6 * time.Second)
	for _, n := range w.nodes {
		assert.Assert(t, !n.state.Stale(w.now), n.vm.Address)
	}
}

// TestAgeCountsFromAsk checks that an answer held up on a silent link makes nothing fresh.
func TestAgeCountsFromAsk(t *testing.T) {
	for _, off := range []dfpconfig.Mechanism{"", dfpconfig.AgeFromAsk} {
		w := newWorld(1, 1, 2, off)
		w.apply("first", rules(1), 0)
		w.run(3 * time.Second)
		a, b := w.nodes[0], w.nodes[1]
		var ask dfpconfig.Send
		for ask.Message == nil {
			w.now = w.now.Add(tick)
			for _, s := range a.state.Tick(w.now, w.rng).Send {
				ask = s
			}
		}
		told := b.state.Receive(w.now, w.rng, a.vm.Address, ask.Message).Send[0].Message
		w.now = w.now.Add(9 * time.Second)
		a.state.Receive(w.now, w.rng, b.vm.Address, told)
		fresh, _ := a.state.FreshAt()
		assert.Equal(t, w.now.Sub(fresh) < 9*time.Second, off != "", "mechanism off: %q", off)
	}
}

func TestApplierVerdicts(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(w *world)
		want map[string]dfpconfig.Outcome
	}{
		{"first", func(w *world) { w.apply("a", rules(1), 0) }, map[string]dfpconfig.Outcome{"a": dfpconfig.Accepted}},
		{"race", func(w *world) { w.apply("a", rules(1), 0); w.run(500 * time.Millisecond); w.apply("b", rules(2), 0) },
			map[string]dfpconfig.Outcome{"a": dfpconfig.Accepted, "b": dfpconfig.Refused}},
		{"seen too high", func(w *world) { w.apply("a", rules(1), 7) }, map[string]dfpconfig.Outcome{"a": dfpconfig.Refused}},
		{"outage before", func(w *world) { w.down = true; w.apply("a", rules(1), 0) }, map[string]dfpconfig.Outcome{"a": dfpconfig.Refused}},
	} {
		w := newWorld(1, 1, 1, "")
		tc.run(w)
		w.run(10 * time.Second)
		w.checkVerdicts()
		w.mustHold(t)
		for id, want := range tc.want {
			assert.Equal(t, w.verdicts[id].Outcome, want, "%s: %s", tc.name, id)
		}
	}
}

// TestApplierLostAnswer loses the answer of the swap and lets others apply before the
// operator's read back: the verdict is right while the history reaches back, else unknown.
func TestApplierLostAnswer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		took   bool
		others int
		want   dfpconfig.Outcome
	}{
		{"took effect", true, 0, dfpconfig.Accepted},
		{"took effect, overwritten since", true, 5, dfpconfig.Accepted},
		{"took no effect, another's since", false, 1, dfpconfig.Refused},
		{"history too short", true, 40, dfpconfig.Unknown},
	} {
		w := newWorld(1, 1, 1, "")
		a := dfpconfig.NewApplier(dfpconfig.ApplyConfig{Text: []byte(rules(0)), ApplyID: "mine", Timeout: time.Hour})
		a.Start(w.now)
		a.Next(w.now, &dfpconfig.HeadRead{})
		swap := a.Next(w.now, &dfpconfig.TextWritten{}).(*dfpconfig.SwapHead)
		if tc.took {
			w.swap(swap.Expected, swap.Head)
		}
		for i := range tc.others {
			w.apply(fmt.Sprint("other-", i), rules(i), uint64(len(w.heads)))
			w.run(time.Second)
		}
		again := a.Next(w.now, &dfpconfig.Failed{Err: errNoAnswer}).(*dfpconfig.SwapHead)
		swapped := w.swap(again.Expected, again.Head)
		head, revision := w.head()
		end := a.Next(w.now, &dfpconfig.HeadSwapped{Swapped: swapped, Head: head, Revision: revision})
		assert.Equal(t, end.(*dfpconfig.Finish).Result.Outcome, tc.want, tc.name)
	}
}

func TestDecodeFaults(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"empty", ""}, {"text", "hello"}, {"empty map", "\xa0"}, {"large", strings.Repeat("x", 20_000)},
	} {
		_, err := dfpconfig.DecodeHead([]byte(tc.text))
		assert.ErrorIs(t, err, dfpconfig.ErrHead, tc.name)
		_, err = dfpconfig.DecodeMessage([]byte(tc.text))
		assert.ErrorIs(t, err, dfpconfig.ErrMessage, tc.name)
	}
}

// TestPeerUpdates feeds a node updates that are wrong or in the wrong order.
func TestPeerUpdates(t *testing.T) {
	w := newWorld(1, 1, 1, "")
	for i := range 3 {
		w.apply(fmt.Sprint("a", i), rules(i), uint64(i))
		w.run(time.Second)
	}
	n := dfpconfig.New(dfpconfig.Config{Self: "x", Zone: "zone-0"})
	receive := func(head *dfpconfig.Head, text string) dfpconfig.Effects {
		u := &dfpconfig.Update{Head: *head}
		if text != "" {
			u.Text = []byte(text)
		}
		return n.Receive(w.now, w.rng, "y", u)
	}
	assert.ErrorIs(t, receive(w.heads[1], rules(0)).Err, dfpconfig.ErrTextMismatch)
	assert.Equal(t, n.Version(), uint64(0))
	e := receive(w.heads[1], "")
	assert.DeepEqual(t, e.Send[0].Message, &dfpconfig.Pull{})
	assert.Equal(t, receive(w.heads[1], rules(1)).Install.Head.Version, uint64(2))
	assert.Assert(t, receive(w.heads[0], rules(0)).Install == nil)
	forked := decoded(w.heads[1])
	forked.ApplyID = "z"
	assert.ErrorIs(t, receive(forked, rules(1)).Err, dfpconfig.ErrForked)
	assert.Equal(t, string(receive(w.heads[2], "").Install.Text), rules(2))
}
