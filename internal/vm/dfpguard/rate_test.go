package dfpguard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpguard"
)

// TestRateLimitHoldsInEachWindow guards against more starts in any 4 s than the backend server's limit allows:
// one and a half times the limit and five requests, while the limit may change between two values.
func TestRateLimitHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGuard(dfpguard.Config{Slots: 100, QueueNested: rapid.Bool().Draw(t, "queue nested")})
		rates := [2]float64{rapid.Float64Range(0, 30).Draw(t, "rate"), rapid.Float64Range(0, 30).Draw(t, "other rate")}
		g.SetRateLimit(epoch, true, rates[0])
		var starts []time.Time
		now := epoch
		record := func(effects dfpguard.Effects) {
			for range effects.Start {
				starts = append(starts, now)
			}
		}
		for h := range dfpguard.Handle(600) {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			if h%50 == 49 {
				record(g.SetRateLimit(now, true, rates[h/50%2]))
			}
			record(g.Tick(now))
			decision, effects := g.Arrive(now, dfpguard.Request{Handle: h + 1, Importance: dfpcall.Importance(h % dfpcall.ImportanceCount)})
			record(effects)
			if _, started := decision.(*dfpguard.Start); started {
				starts = append(starts, now)
			}
		}
		first := 0
		for last := range starts {
			for starts[last].Sub(starts[first]) >= 4*time.Second {
				first++
			}
			if allowed := 1.5*4*max(rates[0], rates[1]) + 5; float64(last-first+1) > allowed {
				t.Fatalf("%d starts in 4 s, allowed %.1f", last-first+1, allowed)
			}
		}
	})
}

// TestRateLimit checks who is started and who is refused at a limit, and that work goes on as before when the
// limit ends.
func TestRateLimit(t *testing.T) {
	request := func(h dfpguard.Handle, importance dfpcall.Importance) dfpguard.Request {
		return dfpguard.Request{Handle: h, Importance: importance}
	}
	arrive := func(g *dfpguard.Guard, at time.Time, r dfpguard.Request) dfpguard.Decision {
		decision, _ := g.Arrive(at, r)
		return decision
	}
	g := newGuard(dfpguard.Config{Slots: 20, RampTime: -1})
	for h := range dfpguard.Handle(30) {
		g.Arrive(epoch, request(h+1, dfpcall.Low))
	}
	effects := g.SetRateLimit(epoch, true, 10)
	assert.Equal(t, len(effects.Refuse), 7, "a queue longer than fits the limit is refused at once")
	assert.Equal(t, g.Load(epoch).Queued, 3)
	for h := range dfpguard.Handle(20) {
		g.Done(epoch, h+1, 100*time.Millisecond, false)
	}
	assert.Equal(t, g.Load(epoch).InFlight, 1)
	assert.Equal(t, g.Load(epoch).Limit, 1, "10 requests a second of 100 ms keep one in flight")
	assert.DeepEqual(t, arrive(g, epoch, request(40, dfpcall.High)), &dfpguard.Wait{})
	refused, ok := arrive(g, epoch, request(41, dfpcall.Low)).(*dfpguard.Refuse)
	assert.Assert(t, ok && refused.Reason == dfpcall.ReasonServerLimit && refused.RetryAfter > 0)
	assert.DeepEqual(t, g.Tick(epoch.Add(100*time.Millisecond)).Start, []dfpguard.Handle{40})
	effects = g.SetRateLimit(epoch.Add(110*time.Millisecond), false, 0)
	assert.Equal(t, len(effects.Start), 2)
	assert.DeepEqual(t, arrive(g, epoch.Add(120*time.Millisecond), request(42, dfpcall.Low)), &dfpguard.Start{})
}
