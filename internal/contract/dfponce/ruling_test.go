package dfponce_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// TestRepeats has one attempt end in each way and repeats its key from another node.
func TestRepeats(t *testing.T) {
	const first, second = "10.0.0.0:9000", "10.0.0.1:9000"
	answer := &dfpcall.Answer{Status: 201, Body: []byte("booked")}
	uuid := func(at time.Time) string { // Version 7.
		ms := fmt.Sprintf("%012x", at.UnixMilli())
		return "z." + ms[:8] + "-" + ms[8:] + "-7000-8000-000000000001"
	}
	epoch := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		name    string
		key     string
		outcome dfpcall.Outcome // Of the first attempt; nil while it runs.
		other   bool            // The repeat asks for something else.
		after   time.Duration
		want    dfpcall.Outcome // nil runs.
	}{
		{name: "ran", outcome: answer, want: answer},
		{name: "ran with a long answer", outcome: &dfpcall.Answer{Body: make([]byte, dfponce.DefaultMaxAnswerBody+1)},
			want: &dfpcall.Unknown{Reason: dfpcall.ReasonAnswerNotKept}},
		{name: "not run", outcome: &dfpcall.NotRun{}},
		{name: "unknown", outcome: &dfpcall.Unknown{}, want: &dfpcall.Unknown{Reason: dfpcall.ReasonRepeatUnknown}},
		{name: "running", want: &dfpcall.NotRun{Reason: dfpcall.ReasonRepeat, RetryAfter: dfponce.DefaultVoteTimeout}},
		{name: "running for too long", after: 2 * dfponce.DefaultRunTimeout,
			want: &dfpcall.Unknown{Reason: dfpcall.ReasonRepeatUnknown}},
		{name: "another request", outcome: answer, other: true, want: &dfpcall.NotRun{Reason: dfpcall.ReasonKeyReused}},
		{name: "another request after one that did not run", outcome: &dfpcall.NotRun{}, other: true,
			want: &dfpcall.NotRun{Reason: dfpcall.ReasonKeyReused}},
		{name: "kept until the retention ends", outcome: answer, after: dfponce.DefaultClaimRetention - time.Second, want: answer},
		{name: "expired, with no time in the key", outcome: answer, after: dfponce.DefaultClaimRetention + time.Second},
		{name: "expired, with the time in the key", key: uuid(epoch), outcome: answer, after: dfponce.DefaultClaimRetention + time.Second,
			want: &dfpcall.NotRun{Reason: dfpcall.ReasonKeyTooOld}},
	} {
		l := newLoop(t, 5, dfponce.Config{})
		key := tc.key
		if key == "" {
			key = "z.1"
		}
		call := dfponce.ClaimRequest{Organisation: "waldspiel", Key: key, Zone: "z", Fingerprint: 1}
		call.Attempt = dfpcall.RequestID{Incarnation: 1, Counter: 1}
		decided := l.carry(first, l.nodes[first].Begin(l.now, call))
		assert.Assert(t, len(decided) == 1 && decided[0].Run, tc.name)
		if tc.outcome != nil {
			l.carry(first, l.nodes[first].Finish(l.now, call.Attempt, tc.outcome))
		}
		l.now = l.now.Add(tc.after)
		call.Attempt = dfpcall.RequestID{Incarnation: 2, Counter: 1}
		if tc.other {
			call.Fingerprint = 2
		}
		decided = l.carry(second, l.nodes[second].Begin(l.now, call))
		assert.Equal(t, len(decided), 1, tc.name)
		assert.Equal(t, decided[0].Run, tc.want == nil, tc.name)
		if tc.want != nil {
			assert.DeepEqual(t, decided[0].Outcome, tc.want)
		}
		// Another organisation's key is another key.
		call.Organisation, call.Attempt.Counter = "nordlicht", 2
		if tc.key == "" {
			decided = l.carry(second, l.nodes[second].Begin(l.now, call))
			assert.Assert(t, len(decided) == 1 && decided[0].Run, tc.name)
		}
	}
}

// TestRefusals begins attempts where they can't be granted.
func TestRefusals(t *testing.T) {
	const entry = "10.0.0.0:9000"
	for _, tc := range []struct {
		name   string
		config dfponce.Config
		zone   string
		down   int // Members of the zone's three nodes that are silent.
		stop   bool
		claims uint64
		want   dfpcall.Reason // Empty runs.
	}{
		{name: "one silent member", zone: "z", down: 1},
		{name: "two silent members", zone: "z", down: 2, want: dfpcall.ReasonClaimUnreachable},
		{name: "home zone unknown", zone: "y", want: dfpcall.ReasonClaimUnreachable},
		{name: "stopping", zone: "z", stop: true, want: dfpcall.ReasonDraining},
		{name: "full", zone: "z", config: dfponce.Config{MaxClaims: 10}, claims: 10, want: dfpcall.ReasonClaimsFull},
		{name: "too many attempts", zone: "z", config: dfponce.Config{MaxAttempts: 1}, down: 2, claims: 1, want: dfpcall.ReasonEntryFull},
	} {
		l := newLoop(t, 3, tc.config)
		c := l.nodes[entry]
		for i := range tc.claims {
			fx := c.Begin(l.now, dfponce.ClaimRequest{
				Key: fmt.Sprint(i), Zone: "z", Attempt: dfpcall.RequestID{Incarnation: 2, Counter: i},
			})
			if tc.down == 0 {
				l.carry(entry, fx)
			}
		}
		if tc.stop {
			c.Stop(l.now)
		}
		fx := c.Begin(l.now, dfponce.ClaimRequest{Key: "new", Zone: tc.zone, Attempt: dfpcall.RequestID{Incarnation: 1, Counter: 1}})
		fx.Sends = fx.Sends[min(tc.down, len(fx.Sends)):]
		decided := l.carry(entry, fx)
		if len(decided) == 0 {
			decided = c.Tick(l.now.Add(dfponce.DefaultVoteTimeout + time.Millisecond)).Decisions
		}
		assert.Assert(t, len(decided) > 0, tc.name)
		last := decided[len(decided)-1]
		assert.Equal(t, last.Run, tc.want == "", tc.name)
		if tc.want != "" {
			assert.Equal(t, last.Outcome.(*dfpcall.NotRun).Reason, tc.want, tc.name)
		}
	}
}
