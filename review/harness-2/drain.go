package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = playDrain }

// deregister sends the backend's deregistration and reports whether it was acknowledged within a second.
func (b *backend) deregister() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+b.node.control+"/rpc?call="+wire["deregister"]+"&of="+b.id, "application/json", nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// playDrain lets a backend deregister, kills the node beside it and starts it again. A heartbeat that the backend had sent
// before arrives seconds late.
func playDrain(rec *record, trouble bool) (int, error) {
	const (
		host, prefix = "jepu9.example", "/puka111/"
		drain        = 2500 * time.Millisecond
		contact      = 3 * time.Second
	)
	route := routeRow{name: "r-m2d54xb", host: host, prefix: prefix, kind: "unsafe", timeout: "1200ms", service: "huvo11a"}
	machines := []machine{{"wien-a", "ost", "lovo22d"}, {"wien-a", "ost", "huvo11a"}, {"wien-a", "ost", "huvo11a"}}
	s, err := newSite(rec, machines, configText(7, []routeRow{route}, []string{"huvo11a", "lovo22d"}), func(_ *backend, x *run) { x.Work = 20 * time.Millisecond })
	if err != nil {
		return exitNotRun, err
	}
	defer s.stop()
	entry, leaving := s.nodes[0], s.nodes[1]
	b := leaving.backend
	var clients sync.WaitGroup
	var served, failed int
	var mu sync.Mutex
	stop := make(chan struct{})
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			clients.Go(func() {
				r := send(entry, http.MethodPost, host, prefix+"2f", fmt.Sprintf("dd%06d", i), zeros(1200), 1200, 5*time.Second)
				mu.Lock()
				defer mu.Unlock()
				if r.err == nil && r.status == http.StatusOK {
					served++
				} else {
					failed++
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	late := b.nextHeartbeat() // It is on its way for seconds.
	rec.printf("backend %s sends the heartbeat %s", b.id, late)
	b.stopBeats()
	time.Sleep(200 * time.Millisecond)
	if !b.deregister() {
		return exitNotRun, fmt.Errorf("the deregistration was not acknowledged")
	}
	left := time.Now()
	rec.printf("%s acknowledges the deregistration of %s", leaving.name, b.id)
	time.Sleep(500 * time.Millisecond)
	var restarted time.Time
	if trouble {
		leaving.signal(syscall.SIGKILL)
		_, done := leaving.process()
		<-done
		time.Sleep(500 * time.Millisecond)
		if err := s.start(leaving); err != nil {
			return exitNotRun, err
		}
		restarted = time.Now()
		rec.printf("%s was killed and starts again", leaving.name)
	}
	time.Sleep(contact + 500*time.Millisecond)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+leaving.control+"/rpc?call="+wire["heartbeat"]+"&of="+b.id, "application/json", strings.NewReader(late))
	if err != nil {
		return exitNotRun, err
	}
	_ = resp.Body.Close()
	rec.printf("the late heartbeat arrives at %s, %.1f s after the deregistration: %s", leaving.name, time.Since(left).Seconds(), resp.Status)
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	after := 0
	b.mu.Lock()
	for _, x := range b.runs {
		if x.At.After(left.Add(drain)) && (!trouble || x.At.After(restarted.Add(contact))) {
			after++
			if after <= 20 {
				rec.printf("request %s reached %s %.3f s after the acknowledgement", x.ID, b.id, x.At.Sub(left).Seconds())
			}
		}
	}
	b.mu.Unlock()
	rec.printf("%d requests served, %d not; %d reached the backend that had left later than drain", served, failed, after)
	if after > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
