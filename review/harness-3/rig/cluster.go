package rig

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Cluster is a small deployment: a store, machines with their nodes, and backend servers.
type Cluster struct {
	Record   *Record
	Store    *Store
	Machines []*Machine
	Backends []*Backend
	Temp     string
}

// Place says where a machine stands and which service its backend server belongs to.
type Place struct {
	Service, Zone, Region string
	Slots                 int
	// Proxy, if not nil, stands before the node's link listener.
	Proxy *Proxy
}

// StartCluster starts a deployment with a configuration and waits until its nodes are ready.
func StartCluster(record *Record, config []byte, places []Place) *Cluster {
	c := &Cluster{Record: record}
	var err error
	if c.Temp, err = os.MkdirTemp("", "review-3-"); err != nil {
		Unable(record, "%v", err)
	}
	if c.Store, err = StartStore("127.0.0.1", record); err != nil {
		Unable(record, "%v", err)
	}
	c.Store.Put("op/config", config)
	for i, p := range places {
		m := &Machine{Name: fmt.Sprintf("m%d-%s", i+1, p.Service), IP: fmt.Sprintf("127.0.1.%d", i+1), Zone: p.Zone, Region: p.Region,
			Service: p.Service, StoreAddress: c.Store.Address, MemoryMB: 284, Dir: c.Temp, Record: record}
		if err := NewMachine(m); err != nil {
			c.Unable("%v", err)
		}
		if p.Proxy != nil {
			ports, err := FreePorts(m.IP, 1)
			if err != nil {
				c.Unable("%v", err)
			}
			m.LinkListen = fmt.Sprintf("%s:%d", m.IP, ports[0])
			if err := p.Proxy.Start(m.Inbound, m.LinkListen); err != nil {
				c.Unable("%v", err)
			}
		}
		if err := m.Start(); err != nil {
			c.Unable("%v", err)
		}
		c.Machines = append(c.Machines, m)
		b := &Backend{ID: fmt.Sprintf("i-%d-%s", i+1, p.Service), Service: p.Service, Address: m.AppAddr, Zone: m.Zone, Control: m.Control, Slots: p.Slots}
		if err := StartBackend(b, record); err != nil {
			c.Unable("%v", err)
		}
		c.Backends = append(c.Backends, b)
		Go(m.Watch)
	}
	for _, m := range c.Machines {
		if !Until(15*time.Second, m.IsReady) {
			c.Unable("%s is not ready", m.Name)
		}
	}
	return c
}

// Serves waits until a machine serves each path.
func (c *Cluster) Serves(m *Machine, paths ...string) {
	n := 0
	for _, path := range paths {
		if !Until(15*time.Second, func() bool {
			n++
			resp, err := http.DefaultClient.Do(Request(m, http.MethodGet, path, fmt.Sprintf("first-%s-%d", m.Name, n), time.Second))
			if err != nil {
				return false
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}) {
			c.Unable("%s does not serve %s", m.Name, path)
		}
	}
}

// Stop ends all processes.
func (c *Cluster) Stop() {
	for _, m := range c.Machines {
		m.Kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.Temp)
	}
}

// Unable ends the script: the case could not run.
func (c *Cluster) Unable(format string, args ...any) {
	c.Stop()
	Unable(c.Record, format, args...)
}

// Runs returns how often a request ran at all backend servers.
func (c *Cluster) Runs(id string) int {
	n := 0
	for _, b := range c.Backends {
		n += b.Runs(id)
	}
	return n
}

// Working returns how many runs of a request have not ended, at all backend servers.
func (c *Cluster) Working(id string) int {
	n := 0
	for _, b := range c.Backends {
		n += b.Working(id)
	}
	return n
}

// Left reports whether the connection of a request was closed while it ran at a backend server.
func (c *Cluster) Left(id string) bool {
	for _, b := range c.Backends {
		if b.Left(id) {
			return true
		}
	}
	return false
}
