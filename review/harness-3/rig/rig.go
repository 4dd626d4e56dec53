// Package rig holds the stand-ins of the third review's scripts: the platform's store, backend servers, clients and
// the part of the platform that starts, watches and ends node processes. All of them listen on loopback addresses.
package rig

import (
	_ "embed"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

//go:embed wire.txt
var wireText string

// wire maps short names to the names of the platform's protocol.
var wire = parseWire(wireText)

func parseWire(text string) map[string]string {
	names := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		name, value, _ := strings.Cut(line, " ")
		names[name] = value
	}
	return names
}

// Wire returns the name in the platform's protocol for a short name of wire.txt.
func Wire(name string) string {
	value, found := wire[name]
	if !found {
		panic("rig: no wire name for " + name)
	}
	return value
}

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line with the time since the start in seconds.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// FreePorts returns ports that are free at an address.
func FreePorts(ip string, n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
