package dfpguard_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpguard"
)

// BenchmarkArriveDone starts and ends requests with an empty queue.
func BenchmarkArriveDone(b *testing.B) {
	g := newGuard(dfpguard.Config{Slots: 120, RampTime: -1})
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Microsecond)
		h := dfpguard.Handle(i)
		g.Arrive(now, dfpguard.Request{Handle: h, Organisation: "waldspiel", Importance: dfpcall.Normal, Deadline: now.Add(time.Second)})
		g.Done(now, h, 10*time.Millisecond, false)
	}
}

// BenchmarkQueue makes every request wait in a queue of a given length, with requests of a given number of
// organisations.
func BenchmarkQueue(b *testing.B) {
	for _, tc := range []struct{ queue, organisations int }{
		{10, 8}, {100, 8}, {1000, 8}, {1000, 80}, {1000, 800},
	} {
		b.Run(fmt.Sprintf("queue=%d/organisations=%d", tc.queue, tc.organisations), func(b *testing.B) {
			benchmarkQueue(b, tc.queue, tc.organisations)
		})
	}
}

func benchmarkQueue(b *testing.B, queue, organisations int) {
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprint("organisation ", i)
	}
	// The queue limit is never reached, so the admission level stays at 0.
	g := newGuard(dfpguard.Config{Slots: 1, QueueLimit: 4 * queue, RampTime: -1})
	next := dfpguard.Handle(0)
	arrive := func() {
		next++
		g.Arrive(epoch, dfpguard.Request{Handle: next, Organisation: names[int(next)%organisations], Importance: dfpcall.Critical})
	}
	for range queue + 1 {
		arrive()
	}
	running := dfpguard.Handle(1)
	b.ReportAllocs()
	for b.Loop() {
		arrive()
		running = g.Done(epoch, running, time.Millisecond, false).Start[0]
	}
}

// BenchmarkDisplace makes every arrival displace a less important request from a full queue.
func BenchmarkDisplace(b *testing.B) {
	for _, queue := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("queue=%d", queue), func(b *testing.B) {
			g := newGuard(dfpguard.Config{Slots: 1, QueueLimit: queue, RampTime: -1})
			g.Arrive(epoch, dfpguard.Request{Handle: 1})
			next := dfpguard.Handle(1)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				for g.Load(epoch).Queued < queue {
					next++
					g.Arrive(epoch, dfpguard.Request{Handle: next, Importance: dfpcall.High})
				}
				b.StartTimer()
				next++
				g.Arrive(epoch, dfpguard.Request{Handle: next, Importance: dfpcall.Critical})
				b.StopTimer()
				g.Cancel(epoch, next)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkRefuse refuses every request by the admission level.
func BenchmarkRefuse(b *testing.B) {
	g := newGuard(dfpguard.Config{Slots: 1, QueueLimit: 1, RampTime: -1})
	for h := range dfpguard.Handle(3) {
		g.Arrive(epoch, dfpguard.Request{Handle: h, Importance: dfpcall.Critical})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.Arrive(epoch, dfpguard.Request{Handle: dfpguard.Handle(10 + i)})
	}
}
