package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = playTerm }

// slowBody is a body of pieces bytes*count that takes a time to send.
type slowBody struct {
	left  int
	pause time.Duration
	ended time.Time
}

const pieceBytes = 16 << 10

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.ended = time.Now()
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.left--
	return min(len(p), pieceBytes), nil
}

// playTerm stops one node while clients of its machine are sending their requests' bodies.
func playTerm(rec *record, trouble bool) (int, error) {
	const host, prefix = "jepu9.example", "/puka111/"
	const (
		deadline     = 6 * time.Second
		routeTimeout = 2500 * time.Millisecond
		work         = 2300 * time.Millisecond
		lateAfter    = 3 * time.Second // The rule excuses requests that were sent before.
		margin       = 100 * time.Millisecond

		uploaders  = 5
		uploadFrom = time.Second // The platform has seen one miss of readiness at most.
	)
	route := routeRow{name: "r-m2d54xb", host: host, prefix: prefix, kind: "unsafe", timeout: "2500ms", service: "huvo11a"}
	machines := []machine{{"wien-a", "ost", "huvo11a"}, {"wien-b", "ost", "huvo11a"}, {"wien-b", "ost", "huvo11a"}, {"wien-c", "ost", "huvo11a"}}
	s, err := newSite(rec, machines, configText(7, []routeRow{route}, []string{"huvo11a"}), func(b *backend, x *run) {
		x.Work = work
		rec.printf("backend %s begins to run %s, with %v of work", b.id, x.ID, x.Work)
	})
	if err != nil {
		return exitNotRun, err
	}
	defer s.stop()
	first := s.nodes[0]
	stopped := time.Now()
	if trouble {
		first.signal(syscall.SIGTERM)
		rec.printf("%s gets SIGTERM", first.name)
		s.group.Go(func() {
			_, done := first.process()
			select {
			case <-done:
			case <-time.After(grace):
				first.signal(syscall.SIGKILL)
				rec.printf("%s gets SIGKILL at the end of grace", first.name)
			}
		})
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost, served := 0, 0
	judge := func(id string, sent, complete time.Time, r reply) {
		end := time.Now()
		runs := len(s.runsOf(id))
		rec.printf("upload %s at %s: sent from %.3f s to %.3f s after SIGTERM, ended at %.3f s: %v; runs: %d", id, first.name,
			sent.Sub(stopped).Seconds(), complete.Sub(stopped).Seconds(), end.Sub(stopped).Seconds(), r, runs)
		mu.Lock()
		defer mu.Unlock()
		if r.err == nil && r.status == http.StatusOK {
			served++
		}
		// Neither the deadline nor the route's timeout was reached, and the backend was at work.
		early := end.Sub(sent) < deadline-margin && end.Sub(complete) < routeTimeout-margin
		cut := r.err != nil || r.status/100 == 5 && r.seal == ""
		if cut && runs > 0 && early && complete.Sub(stopped) > lateAfter {
			lost++
		}
	}
	for i := range uploaders {
		clients.Go(func() {
			time.Sleep(time.Until(stopped.Add(uploadFrom)))
			id := fmt.Sprintf("aa%04d", i)
			body := &slowBody{left: 26, pause: 100 * time.Millisecond}
			sent := time.Now()
			r := send(first, http.MethodPost, host, prefix+"2f", id, body, -1, deadline)
			judge(id, sent, body.ended, r)
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	rec.printf("served %d; broken off while their backend was at work: %d", served, lost)
	switch {
	case lost > 0:
		return exitBroken, nil
	case !trouble && served < uploaders:
		return exitNotRun, fmt.Errorf("only %d of %d requests were served without the disruption", served, uploaders)
	}
	return exitHeld, nil
}
