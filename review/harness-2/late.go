package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late"] = playLate }

// playLate lets one of two backends send an extra response after some of its answers, at the point where the next
// response is expected.
func playLate(rec *record, trouble bool) (int, error) {
	const host, prefix = "jepu9.example", "/puka111/"
	const requests, extraShare = 1500, 0.03
	route := routeRow{name: "r-m2d54xb", host: host, prefix: prefix, kind: "unsafe", timeout: "1200ms", service: "huvo11a"}
	machines := []machine{{"wien-a", "ost", "lovo22d"}, {"wien-a", "ost", "huvo11a"}, {"wien-a", "ost", "huvo11a"}}
	s, err := newSite(rec, machines, configText(7, []routeRow{route}, []string{"huvo11a", "lovo22d"}), func(_ *backend, x *run) {
		x.Work = 30 * time.Millisecond
	})
	if err != nil {
		return exitNotRun, err
	}
	defer s.stop()
	if trouble {
		// The example of a backend that sheds, as "fleetbench wire" prints it.
		extra := []byte("HTTP/1.1 503 Service Unavailable\r\n" + wire["notrun"] + ": 1\r\nContent-Length: 0\r\n\r\n")
		s.nodes[1].backend.extraAfter = func(*run) []byte {
			if rand.Float64() < extraShare {
				return extra
			}
			return nil
		}
	}
	entry := s.nodes[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	served := 0
	ids := make([]string, requests)
	for i := range requests {
		ids[i] = fmt.Sprintf("cc%06d", i)
		clients.Go(func() {
			r := send(entry, http.MethodPost, host, prefix+"2f", ids[i], zeros(1200), 1200, 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if r.err == nil && r.status == http.StatusOK {
				served++
			}
			if runs := s.runsOf(ids[i]); len(runs) != 1 || r.status != http.StatusOK {
				rec.printf("request %s: %v; runs: %d", ids[i], r, len(runs))
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	twice := 0
	for _, id := range ids {
		if runs := s.runsOf(id); len(runs) > 1 {
			twice++
			rec.printf("request %s ran on %s and on %s", id, runs[0].Instance, runs[1].Instance)
		}
	}
	rec.printf("%d of %d requests served; %d ran more than once", served, requests, twice)
	if twice > 0 {
		return exitBroken, nil
	}
	if served < requests*9/10 {
		return exitNotRun, fmt.Errorf("only %d of %d requests were served", served, requests)
	}
	return exitHeld, nil
}
