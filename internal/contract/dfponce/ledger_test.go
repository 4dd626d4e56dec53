package dfponce_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

func TestLedger(t *testing.T) {
	t0 := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	id := func(n uint64) dfpcall.RequestID { return dfpcall.RequestID{Incarnation: 1, Counter: n} }
	answer := &dfpcall.Answer{Status: 200}
	type step struct {
		call string // start, resolve or finish.
		id   uint64
		at   time.Duration
		want dfponce.LedgerState
		out  dfpcall.Outcome
	}
	for _, tc := range []struct {
		name  string
		cfg   dfponce.LedgerConfig
		steps []step
	}{
		{"a duplicate while running and after", dfponce.LedgerConfig{}, []step{
			{"start", 1, 0, dfponce.Started, nil},
			{"start", 1, 0, dfponce.Running, nil},
			{"resolve", 1, 0, dfponce.Running, nil},
			{"finish", 1, 0, 0, answer},
			{"start", 1, time.Second, dfponce.Done, answer},
			{"resolve", 1, time.Second, dfponce.Done, answer},
		}},
		{"barred before it arrives", dfponce.LedgerConfig{}, []step{
			{"resolve", 1, 0, dfponce.Barred, nil},
			{"start", 1, time.Second, dfponce.Barred, nil},
			{"start", 1, time.Hour, dfponce.Expired, nil},
		}},
		{"an unseen ID below the watermark", dfponce.LedgerConfig{}, []step{
			{"start", 5, 0, dfponce.Started, nil},
			{"finish", 5, 0, 0, answer},
			{"start", 6, time.Minute, dfponce.Started, nil},
			{"start", 4, time.Minute, dfponce.Expired, nil},
			{"resolve", 5, time.Minute, dfponce.Expired, nil},
		}},
		{"running requests are never evicted", dfponce.LedgerConfig{MaxEntries: 1}, []step{
			{"start", 1, 0, dfponce.Started, nil},
			{"start", 2, 0, dfponce.Started, nil},
			{"start", 3, 0, dfponce.Started, nil},
			{"finish", 2, 0, 0, answer},
			{"finish", 3, 0, 0, answer},
			{"start", 1, time.Hour, dfponce.Running, nil},
			{"start", 2, time.Hour, dfponce.Expired, nil},
		}},
		{"answers beyond MaxBytes are not kept", dfponce.LedgerConfig{MaxBytes: 150}, []step{
			{"start", 1, 0, dfponce.Started, nil},
			{"finish", 1, 0, 0, answer},
			{"start", 2, 0, dfponce.Started, nil},
			{"finish", 2, 0, 0, answer},
			{"resolve", 1, 0, dfponce.Done, nil},
			{"resolve", 2, 0, dfponce.Done, answer},
		}},
	} {
		l := dfponce.NewLedger(tc.cfg)
		for i, s := range tc.steps {
			var state dfponce.LedgerState
			var out dfpcall.Outcome
			switch s.call {
			case "start":
				state, out = l.Start(t0.Add(s.at), id(s.id))
			case "resolve":
				state, out = l.Resolve(t0.Add(s.at), id(s.id))
			case "finish":
				l.Finish(t0.Add(s.at), id(s.id), s.out, 100)
				continue
			}
			assert.Equal(t, state, s.want, "%s: step %d", tc.name, i)
			assert.Assert(t, out == s.out, "%s: step %d: outcome %v", tc.name, i, out)
		}
	}
}

// ledgerRun calls a Ledger with random IDs, so that requests arrive late, twice and in any order.
// The bounds are so small that the Ledger evicts IDs all the time. ledgerRun returns the first violation, or "".
func ledgerRun(r *rand.Rand, cfg dfponce.LedgerConfig) string {
	cfg.Retention, cfg.MaxEntries, cfg.MaxBytes = time.Second, 1+r.IntN(8), 50
	l := dfponce.NewLedger(cfg)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	ran := make(map[dfpcall.RequestID]int)
	barred := make(map[dfpcall.RequestID]bool)
	var running []dfpcall.RequestID
	for range 500 {
		now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
		id := dfpcall.RequestID{Incarnation: uint64(r.IntN(2)), Counter: uint64(r.IntN(40))}
		var state dfponce.LedgerState
		switch r.IntN(3) {
		case 0:
			state, _ = l.Start(now, id)
		case 1:
			state, _ = l.Resolve(now, id)
		case 2:
			if len(running) > 0 {
				i := r.IntN(len(running))
				l.Finish(now, running[i], &dfpcall.Answer{}, r.IntN(60))
				running = append(running[:i], running[i+1:]...)
			}
			continue
		}
		switch state {
		case dfponce.Started:
			ran[id]++
			running = append(running, id)
		case dfponce.Barred:
			barred[id] = true
		}
		if ran[id] > 1 || barred[id] && ran[id] > 0 {
			return fmt.Sprintf("%v ran %d times, barred %v", id, ran[id], barred[id])
		}
	}
	return ""
}

func TestLedgerNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		if violation := ledgerRun(r, dfponce.LedgerConfig{}); violation != "" {
			t.Fatal(violation)
		}
	})
	for _, fault := range []string{"no_bar", "no_watermark"} {
		violation := ledgerRun(rand.New(rand.NewPCG(1, 1)), dfponce.LedgerConfig{}.Faults(fault))
		assert.Assert(t, violation != "", "fault %s was not detected", fault)
		t.Logf("%s: %s", fault, violation)
	}
}

func TestKeys(t *testing.T) {
	for _, tc := range []struct {
		key  string
		zone string
		time int64
	}{
		{"ost-1.abc", "ost-1", 0},
		{"west-1.01a23e59-c400-7000-8000-000000000008", "west-1", 0x01a23e59c400},
		{"01a23e59-c400-7000-8000-000000000008", "ost-2", 0x01a23e59c400},
		{"01a23e59-c400-4000-8000-000000000008", "ost-1", 0},
		{"zagorje-1.abc", "ost-1", 0},
		{"", "ost-1", 0},
	} {
		zones := []string{"ost-1", "ost-2", "west-1", "west-2"}
		assert.Equal(t, dfponce.KeyTime(tc.key), tc.time, tc.key)
		zone := dfponce.HomeZone("waldspiel", tc.key, zones)
		assert.Equal(t, zone, tc.zone, tc.key)
		zones[0], zones[3] = zones[3], zones[0]
		assert.Equal(t, dfponce.HomeZone("waldspiel", tc.key, zones), zone, "the result depends on the order of zones")
	}
	assert.Assert(t, dfponce.NewClaimID("ab", "c") != dfponce.NewClaimID("a", "bc"))
}
