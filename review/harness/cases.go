package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const key = "6wsjnbanfqasnmgkcuyj"

// route is a row of the configuration's routes.
type route struct {
	name, prefix, kind, timeout string
	split                       any
	service                     any
}

// configure writes a version of the configuration as the operator does.
func (w *world) configure(version int, services []string, routes ...route) {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, host, r.prefix, r.kind, r.timeout, "1500ms", 1, r.split, 2, false, r.service})
	}
	var serviceRows [][]any
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/healthz", 940, "h1", false})
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout", "target_latency", "priority", "traffic_split", "max_attempts", "public", "service"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": serviceRows},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants": map[string]any{
			"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"},
			"rows":    [][]any{{"pulo780", []string{key}, 1, 0, 0}},
		},
	})
	check(err)
	w.store.write("op/config", text)
	w.note("operator: version %d acknowledged: %s", version, text)
}

// memory lets clients read large answers slowly. The node holds whole answers for them without a bound.
func memory(w *world, trouble bool) outcome {
	size := func(path string) int {
		if len(path) > 7 && path[:7] == "/photo/" {
			return 4 << 20
		}
		return 1500
	}
	mk := func() *backend { return &backend{work: 150 * time.Millisecond, answer: size} }
	w.addNode("wien-a", "ost", "album", mk())
	w.addNode("wien-a", "ost", "orders", mk())
	w.addNode("wien-b", "ost", "album", mk())
	w.addNode("wien-b", "ost", "orders", mk())
	w.configure(7, []string{"album", "orders"},
		route{"r-photo", "/photo/", "download", "5000ms", nil, "album"}, route{"r-order", "/order/", "unsafe", "5000ms", nil, "orders"})
	for _, n := range w.nodes {
		n.backend.begin(fmt.Sprintf("i-%d", n.index))
		n.run()
	}
	w.awaitReady()
	w.note("traffic starts")
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	stop := time.Now().Add(25 * time.Second)
	loop := func(name, method, path string, every, offset time.Duration, slow int) {
		wg.Go(func() {
			c := &client{w: w, address: w.nodes[0].outbound, deadline: 5 * time.Second, slow: slow, name: name}
			defer c.close()
			time.Sleep(offset)
			for time.Now().Before(stop) {
				began := time.Now()
				var body []byte
				if method == "POST" {
					body = []byte("an order")
				}
				res := c.do(method, path, key, body)
				w.note("client %s: %s %s kept=%v status=%d complete=%v closed=%v err=%v", name, res.id, path, res.reused, res.status, res.complete, res.closed, res.err)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				if res.err != nil {
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(time.Until(began.Add(every)))
			}
		})
	}
	for i := range 20 {
		loop(fmt.Sprintf("o%d", i), "POST", fmt.Sprintf("/order/%d", i), 200*time.Millisecond, time.Duration(i)*10*time.Millisecond, 0)
	}
	slow := 0
	if trouble {
		slow = 200 << 10
	}
	for i := range 100 {
		loop(fmt.Sprintf("p%d", i), "GET", fmt.Sprintf("/photo/%d", i), 6*time.Second, time.Duration(i)*60*time.Millisecond, slow)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	lost, orders, good := 0, 0, 0
	for _, r := range results {
		if r.complete && r.status == 200 {
			good++
		}
		if !r.closed || !r.reused {
			continue
		}
		if run, _ := w.ran(r.id); run != nil {
			lost++
			if r.path[:7] == "/order/" {
				orders++
			}
			w.note("LOST: %s was sent on a kept connection, ran at %s, and the connection ended without an answer: %v", r.id, run.instance, r.err)
		}
	}
	text := fmt.Sprintf("%d requests, %d answered in full with 200; %d on kept connections were passed on and ended without an answer (%d of them orders; more than 3 break LOST); process ends: node 1 %d; peak memory of node 1: %d MB",
		len(results), good, lost, orders, w.nodes[0].ends, w.nodes[0].peakMB)
	return outcome{lost > 3, text}
}

// split puts a route that takes bodies above 1 MiB on two services instead of one.
func split(w *world, trouble bool) outcome {
	mk := func() *backend {
		return &backend{work: 50 * time.Millisecond, answer: func(string) int { return 1500 }}
	}
	w.addNode("wien-a", "ost", "orders", mk())
	w.addNode("wien-a", "ost", "orders2", mk())
	w.addNode("wien-b", "ost", "orders", mk())
	w.addNode("wien-b", "ost", "orders2", mk())
	services := []string{"orders", "orders2"}
	w.configure(7, services, route{"r-order", "/order/", "unsafe", "5000ms", nil, "orders"})
	for _, n := range w.nodes {
		n.backend.begin(fmt.Sprintf("i-%d", n.index))
		n.run()
	}
	w.awaitReady()
	w.note("traffic starts")
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	stop := time.Now().Add(20 * time.Second)
	for i := range 4 {
		wg.Go(func() {
			c := &client{w: w, address: w.nodes[i].outbound, deadline: 5 * time.Second, name: fmt.Sprintf("c%d", i)}
			defer c.close()
			for n := 0; time.Now().Before(stop); n++ {
				size := 1500
				if n%2 == 1 {
					size = 2 << 20
				}
				res := c.do("POST", fmt.Sprintf("/order/%d", i), key, make([]byte, size))
				w.note("client %s: %s %d bytes: status=%d seal=%q complete=%v err=%v", c.name, res.id, size, res.status, res.seal, res.complete, res.err)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.configure(12, services, route{"r-order", "/order/", "unsafe", "5000ms", []map[string]any{{"service": "orders", "weight": 90}, {"service": "orders2", "weight": 10}}, nil})
	}
	wg.Wait()
	denied, good := 0, 0
	for _, r := range results {
		if r.complete && r.status == 200 {
			good++
		}
		if r.complete && r.seal == "" && r.status >= 300 && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429 {
			denied++
		}
	}
	limit := 5 + len(results)/500
	return outcome{denied > limit, fmt.Sprintf("%d requests, %d answered with 200, %d ended by the node with a 4xx of its own (more than %d break DENIED)", len(results), good, denied, limit)}
}

// upload lets the backends read long orders slowly. The node holds the whole bodies for them without a bound.
func upload(w *world, trouble bool) outcome {
	slow := 0
	if trouble {
		slow = 1 << 20
	}
	mk := func() *backend {
		return &backend{work: 150 * time.Millisecond, answer: func(string) int { return 1500 }, slowRead: slow}
	}
	w.addNode("wien-a", "ost", "album", mk())
	w.addNode("wien-a", "ost", "orders", mk())
	w.addNode("wien-b", "ost", "orders", mk())
	w.addNode("wien-b", "ost", "orders", mk())
	w.configure(7, []string{"album", "orders"}, route{"r-order", "/order/", "unsafe", "5000ms", nil, "orders"}, route{"r-album", "/album/", "unsafe", "5000ms", nil, "album"})
	for _, n := range w.nodes {
		n.backend.begin(fmt.Sprintf("i-%d", n.index))
		n.run()
	}
	w.awaitReady()
	w.note("traffic starts")
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	stop := time.Now().Add(20 * time.Second)
	loop := func(name, path string, every, offset time.Duration, bytes int) {
		wg.Go(func() {
			c := &client{w: w, address: w.nodes[0].outbound, deadline: 5 * time.Second, name: name}
			defer c.close()
			time.Sleep(offset)
			for time.Now().Before(stop) {
				began := time.Now()
				res := c.do("POST", path, key, make([]byte, bytes))
				w.note("client %s: %s %s %d bytes kept=%v status=%d complete=%v closed=%v err=%v", name, res.id, path, bytes, res.reused, res.status, res.complete, res.closed, res.err)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				if res.err != nil {
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(time.Until(began.Add(every)))
			}
		})
	}
	for i := range 20 {
		loop(fmt.Sprintf("o%d", i), fmt.Sprintf("/album/%d", i), 200*time.Millisecond, time.Duration(i)*10*time.Millisecond, 1200)
	}
	for i := range 100 {
		loop(fmt.Sprintf("u%d", i), fmt.Sprintf("/order/%d", i), 5*time.Second, time.Duration(i)*50*time.Millisecond, 4<<20)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	lost, small, good := 0, 0, 0
	for _, r := range results {
		if r.complete && r.status == 200 {
			good++
		}
		if !r.closed || !r.reused {
			continue
		}
		if run, _ := w.ran(r.id); run != nil {
			lost++
			if r.path[:7] == "/album/" {
				small++
			}
			w.note("LOST: %s was sent on a kept connection, ran at %s, and the connection ended without an answer: %v", r.id, run.instance, r.err)
		}
	}
	text := fmt.Sprintf("%d requests, %d answered in full with 200; %d on kept connections were passed on and ended without an answer (%d of them short ones; more than 3 break LOST); process ends and peak memory:",
		len(results), good, lost, small)
	for _, n := range w.nodes {
		text += fmt.Sprintf(" node %d: %d, %d MB;", n.index, n.ends, n.peakMB)
	}
	return outcome{lost > 3, text}
}
