// Command roll is a case of planned work: two machines are stopped and started in turn, 2 s apart.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dragonflyport-review-3/rig"
)

const (
	// The bounds and the gap of the site.
	grace = 6 * time.Second
	gap   = 2 * time.Second
	// An order works between least and most; deadline and route are how long it may.
	least    = 2500 * time.Millisecond
	most     = 4000 * time.Millisecond
	deadline = 6 * time.Second
	route    = 6 * time.Second
	// pause is the time between two orders of all clients.
	pause = 40 * time.Millisecond
	calm  = 6 * time.Second
	after = 8 * time.Second
)

// order is what a client saw of one order.
type order struct {
	id          string
	sent, ended time.Time
	work        time.Duration
	status      int
	err         error
	ran         int
	broken      bool
}

func main() {
	record, err := rig.NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer record.Close()
	routes := []rig.Route{{Prefix: "/orders/", Kind: "unsafe", Service: "orders", Timeout: route, Priority: 0, Attempts: 2}}
	c := rig.StartCluster(record, rig.Config(1, routes, []string{"web", "orders"}, 0, 0), []rig.Place{
		{Service: "web", Zone: "zone-a", Region: "east", Slots: 140},
		{Service: "orders", Zone: "zone-a", Region: "east", Slots: 140},
		{Service: "orders", Zone: "zone-b", Region: "east", Slots: 140},
	})
	entry, first := c.Machines[0], c.Machines[1]
	c.Serves(entry, "/orders/1/100")
	var wg sync.WaitGroup
	var mu sync.Mutex
	var orders []*order
	var stopped time.Time // When the entry machine got SIGTERM.
	begin := time.Now()
	end := begin.Add(calm + gap + after)
	wg.Go(func() {
		time.Sleep(calm)
		if os.Getenv("TROUBLE") == "0" {
			return
		}
		first.Signal(syscall.SIGTERM)
		time.Sleep(gap)
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		entry.Signal(syscall.SIGTERM)
	})
	// The platform asks once a second; after two misses clients send nothing new.
	misses := 0
	wg.Go(func() {
		for time.Now().Before(end) {
			ready := entry.IsReady()
			mu.Lock()
			if misses++; ready {
				misses = 0
			}
			mu.Unlock()
			time.Sleep(time.Second)
		}
	})
	for i := 0; time.Now().Before(end); i++ {
		mu.Lock()
		out := misses >= 2
		mu.Unlock()
		if !out {
			wg.Go(func() {
				o := &order{id: fmt.Sprintf("order-%d", i), work: least + rand.N(most-least)}
				conn := rig.Dial(entry, 0)
				if conn == nil {
					return
				}
				o.sent = time.Now()
				record.Printf("sent     %s", o.id)
				o.status, o.err = conn.Do(rig.Request(entry, "POST", fmt.Sprintf("/orders/%d/400", o.work.Milliseconds()), o.id, deadline), deadline, 0)
				o.ended = time.Now()
				o.ran, o.broken = c.Runs(o.id), c.Working(o.id) > 0 || c.Left(o.id)
				_ = conn.Conn.Close()
				record.Printf("answer   %s status %d after %.3f s, ran %d, broken off %v: %v", o.id, o.status, o.ended.Sub(o.sent).Seconds(), o.ran, o.broken, o.err)
				mu.Lock()
				orders = append(orders, o)
				mu.Unlock()
			})
		}
		time.Sleep(pause/2 + rand.N(pause))
	}
	wg.Wait()
	c.Stop()
	results := map[string]int{}
	lost := 0
	for _, o := range orders {
		key := fmt.Sprint(o.status)
		if o.err != nil {
			key = "closed"
		}
		results[key]++
		// Around the SIGTERM of the machine that took the order: passed on, at work at a backend server that did not break
		// off, neither the deadline nor the route's timeout reached. Its work would have ended before the last sixth of grace.
		around := !stopped.IsZero() && o.ended.After(stopped) && o.sent.Add(o.work+200*time.Millisecond).Before(stopped.Add(grace*5/6))
		if around && o.broken && (o.err != nil || o.status != 200) && o.ended.Sub(o.sent) < o.work {
			lost++
			record.Printf("lost     %s: status %d, %.3f s after the SIGTERM of %s", o.id, o.status, o.ended.Sub(stopped).Seconds(), entry.Name)
		}
	}
	text := fmt.Sprintf("orders %d, results %v; broken off while their backend server was at work: %d", len(orders), results, lost)
	record.Printf("end      %s", text)
	fmt.Println(text)
	switch {
	case results["200"] < 20:
		fmt.Println("could not run: too little was served")
		os.Exit(2)
	case lost > 0:
		fmt.Println("LOST broken")
		os.Exit(1)
	}
	fmt.Println("held")
}
