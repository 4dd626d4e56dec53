// Command drill is a case of quotas: the store comes back from a copy some seconds old while the node that grants a
// tenant's tokens is killed.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"dragonflyport-review-3/rig"
)

const (
	// The tenant's quota, and the bounds of the site.
	rate, burst = 40, 400
	window      = 5 * time.Second
	overage     = 0.1
	slack       = 20
	// Before the flood a few clients of the tenant keep the quota's reserve in use.
	calm = 8 * time.Second
	// The flood is at the first machine, and then at the others.
	flood     = 900 * time.Millisecond
	away      = 600 * time.Millisecond
	press     = 9 * time.Second
	clients   = 60
	perClient = 12 * time.Millisecond
)

type sent struct {
	id string
	at time.Time
}

func main() {
	record, err := rig.NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	drill := trouble && os.Getenv("DRILL") != "0"
	routes := []rig.Route{{Prefix: "/balance/", Kind: "safe", Service: "balance", Timeout: 3 * time.Second, Priority: 2, Attempts: 2}}
	place := rig.Place{Service: "balance", Zone: "zone-a", Region: "east", Slots: 140}
	c := rig.StartCluster(record, rig.Config(1, routes, []string{"balance"}, rate, burst), []rig.Place{place, place, place, place})
	c.Serves(c.Machines[0], "/balance/1/100")
	var mu sync.Mutex
	var all []sent
	statuses := map[int]int{}
	ask := func(m *rig.Machine, id string) {
		at := time.Now()
		mu.Lock()
		all = append(all, sent{id, at})
		mu.Unlock()
		conn := rig.Dial(m, 0)
		status := 0
		if conn != nil {
			record.Printf("sent     %s at %s", id, m.Name)
			status, _ = conn.Do(rig.Request(m, "GET", "/balance/20/100", id, time.Second), time.Second, 0)
			_ = conn.Conn.Close()
		}
		record.Printf("answer   %s at %s status %d", id, m.Name, status)
		mu.Lock()
		statuses[status]++
		mu.Unlock()
	}
	var wg sync.WaitGroup
	run := func(name string, machines []*rig.Machine, until time.Time, pause time.Duration) {
		for i := range clients {
			m := machines[i%len(machines)]
			wg.Go(func() {
				for k := 0; time.Now().Before(until); k++ {
					ask(m, fmt.Sprintf("%s-%d-%d", name, i, k))
					time.Sleep(pause)
				}
			})
		}
	}
	begin := time.Now()
	for time.Since(begin) < calm {
		ask(c.Machines[0], fmt.Sprintf("calm-%d", time.Since(begin).Milliseconds()))
		time.Sleep(500 * time.Millisecond)
	}
	saved := c.Store.Copy()
	record.Printf("store    is copied")
	floodEnd := time.Now().Add(flood)
	run("flood", c.Machines[:1], floodEnd.Add(-200*time.Millisecond), perClient)
	time.Sleep(time.Until(floodEnd))
	if drill {
		record.Printf("store    is away")
		c.Store.SetTurn(func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}
	time.Sleep(away / 2)
	if trouble {
		c.Machines[0].Signal(syscall.SIGKILL)
	}
	run("press", c.Machines[1:], time.Now().Add(press), 20*perClient)
	time.Sleep(away / 2)
	if drill {
		c.Store.Restore(saved)
		c.Store.SetTurn(nil)
	}
	wg.Wait()
	c.Stop()
	type run1 struct{ sent, ran time.Time }
	var runs []run1
	for _, s := range all {
		for _, b := range c.Backends {
			if at, found := b.RanAt(s.id); found && !strings.HasPrefix(s.id, "first") {
				runs = append(runs, run1{s.at, at})
				break
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	worst, at := 0, 0.0
	for i := range runs {
		n, from := 0, runs[i].sent
		for _, r := range runs[i:] {
			if r.sent.Before(from.Add(window)) && r.ran.Before(from.Add(window)) {
				n++
			}
		}
		if n > worst {
			worst, at = n, from.Sub(begin).Seconds()
		}
	}
	allowed := int((rate*window.Seconds()+burst)*(1+overage) + slack)
	text := fmt.Sprintf("sent %d, statuses %v, ran %d; in the worst 5 s, from %.1f s, ran %d, allowed %d", len(all), statuses, len(runs), at, worst, allowed)
	record.Printf("end      %s", text)
	fmt.Println(text)
	switch {
	case len(runs) < allowed/2:
		fmt.Println("could not run: too little was served")
		os.Exit(2)
	case worst > allowed:
		fmt.Println("QUOTA broken")
		os.Exit(1)
	}
	fmt.Println("held")
}
