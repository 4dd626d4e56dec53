package dfponce_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// TestRepeats ends one attempt in each possible way and then repeats its key from another node.
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
		outcome dfpcall.Outcome // Of the first attempt; nil if it is still running.
		other   bool            // Whether the repeat is a different request.
		after   time.Duration
		want    dfpcall.Outcome // Of the repeat; nil if it runs.
	}{
		{name: "ran", outcome: answer, want: answer},
		{name: "ran with a long answer", outcome: &dfpcall.Answer{Body: make([]byte, dfponce.DefaultMaxAnswerBody+1)},
			want: &dfpcall.Unknown{Reason: dfpcall.ReasonAnswerNotKept}},
		{name: "not run", outcome: &dfpcall.NotRun{}},
		{name: "unknown", outcome: &dfpcall.Unknown{}, want: &dfpcall.Unknown{Reason: dfpcall.ReasonRepeatOfUnknown}},
		{name: "running", want: &dfpcall.NotRun{Reason: dfpcall.ReasonRepeatInProgress, RetryAfter: dfponce.DefaultVoteTimeout}},
		{name: "running for too long", after: 2 * dfponce.DefaultRunTimeout,
			want: &dfpcall.Unknown{Reason: dfpcall.ReasonRepeatOfUnknown}},
		{name: "another request", outcome: answer, other: true, want: &dfpcall.NotRun{Reason: dfpcall.ReasonKeyReused}},
		{name: "another request after one that did not run", outcome: &dfpcall.NotRun{}, other: true,
			want: &dfpcall.NotRun{Reason: dfpcall.ReasonKeyReused}},
		{name: "kept until the retention ends", outcome: answer, after: dfponce.DefaultClaimRetention - time.Second, want: answer},
		{name: "expired, with no time in the key", outcome: answer, after: dfponce.DefaultClaimRetention + time.Second},
		{name: "expired, with the time in the key", key: uuid(epoch), outcome: answer, after: dfponce.DefaultClaimRetention + time.Second,
			want: &dfpcall.NotRun{Reason: dfpcall.ReasonKeyTooOld}},
	} {
		zone := newTestZone(t, 5, dfponce.Config{})
		key := tc.key
		if key == "" {
			key = "z.1"
		}
		req := dfponce.ClaimRequest{Organisation: "waldspiel", Key: key, Zone: "z", Fingerprint: 1}
		req.Attempt = dfpcall.RequestID{Incarnation: 1, Counter: 1}
		decided := zone.deliverAll(first, zone.nodes[first].Begin(zone.now, req))
		assert.Assert(t, len(decided) == 1 && decided[0].Run, tc.name)
		if tc.outcome != nil {
			zone.deliverAll(first, zone.nodes[first].Finish(zone.now, req.Attempt, tc.outcome))
		}
		zone.now = zone.now.Add(tc.after)
		req.Attempt = dfpcall.RequestID{Incarnation: 2, Counter: 1}
		if tc.other {
			req.Fingerprint = 2
		}
		decided = zone.deliverAll(second, zone.nodes[second].Begin(zone.now, req))
		assert.Equal(t, len(decided), 1, tc.name)
		assert.Equal(t, decided[0].Run, tc.want == nil, tc.name)
		if tc.want != nil {
			assert.DeepEqual(t, decided[0].Outcome, tc.want)
		}
		// The same key of another organisation is independent.
		req.Organisation, req.Attempt.Counter = "nordlicht", 2
		if tc.key == "" {
			decided = zone.deliverAll(second, zone.nodes[second].Begin(zone.now, req))
			assert.Assert(t, len(decided) == 1 && decided[0].Run, tc.name)
		}
	}
}

// TestRefusals begins attempts under conditions in which they can't be granted.
func TestRefusals(t *testing.T) {
	const entry = "10.0.0.0:9000"
	for _, tc := range []struct {
		name   string
		config dfponce.Config
		zone   string
		down   int // Number of the zone's three nodes that do not answer.
		stop   bool
		claims uint64
		want   dfpcall.Reason // Empty if the attempt runs.
	}{
		{name: "one silent member", zone: "z", down: 1},
		{name: "two silent members", zone: "z", down: 2, want: dfpcall.ReasonClaimUnreachable},
		{name: "home zone unknown", zone: "y", want: dfpcall.ReasonClaimUnreachable},
		{name: "stopping", zone: "z", stop: true, want: dfpcall.ReasonDraining},
		{name: "full", zone: "z", config: dfponce.Config{MaxClaims: 10}, claims: 10, want: dfpcall.ReasonClaimsFull},
		{name: "too many attempts", zone: "z", config: dfponce.Config{MaxAttempts: 1}, down: 2, claims: 1, want: dfpcall.ReasonEntryFull},
	} {
		zone := newTestZone(t, 3, tc.config)
		c := zone.nodes[entry]
		for i := range tc.claims {
			effects := c.Begin(zone.now, dfponce.ClaimRequest{
				Key: fmt.Sprint(i), Zone: "z", Attempt: dfpcall.RequestID{Incarnation: 2, Counter: i},
			})
			if tc.down == 0 {
				zone.deliverAll(entry, effects)
			}
		}
		if tc.stop {
			c.Stop(zone.now)
		}
		effects := c.Begin(zone.now, dfponce.ClaimRequest{Key: "new", Zone: tc.zone, Attempt: dfpcall.RequestID{Incarnation: 1, Counter: 1}})
		effects.Sends = effects.Sends[min(tc.down, len(effects.Sends)):]
		decided := zone.deliverAll(entry, effects)
		if len(decided) == 0 {
			decided = c.Tick(zone.now.Add(dfponce.DefaultVoteTimeout + time.Millisecond)).Decisions
		}
		assert.Assert(t, len(decided) > 0, tc.name)
		last := decided[len(decided)-1]
		assert.Equal(t, last.Run, tc.want == "", tc.name)
		if tc.want != "" {
			assert.Equal(t, last.Outcome.(*dfpcall.NotRun).Reason, tc.want, tc.name)
		}
	}
}
