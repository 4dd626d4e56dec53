package dfpguard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpguard"
)

// nestedService simulates, in virtual time, a backend server that serves only nested calls, and entry nodes
// that admit requests by the level that its guard reports.
type nestedService struct {
	guard   *dfpguard.Guard
	now     time.Time
	next    dfpguard.Handle
	running map[dfpguard.Handle]time.Time
	// served and refused count nested calls. The others count requests at the entry nodes by importance: all
	// of them, and those admitted.
	served, refused, highAdmitted, highTotal, lowAdmitted, lowTotal int
}

const (
	nestedSlots       = 10
	nestedServiceTime = 40 * time.Millisecond
)

func (d *nestedService) start(h dfpguard.Handle) { d.running[h] = d.now.Add(nestedServiceTime) }

func (d *nestedService) apply(effects dfpguard.Effects) {
	for _, h := range effects.Start {
		d.start(h)
	}
	d.refused += len(effects.Refuse)
}

// request simulates a request at an entry node, which makes one nested call if the reported level admits it.
func (d *nestedService) request(importance dfpcall.Importance, cohort uint8) {
	admitted := d.guard.Load(d.now).Admits(importance, cohort)
	if importance == dfpcall.High {
		d.highTotal++
		if admitted {
			d.highAdmitted++
		}
	} else {
		d.lowTotal++
		if admitted {
			d.lowAdmitted++
		}
	}
	if !admitted {
		return
	}
	d.next++
	decision, effects := d.guard.Arrive(d.now, dfpguard.Request{
		Handle: d.next, Importance: dfpcall.Critical, Cohort: cohort, Deadline: d.now.Add(700 * time.Millisecond),
	})
	d.apply(effects)
	switch decision.(type) {
	case *dfpguard.Start:
		d.start(d.next)
	case *dfpguard.Refuse:
		d.refused++
	}
}

func (d *nestedService) run(until time.Time, perSecond int) {
	for i := 0; d.now.Before(until); i++ {
		d.now = d.now.Add(time.Millisecond)
		for h, end := range d.running {
			if !end.After(d.now) {
				delete(d.running, h)
				d.served++
				d.apply(d.guard.Done(d.now, h, nestedServiceTime, false))
			}
		}
		if i%(1000/perSecond) == 0 {
			importance := dfpcall.High
			if i/(1000/perSecond)%3 > 0 {
				importance = dfpcall.Low
			}
			d.request(importance, uint8(i*37%dfpcall.Cohorts))
		}
		if i%100 == 0 {
			d.apply(d.guard.Tick(d.now))
		}
	}
}

// TestNestedCallSurge runs a surge of twice the capacity against a service that serves only nested calls.
// Two thirds of the requests have low importance. Nearly all admitted calls must be served, and the entry
// nodes must refuse requests of low importance only, but for a few.
func TestNestedCallSurge(t *testing.T) {
	d := &nestedService{
		guard: newGuard(dfpguard.Config{Slots: nestedSlots, RampTime: -1, QueueNested: true, SlotsFraction: 1}),
		now:   epoch, running: map[dfpguard.Handle]time.Time{},
	}
	const capacity = 250 // Per second: nestedSlots per nestedServiceTime.
	d.run(d.now.Add(2*time.Second), capacity/2)
	assert.Equal(t, d.lowAdmitted, d.lowTotal, "nothing is refused below the capacity")

	d.run(d.now.Add(3*time.Second), 2*capacity)
	*d = nestedService{guard: d.guard, now: d.now, next: d.next, running: d.running}
	start := d.now
	d.run(start.Add(5*time.Second), 2*capacity)
	assert.Assert(t, float64(d.highAdmitted) > 0.97*float64(d.highTotal), "%d of %d important requests", d.highAdmitted, d.highTotal)
	assert.Assert(t, float64(d.served) > 0.9*5*capacity, "%d served", d.served)
	assert.Assert(t, d.refused < d.served/50, "%d nested calls refused", d.refused)
	assert.Assert(t, d.lowAdmitted < d.lowTotal)

	d.run(d.now.Add(3*time.Second), capacity/2)
	*d = nestedService{guard: d.guard, now: d.now, next: d.next, running: d.running}
	d.run(d.now.Add(2*time.Second), capacity/2)
	assert.Equal(t, d.lowAdmitted, d.lowTotal, "all are admitted again after the surge")
}

// TestNestedCallsBeyondNamedLimit runs four times the requests that a service of nested calls takes by the limit
// that it names. The requests beyond it must be refused at the entry nodes, before work is spent on them, and
// not when their nested call arrives; the important ones last.
func TestNestedCallsBeyondNamedLimit(t *testing.T) {
	for _, tc := range []struct {
		name string
		// limit is in requests a second.
		limit int
	}{
		{"a quarter of the capacity", 60},
		{"a few requests a second", 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := &nestedService{
				guard: newGuard(dfpguard.Config{Slots: nestedSlots, RampTime: -1, QueueNested: true, SlotsFraction: 1}),
				now:   epoch, running: map[dfpguard.Handle]time.Time{},
			}
			d.apply(d.guard.SetRateLimit(d.now, true, float64(tc.limit)))
			d.run(d.now.Add(4*time.Second), 4*tc.limit)
			*d = nestedService{guard: d.guard, now: d.now, next: d.next, running: d.running}
			d.run(d.now.Add(10*time.Second), 4*tc.limit)
			t.Logf("%d served, %d nested calls refused; high %d of %d, low %d of %d", d.served, d.refused, d.highAdmitted, d.highTotal, d.lowAdmitted, d.lowTotal)
			assert.Assert(t, float64(d.served) > 0.8*10*float64(tc.limit), "%d served", d.served)
			assert.Assert(t, d.refused < d.served/5, "%d nested calls refused", d.refused)
			assert.Assert(t, d.lowAdmitted*d.highTotal < d.highAdmitted*d.lowTotal)

			d.apply(d.guard.SetRateLimit(d.now, false, 0))
			d.run(d.now.Add(3*time.Second), 2*tc.limit)
			*d = nestedService{guard: d.guard, now: d.now, next: d.next, running: d.running}
			d.run(d.now.Add(2*time.Second), 2*tc.limit)
			assert.Equal(t, d.lowAdmitted, d.lowTotal, "all are admitted again after the limit has ended")
		})
	}
}
