package dfpshare

import (
	"math/rand/v2"
	"slices"
	"time"

	"dragonflyport/internal/vm/dfpvm"
)

// An address that did not respond is avoided for firstSuspicion, and for twice as long each further time,
// up to maxSuspicion.
const (
	firstSuspicion = time.Second
	maxSuspicion   = 16 * time.Second
)

// suspicion records until when an address is avoided, and for how long in all.
type suspicion struct {
	until    time.Time
	duration time.Duration
}

// Limiter is one node's part in limiting the rates: it is an entry node, and the home of the parts in the
// slots that it owns. It is not safe for concurrent use; the node guards it with a mutex.
type Limiter struct {
	cfg   Config
	rand  *rand.Rand
	rules Rules
	orgs  map[string]*organisation

	table    Table
	revision uint64
	member   membership
	// zoneTables holds the last known tables of other zones.
	zoneTables map[string]ZoneTable
	peers      map[string][]string // addresses by zone, sorted
	suspected  map[string]suspicion

	accounts     map[string]*account
	busyAccounts []*account
	buckets      map[string]*bucket // by part
	parts        map[string]*part
	fetching     map[uint64]*bucket // by id of the fetch's BatchRequest
	borrowers    map[uint64]*bucket // by id of the LeaseRequest
	busyBuckets  []*bucket
	slots        map[int]*slotState

	// fractionsVersion is the rules version at which the zones' fractions last changed.
	fractionsVersion uint64
	confirmedVersion uint64
	confirmedByZone  map[string]uint64
	knownZones       []string
	allConfirmedAt   time.Time
	rulesAnnouncedAt time.Time

	lastRequestID, lastBatchID, lastWaiterID uint64

	sends     []Send
	decided   []Decision
	proposed  *TableProposal
	readTable bool
	stopping  bool
	stopped   bool
}

// slotState is a slot that this node owns.
type slotState struct {
	since uint64
	start time.Time
	// releasing is set when the slot is about to be handed over and must not be used.
	releasing    bool
	balances     map[string]Balance
	handedOverAt time.Time
}

// New returns the Limiter of a process that has just started.
func New(cfg Config, now time.Time) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{
		cfg:             cfg,
		rand:            rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		member:          newMembership(now),
		zoneTables:      make(map[string]ZoneTable),
		peers:           make(map[string][]string),
		suspected:       make(map[string]suspicion),
		accounts:        make(map[string]*account),
		buckets:         make(map[string]*bucket),
		fetching:        make(map[uint64]*bucket),
		borrowers:       make(map[uint64]*bucket),
		slots:           make(map[int]*slotState),
		confirmedByZone: make(map[string]uint64),
	}
}

func (lim *Limiter) self() Owner {
	return Owner{Address: lim.cfg.Self.Address, Incarnation: lim.cfg.Self.Incarnation}
}

// SetPeers sets the VMs that are alive according to the roster.
func (lim *Limiter) SetPeers(_ time.Time, peers []dfpvm.VM) {
	lim.peers = make(map[string][]string)
	for _, vm := range peers {
		if vm.Address != lim.cfg.Self.Address && !vm.Left {
			lim.peers[vm.Zone] = append(lim.peers[vm.Zone], vm.Address)
		}
	}
	for zone := range lim.peers {
		slices.Sort(lim.peers[zone])
	}
}

// SetUnreachable reports that a connection to address was refused, which means that no process listens
// there. It must not be called for an address that is merely silent.
func (lim *Limiter) SetUnreachable(now time.Time, address string) {
	lim.suspect(now, address)
	lim.member.markUnreachable(address)
}

// Handle handles a message from the node at address from.
func (lim *Limiter) Handle(now time.Time, from string, m Message) Effects {
	lim.deliver(now, from, m)
	return lim.finish(now)
}

func (lim *Limiter) deliver(now time.Time, from string, m Message) {
	lim.noteZoneRules(m.Zone, m.ZoneRulesVersion)
	lim.noteContact(now, from, m)
	for _, t := range m.ZoneTables {
		lim.learnTable(now, t)
	}
	if m.Ping != nil {
		lim.handlePing(from, *m.Ping)
	}
	if m.Pong != nil {
		lim.handlePong(now, Owner{Address: from, Incarnation: m.Incarnation}, *m.Pong)
	}
	for _, h := range m.Handovers {
		lim.handleHandover(now, h)
	}
	for _, x := range m.UsageReports {
		lim.handleUsageReport(now, x)
	}
	for _, x := range m.LeaseRequests {
		lim.handleLeaseRequest(now, from, m.Zone, x)
	}
	for _, x := range m.LeaseResponses {
		lim.handleLeaseResponse(now, x)
	}
	for _, x := range m.BatchResponses {
		lim.handleBatchResponse(now, from, x)
	}
	for _, x := range m.BatchRequests {
		lim.handleBatchRequest(now, from, x)
	}
}

// Tick does the pending work. The node calls it every TickInterval, and at once after *Waiting.
func (lim *Limiter) Tick(now time.Time) Effects {
	lim.tickMembership(now)
	return lim.finish(now)
}

// maxRounds limits how often messages of this node to itself are delivered in one call, as they can cause
// new ones.
const maxRounds = 8

// finish does the pending work and returns the effects. Messages from this node to itself, as entry node
// and home, are delivered at once.
func (lim *Limiter) finish(now time.Time) Effects {
	for range maxRounds {
		lim.runBusy(now)
		m, ok := lim.takeSelfMessage()
		if !ok {
			break
		}
		lim.deliver(now, lim.cfg.Self.Address, m)
	}
	selfMessage, ok := lim.takeSelfMessage() // What is left after maxRounds is kept for the next call.
	fx := Effects{
		Sends: lim.sends, Decided: lim.decided, Proposed: lim.proposed,
		ReadTable: lim.readTable, Stopped: lim.stopped,
	}
	if len(fx.Sends) > 0 {
		rules, zoneRules := lim.confirmedRules(), lim.zoneRules()
		for i := range fx.Sends {
			m := &fx.Sends[i].Message
			m.Zone, m.Incarnation = lim.cfg.Self.Zone, lim.cfg.Self.Incarnation
			m.RulesVersion, m.ZoneRulesVersion = rules, zoneRules
		}
	}
	lim.sends, lim.decided, lim.proposed, lim.readTable = nil, nil, nil, false
	if ok {
		lim.sends = []Send{{To: lim.cfg.Self.Address, Message: selfMessage}}
	}
	return fx
}

// runBusy does the work of the accounts and buckets that have any.
func (lim *Limiter) runBusy(now time.Time) {
	accounts := lim.busyAccounts
	lim.busyAccounts = nil
	for _, a := range accounts {
		a.busy = false
		if lim.tickAccount(now, a) {
			lim.setBusyAccount(a)
		}
	}
	buckets := lim.busyBuckets
	lim.busyBuckets = nil
	for _, b := range buckets {
		b.busy = false
		if lim.buckets[b.key] == b && lim.tickBucket(now, b) {
			lim.setBusy(b)
		}
	}
}

// takeSelfMessage removes the message to this node itself from the sends and returns it.
func (lim *Limiter) takeSelfMessage() (Message, bool) {
	for i := range lim.sends {
		if lim.sends[i].To == lim.cfg.Self.Address {
			m := lim.sends[i].Message
			m.Zone, m.Incarnation = lim.cfg.Self.Zone, lim.cfg.Self.Incarnation
			lim.sends = slices.Delete(lim.sends, i, i+1)
			return m, true
		}
	}
	return Message{}, false
}

// send returns the message under construction for an address.
func (lim *Limiter) send(to string) *Message {
	for i := range lim.sends {
		if lim.sends[i].To == to {
			return &lim.sends[i].Message
		}
	}
	lim.sends = append(lim.sends, Send{To: to})
	return &lim.sends[len(lim.sends)-1].Message
}

func (lim *Limiter) reply(to string, r BatchResponse) {
	m := lim.send(to)
	m.BatchResponses = append(m.BatchResponses, r)
}

func (lim *Limiter) setBusy(b *bucket) {
	if !b.busy {
		b.busy = true
		lim.busyBuckets = append(lim.busyBuckets, b)
	}
}

func (lim *Limiter) setBusyAccount(a *account) {
	if !a.busy {
		a.busy = true
		lim.busyAccounts = append(lim.busyAccounts, a)
	}
}

// accountOf returns the account of an organisation, or nil if no rule names it.
func (lim *Limiter) accountOf(name string) *account {
	if a, ok := lim.accounts[name]; ok {
		if a.org.rate <= 0 {
			return nil
		}
		return a
	}
	org, ok := lim.orgs[name]
	if !ok {
		return nil
	}
	a := &account{org: org, horizon: lim.cfg.BatchHorizon}
	lim.accounts[name] = a
	return a
}

// bucketOf returns the bucket of a part, or nil if this node may not use it now.
func (lim *Limiter) bucketOf(now time.Time, key string) *bucket {
	p, ok := lim.parts[key]
	if !ok || len(lim.table.Slots) == 0 {
		return nil
	}
	slot := lim.slots[lim.table.slotOf(p.org.hash, p.index)]
	if slot == nil || slot.releasing || lim.rules.Version < lim.table.RulesVersion || !lim.mayUseSlots(now) {
		return nil
	}
	if b, ok := lim.buckets[key]; ok {
		return b
	}
	b := lim.newBucket(now, p, slot)
	lim.buckets[key] = b
	return b
}

// newBucket returns a bucket as if it had existed since this node got the slot. The bucket starts empty, and
// stays so while tokens from a former owner may be outstanding, unless that owner handed over its balance. In
// a new zone no tokens were ever issued, so the bucket starts full.
func (lim *Limiter) newBucket(now time.Time, p *part, slot *slotState) *bucket {
	f := lim.fraction() / partsPerZone
	b := &bucket{
		part: p, at: slot.start, rate: p.org.rate * f, burst: p.org.burst * f,
		issuedByID: make(map[uint64]*issuedBatch),
	}
	b.inherited, b.inheritedUntil = b.burst, slot.start.Add(lim.cfg.quarantine())
	if slot.since == firstVersion || lim.cfg.Unsafe.TakeOverFull {
		b.level, b.inherited = b.burst, 0
	}
	if balance, ok := slot.balances[p.key]; ok {
		b.applyBalance(slot.handedOverAt, balance, lim.cfg)
	}
	b.refill(now, lim.cfg.Unsafe)
	return b
}

// applyBalance sets the state that the former owner handed over at a point in time.
func (b *bucket) applyBalance(at time.Time, balance Balance, cfg Config) {
	b.at = at
	b.level = balance.Level
	b.inherited = balance.Outstanding
	b.inheritedUntil = at.Add(balance.Remaining + cfg.ClockMargin)
	b.advance(at, cfg.Unsafe)
}

// home returns the part to request an organisation's tokens from and its home's address: in this zone, or
// in another one while no home in this zone can be reached.
func (lim *Limiter) home(now time.Time, org *organisation) (key, address string, ok bool) {
	for _, p := range org.routes {
		if address, ok := lim.partHome(now, p, org); ok {
			return partKey(org.name, p.index), address, true
		}
	}
	return "", "", false
}

// partHome returns the address to request a part's tokens from: the owner of the slot, or any node of the
// zone while the zone's table is not known.
func (lim *Limiter) partHome(now time.Time, p partID, org *organisation) (string, bool) {
	table := lim.table
	if p.zone != lim.cfg.Self.Zone {
		table = lim.zoneTables[p.zone].Table
	}
	if len(table.Slots) > 0 {
		owner, _ := table.slotOwner(table.slotOf(org.hash, p.index))
		return owner.Address, !lim.isSuspected(now, owner.Address)
	}
	peers := lim.peers[p.zone]
	for i := range peers {
		address := peers[(int(org.hash%uint64(len(peers)))+i)%len(peers)]
		if !lim.isSuspected(now, address) {
			return address, true
		}
	}
	return "", false
}

func (lim *Limiter) isSuspected(now time.Time, address string) bool {
	x, ok := lim.suspected[address]
	return ok && now.Before(x.until)
}

// suspect avoids an address for a while and drops the tables of other zones that name it, as they may be
// out of date.
func (lim *Limiter) suspect(now time.Time, address string) {
	if lim.isSuspected(now, address) {
		return // The request was sent before the suspicion began.
	}
	duration := min(max(firstSuspicion, 2*lim.suspected[address].duration), maxSuspicion)
	lim.suspected[address] = suspicion{until: now.Add(duration), duration: duration}
	for zone, t := range lim.zoneTables {
		for _, m := range t.Table.Members {
			if m.Owner.Address == address {
				delete(lim.zoneTables, zone)
			}
		}
	}
}

// suspectHome avoids a node that said that it is not the organisation's home, unless a newer table already
// names another one.
func (lim *Limiter) suspectHome(now time.Time, address string, org *organisation) {
	if _, next, ok := lim.home(now, org); ok && next == address {
		lim.suspected[address] = suspicion{until: now.Add(lim.cfg.RefillWait)}
	}
}

func contains(list []string, x string) bool { return slices.Contains(list, x) }
