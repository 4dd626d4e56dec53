// Command memory is case 11: clients read large answers slowly, and the node that holds these answers for them
// exceeds its memory. The platform kills it, and requests of other clients that have been passed on are lost.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dragonflyport-review-3/rig"
)

const (
	// Readers slow clients each ask for one answer at a time, Pause between the first requests of two of them.
	readers     = 60
	pause       = 60 * time.Millisecond
	answerBytes = 7 << 20
	// slowRate is how fast a slow client reads, in bytes per second: it has the whole answer in 7 s.
	slowRate       = 1 << 20
	readerDeadline = 12 * time.Second
	// Orders come on kept connections, one after the other on each.
	orderClients  = 10
	orderWork     = 300
	orderDeadline = 5 * time.Second
	calm          = 6 * time.Second
	trouble       = 24 * time.Second
)

func main() {
	dir := os.Args[1]
	slow := os.Getenv("TROUBLE") != "0"
	record, err := rig.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "review-11-")
	if err != nil {
		rig.Unable(record, "%v", err)
	}
	store, err := rig.StartStore("127.0.0.1", record)
	if err != nil {
		rig.Unable(record, "%v", err)
	}
	routes := []rig.Route{
		{Prefix: "/files/", Kind: "safe", Service: "files", Timeout: 10 * time.Second, Priority: 2, Attempts: 2},
		{Prefix: "/orders/", Kind: "unsafe", Service: "orders", Timeout: 4 * time.Second, Priority: 0, Attempts: 2},
	}
	services := []string{"web", "files", "orders"}
	store.Put("op/config", rig.Config(1, routes, services, 0, 0))
	var machines []*rig.Machine
	backends := map[string]*rig.Backend{}
	stop := func() {
		for _, m := range machines {
			m.Kill()
		}
		_ = os.RemoveAll(temp)
	}
	unable := func(format string, args ...any) {
		stop()
		rig.Unable(record, format, args...)
	}
	for i, service := range services {
		m := &rig.Machine{Name: "m" + fmt.Sprint(i+1) + "-" + service, IP: fmt.Sprintf("127.0.1.%d", i+1), Zone: "zone-a", Region: "east",
			Service: service, StoreAddress: store.Address, MemoryMB: 284, Dir: temp, Record: record}
		if err := rig.NewMachine(m); err != nil {
			unable("%v", err)
		}
		if err := m.Start(); err != nil {
			unable("%v", err)
		}
		machines = append(machines, m)
		b := &rig.Backend{ID: "i-" + service, Service: service, Address: m.AppAddr, Zone: m.Zone, Control: m.Control, Slots: 140}
		if err := rig.StartBackend(b, record); err != nil {
			unable("%v", err)
		}
		backends[service] = b
		rig.Go(m.Watch)
	}
	entry := machines[0]
	for _, m := range machines {
		if !rig.Until(15*time.Second, m.IsReady) {
			unable("%s is not ready", m.Name)
		}
	}
	n := 0
	for _, path := range []string{"/files/1/100", "/orders/1/100"} {
		if !rig.Until(15*time.Second, func() bool {
			n++
			resp, err := http.DefaultClient.Do(rig.Request(entry, http.MethodGet, path, fmt.Sprintf("first-%d", n), time.Second))
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}) {
			unable("no answer to %s", path)
		}
	}
	record.Printf("begin    slow readers: %v", slow)

	var clients sync.WaitGroup
	end := time.Now().Add(calm + trouble)
	var mu sync.Mutex
	answered, lost, whole, failed := 0, 0, 0, 0
	for c := range orderClients {
		clients.Go(func() {
			for i, conn := 0, (*kept)(nil); time.Now().Before(end); i++ {
				id := fmt.Sprintf("order-%d-%d", c, i)
				if conn == nil {
					if conn = dial(entry); conn == nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				onKept := conn.used
				status, err := conn.do(rig.Request(entry, http.MethodPost, fmt.Sprintf("/orders/%d/400", orderWork), id, orderDeadline), orderDeadline, nil)
				mu.Lock()
				if err != nil {
					ran := backends["orders"].Runs(id)
					record.Printf("order    %s no answer, connection kept before: %v, ran %d: %v", id, onKept, ran, err)
					if onKept && ran > 0 {
						lost++
					}
				} else if status == http.StatusOK {
					answered++
				}
				mu.Unlock()
				if err != nil {
					conn.close()
					conn = nil
				}
			}
		})
	}
	time.Sleep(calm)
	for c := range readers {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * pause)
			for i := 0; time.Now().Before(end.Add(-readerDeadline)); i++ {
				id := fmt.Sprintf("file-%d-%d", c, i)
				rate := 0
				if slow {
					rate = slowRate
				}
				conn := dial(entry)
				if conn == nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				started := time.Now()
				status, err := conn.do(rig.Request(entry, http.MethodGet, fmt.Sprintf("/files/20/%d", answerBytes), id, readerDeadline), readerDeadline, &rate)
				conn.close()
				record.Printf("file     %s status %d after %.1f s: %v", id, status, time.Since(started).Seconds(), err)
				mu.Lock()
				if err == nil && status == http.StatusOK {
					whole++
				} else {
					failed++
				}
				mu.Unlock()
				if rest := 8*time.Second - time.Since(started); rest > 0 {
					time.Sleep(rest) // A client asks again 8 s after its last request, whether it reads slowly or not.
				}
			}
		})
	}
	clients.Wait()
	ends := 0
	for _, m := range machines {
		record.Printf("machine  %s: peak %d MiB of %d, ends %d", m.Name, m.Peak, m.MemoryMB, m.OwnEnds)
		fmt.Printf("%s: peak %d MiB of %d, own ends %d\n", m.Name, m.Peak, m.MemoryMB, m.OwnEnds)
		ends += m.OwnEnds
	}
	stop()
	record.Printf("end      orders answered %d, lost after they ran on a kept connection %d; files whole %d, not whole %d", answered, lost, whole, failed)
	fmt.Printf("orders answered %d, lost on kept connections after they had been passed on %d; files whole %d, not whole %d\n", answered, lost, whole, failed)
	switch {
	case lost > 3:
		fmt.Println("LOST broken")
		os.Exit(1)
	case answered == 0 || whole == 0 && !slow:
		fmt.Println("could not run: nothing was served")
		os.Exit(2)
	}
	fmt.Println("held")
}

// kept is a client's connection.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

func dial(m *rig.Machine) *kept {
	conn, err := net.DialTimeout("tcp", m.Outbound, time.Second)
	if err != nil {
		return nil
	}
	return &kept{conn: conn}
}

func (k *kept) close() { _ = k.conn.Close() }

// do sends a request and reads the whole answer. rate, if not nil and not 0, is how fast the body is read.
func (k *kept) do(req *http.Request, deadline time.Duration, rate *int) (int, error) {
	if k.reader == nil {
		if rate != nil {
			_ = k.conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		}
		k.reader = bufio.NewReaderSize(k.conn, 16<<10)
	}
	_ = k.conn.SetDeadline(time.Now().Add(deadline))
	if err := req.Write(k.conn); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.reader, req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var total int64
	start := time.Now()
	for {
		read, err := io.CopyN(io.Discard, resp.Body, 32<<10)
		total += read
		if err == io.EOF {
			k.used = true
			return resp.StatusCode, nil
		}
		if err != nil {
			return resp.StatusCode, err
		}
		if rate != nil && *rate > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(float64(total) / float64(*rate) * float64(time.Second)))))
		}
	}
}
