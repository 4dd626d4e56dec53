package dfpratelab

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfpshare"
)

// Delays of the fake channel, one way, and of the fake platform.
const (
	zoneDelay     = time.Millisecond
	regionDelay   = 20 * time.Millisecond
	platformDelay = 2 * time.Millisecond
	peersInterval = time.Second
)

// ZoneSize is a zone and the number of its nodes.
type ZoneSize struct {
	Zone, Region string
	Nodes        int
}

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Seed  uint64
	Zones []ZoneSize
	Rules dfpshare.Rules
	// TickInterval is the time between two Ticks of a node; zero means dfpshare.TickInterval.
	TickInterval time.Duration
	// Limiter is copied to each node; Self and Seed are filled in.
	Limiter dfpshare.Config
	// OnResult hears each verdict on a request that Offer brought.
	OnResult func(now time.Time, r Request, granted bool)
}

// Request is one request on its way.
type Request struct {
	Organisation      string
	Arrived           time.Time
	Node              *Node
	Token             dfpshare.Token // if granted
	AdmittedByCentral bool           // what the judge decided on arrival
}

// Fleet drives the Shares of many nodes over a fake channel in virtual time.
type Fleet struct {
	cfg    FleetConfig
	rand   *rand.Rand
	now    time.Time
	events eventHeap
	serial uint64
	Nodes  []*Node
	byAddr map[string]*Node
	tables map[string]storedTable

	// Faults in force.
	PlatformDown  bool
	LossRate      float64
	DuplicateRate float64
	ExtraDelay    time.Duration
	cuts          map[[2]string]bool

	// Messages counts messages between two nodes; Reads and Writes calls of the platform.
	Messages, Reads, Writes int
	// OnMessage sees each message that is sent, for counting bytes.
	OnMessage func(from string, m dfpshare.Message)
}

type storedTable struct {
	table    dfpshare.Table
	revision uint64
}

// Node is one virtual node.
type Node struct {
	VM      dfpvm.VM
	Limiter *dfpshare.Limiter
	Dead    bool
	Stopped bool
	paused  bool
	backlog []func()
	waiting map[dfpshare.WaiterID]Request
	reading bool
}

// NewFleet returns a fleet that has just started.
func NewFleet(cfg FleetConfig) *Fleet {
	if cfg.TickInterval == 0 {
		cfg.TickInterval = dfpshare.TickInterval
	}
	f := &Fleet{
		cfg:    cfg,
		rand:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		now:    time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		byAddr: make(map[string]*Node),
		tables: make(map[string]storedTable),
		cuts:   make(map[[2]string]bool),
	}
	for _, p := range cfg.Zones {
		for range p.Nodes {
			f.Start(p.Zone, p.Region)
		}
	}
	f.announce()
	return f
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Start adds a node of a new VM.
func (f *Fleet) Start(zone, region string) *Node {
	return f.startAt(fmt.Sprintf("%s-%d", zone, len(f.Nodes)), zone, region)
}

func (f *Fleet) startAt(address, zone, region string) *Node {
	n := &Node{
		VM: dfpvm.VM{
			Address: address, Zone: zone, Region: region, Incarnation: f.rand.Uint64(),
		},
		waiting: make(map[dfpshare.WaiterID]Request),
	}
	cfg := f.cfg.Limiter
	cfg.Self, cfg.Seed = n.VM, f.cfg.Seed
	n.Limiter = dfpshare.New(cfg, f.now)
	n.Limiter.SetRules(f.now, f.cfg.Rules)
	f.Nodes = append(f.Nodes, n)
	f.byAddr[address] = n
	f.after(time.Duration(f.rand.Int64N(int64(f.cfg.TickInterval))), func() { f.tick(n) })
	return n
}

// Kill ends a node's process; its VM may be replaced under the same address.
func (f *Fleet) Kill(n *Node) { n.Dead = true }

// Replace ends the process at a node's address and starts a new one there.
func (f *Fleet) Replace(n *Node) *Node {
	f.Kill(f.byAddr[n.VM.Address])
	return f.startAt(n.VM.Address, n.VM.Zone, n.VM.Region)
}

// Pause stops a node's process for d; what it is sent meanwhile waits.
func (f *Fleet) Pause(n *Node, d time.Duration) {
	if n.paused || n.Dead {
		return
	}
	n.paused = true
	f.after(d, func() {
		n.paused = false
		backlog := n.backlog
		n.backlog = nil
		for _, event := range backlog {
			event()
		}
	})
}

// Stop begins a planned stop.
func (f *Fleet) Stop(n *Node) {
	f.at(n, func() { f.apply(n, n.Limiter.Stop(f.now)) })
}

// SetRules brings new rules to a node.
func (f *Fleet) SetRules(n *Node, rules dfpshare.Rules) {
	f.at(n, func() { n.Limiter.SetRules(f.now, rules) })
}

// Cut cuts or mends the way between two zones, or between a node, named by its
// address, and a zone or node; PlatformZone names the platform.
func (f *Fleet) Cut(x, y string, cut bool) {
	f.cuts[[2]string{x, y}], f.cuts[[2]string{y, x}] = cut, cut
}

// PlatformZone stands for the platform in Cut.
const PlatformZone = "platform"

// IsCut reports whether two zones can't reach each other.
func (f *Fleet) IsCut(x, y string) bool { return f.cuts[[2]string{x, y}] }

// Available reports whether a node takes requests.
func (n *Node) Available() bool { return !n.Dead && !n.paused && !n.Stopped }

// Offer brings a request to a node.
func (f *Fleet) Offer(n *Node, r Request) {
	r.Node, r.Arrived = n, f.now
	switch v := n.Limiter.Take(f.now, r.Organisation).(type) {
	case *dfpshare.Granted:
		r.Token = v.Token
		f.verdict(r, true)
	case *dfpshare.Refused:
		f.verdict(r, false)
	case *dfpshare.Waiting:
		n.waiting[v.Waiter] = r
		f.apply(n, n.Limiter.Tick(f.now))
	}
}

func (f *Fleet) verdict(r Request, granted bool) {
	if f.cfg.OnResult != nil {
		f.cfg.OnResult(f.now, r, granted)
	}
}

// Run moves the time forward by d.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// After calls do in virtual time.
func (f *Fleet) After(d time.Duration, do func()) { f.after(d, do) }

func (f *Fleet) after(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.events, event{at: f.now.Add(d), serial: f.serial, do: do})
}

// at runs an event at a node: at once, after its pause, or never if it is dead.
func (f *Fleet) at(n *Node, do func()) {
	switch {
	case n.Dead:
	case n.paused:
		n.backlog = append(n.backlog, func() { f.at(n, do) })
	default:
		do()
	}
}

func (f *Fleet) tick(n *Node) {
	if n.Dead || n.Stopped {
		return
	}
	if !n.paused {
		f.apply(n, n.Limiter.Tick(f.now))
	}
	f.after(f.cfg.TickInterval, func() { f.tick(n) })
}

// announce tells all nodes who is alive, as a roster would.
func (f *Fleet) announce() {
	var vms []dfpvm.VM
	for _, n := range f.Nodes {
		if !n.Dead && !n.Stopped {
			vms = append(vms, n.VM)
		}
	}
	for _, n := range f.Nodes {
		f.at(n, func() { n.Limiter.SetPeers(f.now, vms) })
	}
	f.after(peersInterval, f.announce)
}

// apply carries out what a Share asked for.
func (f *Fleet) apply(n *Node, fx dfpshare.Effects) {
	for _, s := range fx.Sends {
		f.deliver(n, s)
	}
	for _, d := range fx.Decided {
		r, ok := n.waiting[d.Waiter]
		if !ok {
			panic("dfpratelab: verdict on an unknown ticket")
		}
		delete(n.waiting, d.Waiter)
		if g, ok := d.Result.(*dfpshare.Granted); ok {
			r.Token = g.Token
		}
		f.verdict(r, r.Token.Organisation != "")
	}
	if fx.Proposed != nil {
		f.propose(n, *fx.Proposed)
	}
	if fx.ReadTable && !n.reading {
		f.read(n, f.now)
	}
	if fx.Stopped {
		n.Stopped = true
	}
}

func (f *Fleet) deliver(from *Node, s dfpshare.Send) {
	f.Messages++
	if f.OnMessage != nil {
		f.OnMessage(from.VM.Address, s.Message)
	}
	copies := 1
	if f.rand.Float64() < f.LossRate {
		copies = 0
	}
	if f.rand.Float64() < f.DuplicateRate {
		copies++
	}
	for range copies {
		f.deliverOnce(from, s)
	}
}

func (f *Fleet) deliverOnce(from *Node, s dfpshare.Send) {
	to, ok := f.byAddr[s.To]
	if !ok || f.apart(from.VM, to.VM.Zone) || f.apart(to.VM, from.VM.Address) ||
		f.IsCut(from.VM.Address, to.VM.Address) {
		return
	}
	d := zoneDelay
	if from.VM.Region != to.VM.Region {
		d = regionDelay
	}
	d += time.Duration(f.rand.Int64N(int64(d/4))) + f.extra()
	f.after(d, func() {
		to := f.byAddr[s.To] // Who answers there now.
		f.at(to, func() {
			if !to.Stopped {
				f.apply(to, to.Limiter.Handle(f.now, from.VM.Address, s.Message))
			}
		})
	})
}

func (f *Fleet) extra() time.Duration {
	if f.ExtraDelay == 0 {
		return 0
	}
	return time.Duration(f.rand.Int64N(int64(f.ExtraDelay)))
}

func (f *Fleet) platformReachable(n *Node) bool {
	return !f.PlatformDown && !f.apart(n.VM, PlatformZone)
}

// apart reports whether a VM or its zone is cut off from a place.
func (f *Fleet) apart(vm dfpvm.VM, place string) bool {
	return f.IsCut(vm.Zone, place) || f.IsCut(vm.Address, place)
}

func (f *Fleet) propose(n *Node, p dfpshare.TableProposal) {
	f.after(platformDelay+f.extra(), func() {
		if !f.platformReachable(n) {
			return
		}
		f.Writes++
		stored := f.tables[p.Table.Zone]
		if stored.revision == p.Revision {
			f.tables[p.Table.Zone] = storedTable{table: p.Table, revision: p.Revision + 1}
		}
		if f.rand.Float64() < f.LossRate {
			return // The answer is lost after the write has taken effect.
		}
		f.read(n, f.now)
	})
}

func (f *Fleet) read(n *Node, asked time.Time) {
	n.reading = true
	f.after(platformDelay+f.extra(), func() {
		n.reading = false
		if !f.platformReachable(n) {
			return
		}
		f.Reads++
		stored := f.tables[n.VM.Zone]
		f.after(platformDelay+f.extra(), func() {
			f.at(n, func() { n.Limiter.SetTable(f.now, asked, stored.table, stored.revision) })
		})
	})
}
