package dfpguard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpguard"
)

// deepService is a backend server that nested calls come to, in virtual time, with entries that
// take requests in by the level that its guard reports.
type deepService struct {
	guard   *dfpguard.Guard
	now     time.Time
	next    dfpguard.Handle
	running map[dfpguard.Handle]time.Time
	// served and refused count nested calls; the others count requests at the entry, all and those
	// that it took in, by importance.
	served, refused, highIn, highAll, lowIn, lowAll int
}

const (
	deepSlots = 10
	deepTime  = 40 * time.Millisecond
)

func (d *deepService) start(h dfpguard.Handle) { d.running[h] = d.now.Add(deepTime) }

func (d *deepService) effects(fx dfpguard.Effects) {
	for _, h := range fx.Start {
		d.start(h)
	}
	d.refused += len(fx.Refuse)
}

// request comes to an entry, which sees the guard's level, and makes one nested call.
func (d *deepService) request(importance dfpcall.Importance, cohort uint8) {
	in := d.guard.Load(d.now).Admits(importance, cohort)
	if importance == dfpcall.High {
		d.highAll++
		if in {
			d.highIn++
		}
	} else {
		d.lowAll++
		if in {
			d.lowIn++
		}
	}
	if !in {
		return
	}
	d.next++
	verdict, fx := d.guard.Arrive(d.now, dfpguard.Request{
		Handle: d.next, Importance: dfpcall.Critical, Cohort: cohort, Deadline: d.now.Add(700 * time.Millisecond),
	})
	d.effects(fx)
	switch verdict.(type) {
	case *dfpguard.Start:
		d.start(d.next)
	case *dfpguard.Refuse:
		d.refused++
	}
}

func (d *deepService) run(until time.Time, perSecond int) {
	for i := 0; d.now.Before(until); i++ {
		d.now = d.now.Add(time.Millisecond)
		for h, end := range d.running {
			if !end.After(d.now) {
				delete(d.running, h)
				d.served++
				d.effects(d.guard.Done(d.now, h, deepTime, false))
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
			d.effects(d.guard.Tick(d.now))
		}
	}
}

// TestSurgeOverADeepService answers a surge of twice the capacity of a service that only nested calls come to:
// two thirds are of low importance. The calls that come are all served, and what the entries refuse is
// of low importance.
func TestSurgeOverADeepService(t *testing.T) {
	d := &deepService{
		guard: newGuard(dfpguard.Config{Slots: deepSlots, RampTime: -1, QueueNested: true, SlotsFraction: 1}),
		now:   epoch, running: map[dfpguard.Handle]time.Time{},
	}
	const capacity = 250 // deepSlots in deepTime, a second.
	d.run(d.now.Add(2*time.Second), capacity/2)
	assert.Equal(t, d.lowIn, d.lowAll, "nothing is refused below the capacity")

	d.run(d.now.Add(3*time.Second), 2*capacity)
	*d = deepService{guard: d.guard, now: d.now, next: d.next, running: d.running}
	start := d.now
	d.run(start.Add(5*time.Second), 2*capacity)
	assert.Assert(t, float64(d.highIn) > 0.97*float64(d.highAll), "%d of %d important requests", d.highIn, d.highAll)
	assert.Assert(t, float64(d.served) > 0.9*5*capacity, "%d served", d.served)
	assert.Assert(t, d.refused < d.served/50, "%d nested calls refused", d.refused)
	assert.Assert(t, d.lowIn < d.lowAll)

	d.run(d.now.Add(3*time.Second), capacity/2)
	*d = deepService{guard: d.guard, now: d.now, next: d.next, running: d.running}
	d.run(d.now.Add(2*time.Second), capacity/2)
	assert.Equal(t, d.lowIn, d.lowAll, "all are taken in again after the surge")
}
