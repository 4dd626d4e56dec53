package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["uploads"] = playUploads }

// playUploads lets many clients of two machines upload at once, each a body within the configured limit. It ends a process
// whose memory exceeds memory_mb and starts it again, as the platform does.
func playUploads(rec *record, trouble bool) (int, error) {
	const (
		host, prefix = "jepu9.example", "/puka111/"
		usual        = 14  // Uploads that a machine's clients send at once.
		burstX       = 1.8 // The largest dose of "burst" in the site file.
		pieces       = 384
		uploadBytes  = pieces * pieceBytes // 6 MiB
		deadline     = 6 * time.Second
		rounds       = 3
	)
	route := routeRow{name: "r-m2d54xb", host: host, prefix: prefix, kind: "unsafe", timeout: "2500ms", service: "huvo11a"}
	machines := []machine{
		{"wien-a", "ost", "lovo22d"}, {"wien-b", "ost", "lovo22d"}, {"wien-a", "ost", "huvo11a"}, {"wien-b", "ost", "huvo11a"},
		{"wien-a", "ost", "huvo11a"}, {"wien-b", "ost", "huvo11a"},
	}
	s, err := newSite(rec, machines, configText(7, []routeRow{route}, []string{"huvo11a", "lovo22d"}), func(_ *backend, x *run) {
		x.Work = 200 * time.Millisecond
	})
	if err != nil {
		return exitNotRun, err
	}
	defer s.stop()
	uploaders := usual
	if trouble {
		x := burstX
		uploaders = int(x * usual)
	}
	rec.printf("%d clients of each of two machines upload %d bytes at once", uploaders, uploadBytes)
	entries := s.nodes[:2]
	ends := make([]int, len(entries))
	served, failed, lost := 0, 0, 0
	var mu sync.Mutex
	upload := func(n *node, id string) {
		body := &slowBody{left: pieces, pause: 4 * time.Millisecond}
		r := send(n, http.MethodPost, host, prefix+"2f", id, body, uploadBytes, deadline)
		runs := len(s.runsOf(id))
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.err == nil && r.status == http.StatusOK:
			served++
		case r.err != nil && runs > 0:
			lost++
		default:
			failed++
		}
		rec.printf("upload %s of %d bytes at %s: %v; runs: %d", id, uploadBytes, n.name, r, runs)
	}
	for round := range rounds {
		for _, n := range entries {
			for !n.isReady() {
				time.Sleep(50 * time.Millisecond)
			}
		}
		time.Sleep(4 * time.Second) // The machines are in touch again.
		stop := make(chan struct{})
		peaks := make([]float64, len(entries))
		var watch, clients sync.WaitGroup
		for i, n := range entries {
			watch.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
					mb := n.residentMB()
					peaks[i] = max(peaks[i], mb)
					if mb <= memoryMB {
						continue
					}
					rec.printf("round %d: %s uses %.0f MB of %d MB: the platform kills it", round, n.name, mb, memoryMB)
					n.signal(syscall.SIGKILL)
					_, done := n.process()
					<-done
					ends[i]++
					time.Sleep(500 * time.Millisecond)
					if err := s.start(n); err != nil {
						rec.printf("%s does not start: %v", n.name, err)
					}
					return
				}
			})
			for j := range uploaders {
				id := fmt.Sprintf("%02d%02d%04d", round, i, j)
				clients.Go(func() { upload(n, id) })
			}
		}
		clients.Wait()
		close(stop)
		watch.Wait()
		rec.printf("round %d: most memory %.0f MB and %.0f MB; in all %d uploads served, %d run and cut, %d others", round, peaks[0], peaks[1], served, lost, failed)
	}
	rec.printf("processes ended for their memory: %d of %s, %d of %s", ends[0], entries[0].name, ends[1], entries[1].name)
	if ends[0] >= 3 && ends[1] >= 3 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
