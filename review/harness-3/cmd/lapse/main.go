// Command lapse is a case of draining: the store is down and leases run out, and the node beside a backend server that
// has left is killed.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dragonflyport-review-3/rig"
)

const (
	// The bounds of the site.
	drain   = 2500 * time.Millisecond
	contact = 3 * time.Second
	clients = 20
	calm    = 6 * time.Second
	// The store is down from the acknowledgement on for down, and the node is killed killAfter the store's return.
	down      = 1500 * time.Millisecond
	killAfter = 300 * time.Millisecond
	// late is how long after the acknowledgement a heartbeat arrives that was sent before it.
	late = 4000 * time.Millisecond
	// With a planned restart in place of the kill the node's next process starts later.
	latePlanned = 6000 * time.Millisecond
	grace       = 6 * time.Second
	after       = 8 * time.Second
)

func main() {
	record, err := rig.NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer record.Close()
	trouble, planned := os.Getenv("TROUBLE") != "0", os.Getenv("RESTART") == "term"
	routes := []rig.Route{{Prefix: "/orders/", Kind: "unsafe", Service: "orders", Timeout: 2 * time.Second, Priority: 0, Attempts: 2}}
	c := rig.StartCluster(record, rig.Config(1, routes, []string{"web", "orders"}, 0, 0), []rig.Place{
		{Service: "web", Zone: "zone-a", Region: "east", Slots: 140},
		{Service: "orders", Zone: "zone-a", Region: "east", Slots: 140},
		{Service: "orders", Zone: "zone-a", Region: "east", Slots: 140},
	})
	entry, beside, leaving := c.Machines[0], c.Machines[1], c.Backends[1]
	c.Serves(entry, "/orders/1/100")
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	end := time.Now().Add(calm + late + after)
	if planned {
		end = end.Add(latePlanned - late)
	}
	for i := range clients {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				conn := rig.Dial(entry, 0)
				status := 0
				if conn != nil {
					id := fmt.Sprintf("order-%d-%d", i, k)
					record.Printf("sent     %s", id)
					status, _ = conn.Do(rig.Request(entry, "POST", "/orders/50/400", id, 2*time.Second), 2*time.Second, 0)
					_ = conn.Conn.Close()
					record.Printf("answer   %s status %d", id, status)
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(calm)
	heartbeat := leaving.Body() // Sent now, and late.
	acknowledged := leaving.Deregister()
	record.Printf("leaves   %s: its deregistration is acknowledged", leaving.ID)
	touch := acknowledged
	if trouble {
		if os.Getenv("DOWN") != "0" {
			record.Printf("store    is down, and leases run out")
			c.Store.SetTurn(func(_ http.ResponseWriter, r *http.Request) bool {
				<-r.Context().Done()
				return true
			})
			c.Store.Lapse()
		}
		time.Sleep(down)
		c.Store.SetTurn(nil)
		record.Printf("store    is back")
		time.Sleep(killAfter)
		if planned {
			beside.Signal(syscall.SIGTERM)
			beside.Wait(grace)
		} else {
			beside.Signal(syscall.SIGKILL)
		}
		time.Sleep(400 * time.Millisecond)
		touch = time.Now().Add(contact)
	}
	wait := late
	if planned {
		wait = latePlanned
	}
	time.Sleep(time.Until(acknowledged.Add(wait)))
	record.Printf("late     heartbeat of %s: status %d", leaving.ID, leaving.Send(heartbeat))
	wg.Wait()
	c.Stop()
	reached, first, last := 0, time.Duration(0), time.Duration(0)
	for _, a := range leaving.Arrivals() {
		since := a.At.Sub(acknowledged)
		if since <= drain || a.At.Before(touch) {
			continue
		}
		if reached++; first == 0 {
			first = since
		}
		last = since
		record.Printf("reached  %s reaches %s %.3f s after the acknowledgement", a.ID, leaving.ID, since.Seconds())
	}
	text := fmt.Sprintf("statuses %v; requests that reached the leaving server later than 2.5 s after the acknowledgement, machines in touch: %d (from %.1f to %.1f s)",
		statuses, reached, first.Seconds(), last.Seconds())
	record.Printf("end      %s", text)
	fmt.Println(text)
	switch {
	case statuses[200] < 200:
		fmt.Println("could not run: too little was served")
		os.Exit(2)
	case reached > 0:
		fmt.Println("DRAIN broken")
		os.Exit(1)
	}
	fmt.Println("held")
}
