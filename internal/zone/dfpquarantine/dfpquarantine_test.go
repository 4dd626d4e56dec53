package dfpquarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/zone/dfpquarantine"
)

var epoch = time.Unix(1000, 0)

// TestFingerprint checks which requests count as the same.
func TestFingerprint(t *testing.T) {
	base := dfpcall.Request{Service: "one", Organisation: "a", Host: "h", Method: "GET", Path: "/x?y=1", Body: []byte("b")}
	for _, tc := range []struct {
		name   string
		change func(*dfpcall.Request)
		same   bool
	}{
		{"another attempt from another VM", func(r *dfpcall.Request) { r.CallerID, r.CallerService, r.ID.Counter = "i", "s", 7 }, true},
		{"another service of a split route", func(r *dfpcall.Request) { r.Service = "two" }, true},
		{"another organisation", func(r *dfpcall.Request) { r.Organisation = "b" }, false},
		{"another host", func(r *dfpcall.Request) { r.Host = "i" }, false},
		{"another method", func(r *dfpcall.Request) { r.Method = "PUT" }, false},
		{"another query", func(r *dfpcall.Request) { r.Path = "/x?y=2" }, false},
		{"another body", func(r *dfpcall.Request) { r.Body = []byte("c") }, false},
		{"the boundary between two parts moved", func(r *dfpcall.Request) { r.Organisation, r.Method = "aG", "ET" }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			changed := base
			tc.change(&changed)
			assert.Equal(t, dfpquarantine.FingerprintOf(&changed) == dfpquarantine.FingerprintOf(&base), tc.same)
		})
	}
	nested, other := base, base
	nested.Depth, other.Depth, other.Service = 1, 1, "two"
	assert.Assert(t, dfpquarantine.FingerprintOf(&nested) != dfpquarantine.FingerprintOf(&other), "nested calls of two services")
}

// TestWatch checks which requests are suspected after a crash.
func TestWatch(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name string
		do   func(w *dfpquarantine.Watch)
		want []dfpquarantine.Fingerprint
	}{
		{"idle", func(*dfpquarantine.Watch) {}, nil},
		{"in progress", func(w *dfpquarantine.Watch) { w.Start("i-1", 2, 20) }, []dfpquarantine.Fingerprint{10, 20}},
		{"answered", func(w *dfpquarantine.Watch) { w.Finish(at(900), 1, dfpquarantine.EndedAnswered) }, nil},
		{"broken off by the crash", func(w *dfpquarantine.Watch) { w.Finish(at(990), 1, dfpquarantine.EndedUnanswered) }, []dfpquarantine.Fingerprint{10}},
		{"not sent", func(w *dfpquarantine.Watch) { w.Finish(at(990), 1, dfpquarantine.EndedUnsent) }, nil},
		{"broken off before an answer", func(w *dfpquarantine.Watch) {
			w.Finish(at(500), 1, dfpquarantine.EndedUnanswered)
			w.Start("i-1", 2, 20)
			w.Finish(at(900), 2, dfpquarantine.EndedAnswered)
		}, nil},
		{"an answer that is seen just after the crash", func(w *dfpquarantine.Watch) {
			w.Start("i-1", 2, 20)
			w.Finish(at(980), 1, dfpquarantine.EndedUnanswered)
			w.Finish(at(990), 2, dfpquarantine.EndedAnswered)
		}, []dfpquarantine.Fingerprint{10}},
		{"broken off long ago", func(w *dfpquarantine.Watch) { w.Finish(at(-60_000), 1, dfpquarantine.EndedUnanswered) }, nil},
		{"in progress, and answered before by the same instance", func(w *dfpquarantine.Watch) {
			w.Start("i-1", 2, 10)
			w.Finish(at(100), 2, dfpquarantine.EndedAnswered)
		}, nil},
		{"in progress, and refused before", func(w *dfpquarantine.Watch) {
			w.Start("i-1", 2, 10)
			w.Finish(at(100), 2, dfpquarantine.EndedRefused)
		}, []dfpquarantine.Fingerprint{10}},
		{"twice in progress", func(w *dfpquarantine.Watch) { w.Start("i-1", 2, 10) }, []dfpquarantine.Fingerprint{10}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var w dfpquarantine.Watch
			w.Replace(epoch, "i-1")
			if tc.name != "idle" {
				w.Start("i-1", 1, 10)
			}
			tc.do(&w)
			got := w.Crashed(at(1000), "i-1")
			slices.Sort(got)
			assert.DeepEqual(t, got, tc.want)
			assert.Equal(t, len(w.Crashed(at(1010), "i-1")), 0, "the next crash has suspects of its own")
		})
	}
}

// TestWatchOfNextInstance guards against blaming the requests on an instance for the end of the one before it,
// which a request that was still meant for that one may show late.
func TestWatchOfNextInstance(t *testing.T) {
	var w dfpquarantine.Watch
	assert.Equal(t, len(w.Replace(epoch, "i-1")), 0)
	w.Start("i-1", 1, 10)
	assert.DeepEqual(t, w.Replace(epoch, "i-2"), []dfpquarantine.Fingerprint{10})
	w.Start("i-2", 2, 20)
	w.Start("i-1", 3, 30)
	assert.Equal(t, len(w.Crashed(epoch, "i-1")), 0)
	assert.Equal(t, len(w.Replace(epoch, "i-2")), 0, "announced again")
	assert.DeepEqual(t, w.Crashed(epoch, "i-2"), []dfpquarantine.Fingerprint{20})
}

// TestQuarantine checks when a request is quarantined, and until when.
func TestQuarantine(t *testing.T) {
	const culprit, victim = dfpquarantine.Fingerprint(1), dfpquarantine.Fingerprint(2)
	var r dfpquarantine.Registry
	blocked := func(after time.Duration, f dfpquarantine.Fingerprint) bool {
		_, blocked := r.Blocked(epoch.Add(after), f)
		return blocked
	}
	for i := range dfpquarantine.MaxCrashes {
		assert.Assert(t, !blocked(time.Second, culprit))
		if i == 2 { // The victim is answered between the second and the third crash.
			msg, changed := r.RecordAnswer(epoch, victim)
			assert.Assert(t, changed && len(msg.Records) == 1)
		}
		r.RecordCrash(epoch, fmt.Sprint("i-", i), []dfpquarantine.Fingerprint{culprit, victim})
	}
	assert.Assert(t, blocked(time.Second, culprit))
	assert.Assert(t, !blocked(time.Second, victim))
	left, _ := r.Blocked(epoch.Add(time.Second), culprit)
	assert.Equal(t, left, dfpquarantine.QuarantineTime-time.Second)
	assert.Assert(t, !blocked(dfpquarantine.QuarantineTime, culprit), "a trial after the quarantine")
	r.RecordCrash(epoch.Add(dfpquarantine.QuarantineTime), "i-9", []dfpquarantine.Fingerprint{culprit})
	assert.Assert(t, blocked(dfpquarantine.QuarantineTime+time.Second, culprit), "one more crash is enough")
	_, changed := r.RecordAnswer(epoch.Add(2*dfpquarantine.QuarantineTime), culprit)
	assert.Assert(t, changed && !blocked(dfpquarantine.QuarantineTime+time.Second, culprit))
}

// TestSeldomCrashesAreCounted guards against a request that comes so seldom that its crashes are forgotten, also
// when many other requests are suspected meanwhile.
func TestSeldomCrashesAreCounted(t *testing.T) {
	const culprit = dfpquarantine.Fingerprint(1)
	var r dfpquarantine.Registry
	now := epoch
	others := dfpquarantine.Fingerprint(100)
	for i := range dfpquarantine.MaxCrashes {
		r.RecordCrash(now, fmt.Sprint("i-", i), []dfpquarantine.Fingerprint{culprit})
		for crash := range 10 {
			now = now.Add(time.Minute)
			suspects := make([]dfpquarantine.Fingerprint, 100)
			for k := range suspects {
				others++
				suspects[k] = others
			}
			r.RecordCrash(now, fmt.Sprint("other-", i, crash), suspects)
			r.Summary(now)
		}
	}
	_, blocked := r.Blocked(now.Add(-5*time.Minute), culprit)
	assert.Assert(t, blocked)
	for range 200 { // Room is made for new ones, and the quarantined one stays.
		suspects := make([]dfpquarantine.Fingerprint, 100)
		for k := range suspects {
			others++
			suspects[k] = others
		}
		msg := r.RecordCrash(now, fmt.Sprint("more-", others), suspects)
		assert.Equal(t, len(msg.Records), len(suspects))
	}
	_, blocked = r.Blocked(now.Add(-5*time.Minute), culprit)
	assert.Assert(t, blocked)
}

// TestManySuspects guards against a culprit that is left out because a large backend server was running many
// requests, and against messages that are too long for a frame of a link.
func TestManySuspects(t *testing.T) {
	const requests, maxElements = 1000, 4096
	suspects := make([]dfpquarantine.Fingerprint, requests)
	for i := range suspects {
		suspects[i] = dfpquarantine.Fingerprint(i + 1)
	}
	var r dfpquarantine.Registry
	for i := range dfpquarantine.MaxCrashes {
		assert.Equal(t, len(r.RecordCrash(epoch, fmt.Sprint("i-", i), suspects).Records), requests)
	}
	_, blocked := r.Blocked(epoch, requests)
	assert.Assert(t, blocked)
	for i := range requests {
		for j := range 5 {
			r.RecordCrash(epoch, fmt.Sprint("other-", i%2), []dfpquarantine.Fingerprint{dfpquarantine.Fingerprint(10_000 + 5*i + j)})
			r.RecordCrash(epoch, fmt.Sprint("another-", i%2), []dfpquarantine.Fingerprint{dfpquarantine.Fingerprint(10_000 + 5*i + j)})
		}
	}
	msg, some := r.Summary(epoch)
	assert.Assert(t, some && len(msg.Records) <= maxElements, "%d records", len(msg.Records))
}

// TestRegistriesConverge guards against a node that does not learn of a quarantine: whatever messages are lost,
// repeated or reordered, summaries bring all registries to the same verdict, and age does not grow or shrink
// by their number.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := make([]dfpquarantine.Registry, 4)
		var sent []dfpquarantine.Message
		node := func(name string) *dfpquarantine.Registry {
			return &registries[rapid.IntRange(0, len(registries)-1).Draw(t, name)]
		}
		now := epoch
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			f := dfpquarantine.Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))
			switch rapid.SampledFrom([]string{"crash", "answer", "deliver", "deliver"}).Draw(t, "step") {
			case "crash":
				sent = append(sent, node("at").RecordCrash(now, fmt.Sprint(i), []dfpquarantine.Fingerprint{f}))
			case "answer":
				if msg, changed := node("at").RecordAnswer(now, f); changed {
					sent = append(sent, msg)
				}
			case "deliver":
				if len(sent) > 0 {
					node("to").Merge(now, rapid.SampledFrom(sent).Draw(t, "message"))
				}
			}
		}
		for range 2 {
			for from := range registries {
				for to := range registries {
					for _, msg := range sent {
						registries[to].Merge(now, msg)
					}
					if msg, some := registries[from].Summary(now); some {
						registries[to].Merge(now, msg)
					}
				}
			}
		}
		for f := dfpquarantine.Fingerprint(1); f <= 3; f++ {
			_, first := registries[0].Blocked(now, f)
			for i := range registries {
				if _, blocked := registries[i].Blocked(now, f); blocked != first {
					t.Fatalf("request %d: node 0 says %v, node %d %v", f, first, i, blocked)
				}
			}
		}
	})
}
