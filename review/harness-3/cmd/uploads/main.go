// Command uploads is a case of request bodies: backend servers turn slow, and the node that holds the bodies of the
// requests which run or wait there exceeds its memory. The platform kills it, and requests that have been passed on are lost.
package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dragonflyport-review-3/rig"
)

const (
	// Clients upload one body at a time on a kept connection, and again every period.
	uploaders   = 57
	period      = 2500 * time.Millisecond
	uploadBytes = 7 << 20
	uploadWork  = 150
	// slowFactor is how many times as long the servers work while they are slow.
	slowFactor     = 12
	uploadDeadline = 6 * time.Second
	// Orders come on kept connections, one after the other on each.
	orderClients  = 10
	orderWork     = 300
	orderDeadline = 5 * time.Second
	calm          = 8 * time.Second
	trouble       = 9 * time.Second
	after         = 8 * time.Second
)

func main() {
	record, err := rig.NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer record.Close()
	routes := []rig.Route{
		{Prefix: "/photos/", Kind: "unsafe", Service: "photos", Timeout: 6 * time.Second, Priority: 1, Attempts: 2},
		{Prefix: "/orders/", Kind: "unsafe", Service: "orders", Timeout: 4 * time.Second, Priority: 0, Attempts: 2},
	}
	c := rig.StartCluster(record, rig.Config(1, routes, []string{"web", "photos", "orders"}, 0, 0), []rig.Place{
		{Service: "web", Zone: "zone-a", Region: "east", Slots: 140},
		{Service: "photos", Zone: "zone-a", Region: "east", Slots: 140},
		{Service: "photos", Zone: "zone-b", Region: "east", Slots: 140},
		{Service: "orders", Zone: "zone-a", Region: "east", Slots: 140},
	})
	entry := c.Machines[0]
	c.Serves(entry, "/photos/1/100", "/orders/1/100")
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, lost := map[int]int{}, 0
	end := time.Now().Add(calm + trouble + after)
	body := bytes.Repeat([]byte("photo of a clue "), uploadBytes/16)
	client := func(name, path string, deadline, period time.Duration, body []byte) {
		var conn *rig.Kept
		for i := 0; time.Now().Before(end); i++ {
			next := time.Now().Add(period)
			if conn == nil {
				if conn = rig.Dial(entry, 0); conn == nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
			}
			id := fmt.Sprintf("%s-%d", name, i)
			req := rig.Request(entry, "POST", path, id, deadline)
			if body != nil {
				req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			}
			onKept := conn.Used
			status, err := conn.Do(req, deadline, 0)
			ran := c.Runs(id)
			record.Printf("answer   %s status %d, connection kept before: %v, ran %d: %v", id, status, onKept, ran, err)
			mu.Lock()
			if err == nil {
				answered[status]++
			} else if onKept && ran > 0 {
				lost++
			}
			mu.Unlock()
			if err != nil || conn.Close {
				_ = conn.Conn.Close()
				conn = nil
			}
			time.Sleep(time.Until(next))
		}
	}
	for i := range orderClients {
		wg.Go(func() {
			client(fmt.Sprint("order-", i), fmt.Sprintf("/orders/%d/400", orderWork), orderDeadline, 0, nil)
		})
	}
	for i := range uploaders {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * period / uploaders)
			client(fmt.Sprint("photo-", i), fmt.Sprintf("/photos/%d/400", uploadWork), uploadDeadline, period, body)
		})
	}
	time.Sleep(calm)
	slow := func(factor int) {
		record.Printf("trouble  the backend servers of photos work %d times as long", factor)
		c.Backends[1].Slow(factor)
		c.Backends[2].Slow(factor)
	}
	if os.Getenv("TROUBLE") != "0" {
		slow(slowFactor)
	}
	time.Sleep(trouble)
	slow(1)
	wg.Wait()
	ends := 0
	for _, m := range c.Machines {
		text := fmt.Sprintf("%s: peak %d MiB of %d, own ends %d", m.Name, m.Peak, m.MemoryMB, m.OwnEnds)
		record.Printf("machine  %s", text)
		fmt.Println(text)
		ends += m.OwnEnds
	}
	c.Stop()
	text := fmt.Sprintf("answered %v; lost on kept connections after they had been passed on: %d", answered, lost)
	record.Printf("end      %s", text)
	fmt.Println(text)
	switch {
	case lost > 3:
		fmt.Println("LOST broken")
		os.Exit(1)
	case answered[200] < 100:
		fmt.Println("could not run: too little was served")
		os.Exit(2)
	}
	fmt.Println("held")
}
