// Command leave is a case of draining: a backend server that leaves loses answers, and gets requests once more later than
// it may.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dragonflyport-review-3/rig"
)

const (
	// drain is the bound of the site.
	drain = 2500 * time.Millisecond
	// Requests of half of the clients work between least and most, those of the others brief.
	clients  = 120
	least    = 3500 * time.Millisecond
	most     = 5000 * time.Millisecond
	brief    = 200 * time.Millisecond
	deadline = 6 * time.Second
	calm     = 12 * time.Second
	// The server loses lostShare of its answers for lostFor, from afterDrain after its report on.
	lostShare  = 0.4
	lostFor    = 4 * time.Second
	afterDrain = 1500 * time.Millisecond
	after      = 4 * time.Second
)

func main() {
	record, err := rig.NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer record.Close()
	routes := []rig.Route{{Prefix: "/balance/", Kind: "safe", Service: "balance", Timeout: deadline, Priority: 2, Attempts: 2}}
	c := rig.StartCluster(record, rig.Config(1, routes, []string{"web", "balance"}, 0, 0), []rig.Place{
		{Service: "web", Zone: "zone-a", Region: "east", Slots: 140},
		{Service: "balance", Zone: "zone-a", Region: "east", Slots: 140},
		{Service: "balance", Zone: "zone-b", Region: "east", Slots: 140},
	})
	entry, leaving := c.Machines[0], c.Backends[1]
	c.Serves(entry, "/balance/1/100")
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	begin := time.Now()
	end := begin.Add(calm + afterDrain + lostFor + after)
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * most / clients)
			var conn *rig.Kept
			for k := 0; time.Now().Before(end); k++ {
				if conn == nil {
					if conn = rig.Dial(entry, 0); conn == nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				id, work := fmt.Sprintf("r-%d-%d", i, k), brief
				if i%2 == 0 {
					work = least + rand.N(most-least)
				}
				record.Printf("sent     %s", id)
				status, err := conn.Do(rig.Request(entry, "GET", fmt.Sprintf("/balance/%d/400", work.Milliseconds()), id, deadline), deadline, 0)
				record.Printf("answer   %s status %d: %v", id, status, err)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				if err != nil || conn.Close {
					_ = conn.Conn.Close()
					conn = nil
				}
				if status == 503 {
					time.Sleep(400 * time.Millisecond) // Retry-After is at most a third of the time left.
				}
			}
		})
	}
	time.Sleep(calm)
	acknowledged := leaving.Drain()
	record.Printf("drain    %s: acknowledged", leaving.ID)
	time.Sleep(afterDrain)
	if os.Getenv("TROUBLE") != "0" {
		record.Printf("trouble  %s loses %.1f of its answers for %v", leaving.ID, lostShare, lostFor)
		leaving.Lose(lostShare)
	}
	time.Sleep(lostFor)
	leaving.Lose(0)
	wg.Wait()
	c.Stop()
	late, again := 0, 0
	for _, a := range leaving.Arrivals() {
		if since := a.At.Sub(acknowledged); since > drain {
			late++
			if a.Before > 0 {
				again++
			}
			record.Printf("late     %s reaches %s %.3f s after the acknowledgement, having run there %d times", a.ID, leaving.ID, since.Seconds(), a.Before)
		}
	}
	text := fmt.Sprintf("statuses %v; requests that reached the leaving server later than 2.5 s after the acknowledgement: %d, of these once more: %d", statuses, late, again)
	record.Printf("end      %s", text)
	fmt.Println(text)
	switch {
	case statuses[200] < 50:
		fmt.Println("could not run: too little was served")
		os.Exit(2)
	case late > 0:
		fmt.Println("DRAIN broken")
		os.Exit(1)
	}
	fmt.Println("held")
}
