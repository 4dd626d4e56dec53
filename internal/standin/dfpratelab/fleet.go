package dfpratelab

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfpshare"
)

const (
	// zoneDelay and regionDelay are one-way delays of the fake channel: within a region and between regions.
	zoneDelay   = time.Millisecond
	regionDelay = 20 * time.Millisecond
	// platformDelay is the one-way delay of the fake platform.
	platformDelay = 2 * time.Millisecond
	// membershipInterval is the time between two updates of the nodes' peers.
	membershipInterval = time.Second
)

// ZoneSize is a zone with the number of its nodes.
type ZoneSize struct {
	Zone, Region string
	Nodes        int
}

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Seed  uint64
	Zones []ZoneSize
	Rules dfpshare.Rules
	// TickInterval is the time between two calls of a node's Limiter.Tick; 0 means dfpshare.TickInterval.
	TickInterval time.Duration
	// Limiter configures the limiter of each node; its Self and Seed are overwritten.
	Limiter dfpshare.Config
	// OnResult, if not nil, is called with the result of each request that was passed to Offer.
	OnResult func(now time.Time, r Request, granted bool)
}

// Request is one request. Offer sets Arrived and Node.
type Request struct {
	Organisation      string
	Arrived           time.Time
	Node              *Node
	Token             dfpshare.Token // if granted
	AdmittedByCentral bool           // the central bucket's decision on arrival
}

// Fleet simulates many nodes, each with a Limiter, over a fake channel in virtual time. It is not safe for
// concurrent use.
type Fleet struct {
	cfg       FleetConfig
	rand      *rand.Rand
	now       time.Time
	events    eventHeap
	sequence  uint64
	Nodes     []*Node
	byAddress map[string]*Node
	tables    map[string]storedTable

	// The current faults. LossRate and DuplicateRate are probabilities per message; LossRate also applies
	// to the platform's answers to writes.
	PlatformDown  bool
	LossRate      float64
	DuplicateRate float64
	ExtraDelay    time.Duration
	cuts          map[[2]string]bool

	// Messages counts the messages between nodes; Reads and Writes count the calls of the platform.
	Messages, Reads, Writes int
	// OnMessage, if not nil, is called with each message that is sent.
	OnMessage func(from string, m dfpshare.Message)
}

type storedTable struct {
	table    dfpshare.Table
	revision uint64
}

// Node is one simulated node.
type Node struct {
	VM      dfpvm.VM
	Limiter *dfpshare.Limiter
	// Dead is set once the process is killed, Stopped once a planned stop has finished.
	Dead        bool
	Stopped     bool
	paused      bool
	backlog     []func()
	waiting     map[dfpshare.WaiterID]Request
	readPending bool
}

// NewFleet returns a fleet whose nodes have just started.
func NewFleet(cfg FleetConfig) *Fleet {
	if cfg.TickInterval == 0 {
		cfg.TickInterval = dfpshare.TickInterval
	}
	f := &Fleet{
		cfg:       cfg,
		rand:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		now:       time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		byAddress: make(map[string]*Node),
		tables:    make(map[string]storedTable),
		cuts:      make(map[[2]string]bool),
	}
	for _, z := range cfg.Zones {
		for range z.Nodes {
			f.Start(z.Zone, z.Region)
		}
	}
	f.updatePeers()
	return f
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Start adds a node on a new VM.
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
	f.byAddress[address] = n
	f.after(time.Duration(f.rand.Int64N(int64(f.cfg.TickInterval))), func() { f.tick(n) })
	return n
}

// Kill kills a node's process. Replace may start a new one at its address.
func (f *Fleet) Kill(n *Node) { n.Dead = true }

// Replace kills the process at a node's address and starts a new one there.
func (f *Fleet) Replace(n *Node) *Node {
	f.Kill(f.byAddress[n.VM.Address])
	return f.startAt(n.VM.Address, n.VM.Zone, n.VM.Region)
}

// Pause suspends a node's process for d. Messages and other events for it wait until it resumes.
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

// Stop begins a planned stop of a node.
func (f *Fleet) Stop(n *Node) {
	f.runAt(n, func() { f.applyEffects(n, n.Limiter.Stop(f.now)) })
}

// SetRules gives a node new rules.
func (f *Fleet) SetRules(n *Node, rules dfpshare.Rules) {
	f.runAt(n, func() { n.Limiter.SetRules(f.now, rules) })
}

// Cut begins or ends a cut between two places, in both directions. A place is the name of a zone, the
// address of a node, or PlatformZone.
func (f *Fleet) Cut(x, y string, cut bool) {
	f.cuts[[2]string{x, y}], f.cuts[[2]string{y, x}] = cut, cut
}

// PlatformZone is the place of the platform in Cut.
const PlatformZone = "platform"

// IsCut reports whether there is a cut between two places.
func (f *Fleet) IsCut(x, y string) bool { return f.cuts[[2]string{x, y}] }

// Available reports whether a node accepts requests.
func (n *Node) Available() bool { return !n.Dead && !n.paused && !n.Stopped }

// Offer submits a request to a node.
func (f *Fleet) Offer(n *Node, r Request) {
	r.Node, r.Arrived = n, f.now
	switch v := n.Limiter.Take(f.now, r.Organisation).(type) {
	case *dfpshare.Granted:
		r.Token = v.Token
		f.reportResult(r, true)
	case *dfpshare.Refused:
		f.reportResult(r, false)
	case *dfpshare.Waiting:
		n.waiting[v.Waiter] = r
		f.applyEffects(n, n.Limiter.Tick(f.now))
	}
}

func (f *Fleet) reportResult(r Request, granted bool) {
	if f.cfg.OnResult != nil {
		f.cfg.OnResult(f.now, r, granted)
	}
}

// Run advances the virtual time by d and runs the events that are due.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// After calls do after d of virtual time.
func (f *Fleet) After(d time.Duration, do func()) { f.after(d, do) }

func (f *Fleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, event{at: f.now.Add(d), sequence: f.sequence, run: do})
}

// runAt runs an event at a node: at once, after the node's pause, or never if the node is dead.
func (f *Fleet) runAt(n *Node, do func()) {
	switch {
	case n.Dead:
	case n.paused:
		n.backlog = append(n.backlog, func() { f.runAt(n, do) })
	default:
		do()
	}
}

func (f *Fleet) tick(n *Node) {
	if n.Dead || n.Stopped {
		return
	}
	if !n.paused {
		f.applyEffects(n, n.Limiter.Tick(f.now))
	}
	f.after(f.cfg.TickInterval, func() { f.tick(n) })
}

// updatePeers tells all nodes which nodes are alive, as the roster does, and schedules the next update.
func (f *Fleet) updatePeers() {
	var vms []dfpvm.VM
	for _, n := range f.Nodes {
		if !n.Dead && !n.Stopped {
			vms = append(vms, n.VM)
		}
	}
	for _, n := range f.Nodes {
		f.runAt(n, func() { n.Limiter.SetPeers(f.now, vms) })
	}
	f.after(membershipInterval, f.updatePeers)
}

// applyEffects carries out the effects that a node's Limiter returned.
func (f *Fleet) applyEffects(n *Node, fx dfpshare.Effects) {
	for _, s := range fx.Sends {
		f.send(n, s)
	}
	for _, d := range fx.Decided {
		r, ok := n.waiting[d.Waiter]
		if !ok {
			panic("dfpratelab: result for an unknown waiter")
		}
		delete(n.waiting, d.Waiter)
		if g, ok := d.Result.(*dfpshare.Granted); ok {
			r.Token = g.Token
		}
		f.reportResult(r, r.Token.Organisation != "")
	}
	if fx.Proposed != nil {
		f.proposeTable(n, *fx.Proposed)
	}
	if fx.ReadTable && !n.readPending {
		f.readTable(n, f.now)
	}
	if fx.Stopped {
		n.Stopped = true
	}
}

func (f *Fleet) send(from *Node, s dfpshare.Send) {
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
	to, ok := f.byAddress[s.To]
	if !ok || f.cutFrom(from.VM, to.VM.Zone) || f.cutFrom(to.VM, from.VM.Address) ||
		f.IsCut(from.VM.Address, to.VM.Address) {
		return
	}
	d := zoneDelay
	if from.VM.Region != to.VM.Region {
		d = regionDelay
	}
	d += time.Duration(f.rand.Int64N(int64(d/4))) + f.extraDelay()
	f.after(d, func() {
		to := f.byAddress[s.To] // The node may have been replaced since the message was sent.
		f.runAt(to, func() {
			if !to.Stopped {
				f.applyEffects(to, to.Limiter.Handle(f.now, from.VM.Address, s.Message))
			}
		})
	})
}

func (f *Fleet) extraDelay() time.Duration {
	if f.ExtraDelay == 0 {
		return 0
	}
	return time.Duration(f.rand.Int64N(int64(f.ExtraDelay)))
}

func (f *Fleet) platformReachable(n *Node) bool {
	return !f.PlatformDown && !f.cutFrom(n.VM, PlatformZone)
}

// cutFrom reports whether there is a cut between a VM or its zone and a place.
func (f *Fleet) cutFrom(vm dfpvm.VM, place string) bool {
	return f.IsCut(vm.Zone, place) || f.IsCut(vm.Address, place)
}

func (f *Fleet) proposeTable(n *Node, p dfpshare.TableProposal) {
	f.after(platformDelay+f.extraDelay(), func() {
		if !f.platformReachable(n) {
			return
		}
		f.Writes++
		stored := f.tables[p.Table.Zone]
		if stored.revision == p.Revision {
			f.tables[p.Table.Zone] = storedTable{table: p.Table, revision: p.Revision + 1}
		}
		if f.rand.Float64() < f.LossRate {
			return // The write has taken effect but its answer is lost.
		}
		f.readTable(n, f.now)
	})
}

func (f *Fleet) readTable(n *Node, asked time.Time) {
	n.readPending = true
	f.after(platformDelay+f.extraDelay(), func() {
		n.readPending = false
		if !f.platformReachable(n) {
			return
		}
		f.Reads++
		stored := f.tables[n.VM.Zone]
		f.after(platformDelay+f.extraDelay(), func() {
			f.runAt(n, func() { n.Limiter.SetTable(f.now, asked, stored.table, stored.revision) })
		})
	})
}
