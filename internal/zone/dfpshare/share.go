package dfpshare

import (
	"math/rand/v2"
	"slices"
	"time"

	"dragonflyport/internal/vm/dfpvm"
)

// An address that did not answer is passed over for firstSuspicion, and for twice as
// long each time that it goes on not answering, up to maxSuspicion.
const (
	firstSuspicion = time.Second
	maxSuspicion   = 16 * time.Second
)

// suspicion says until when an address is passed over.
type suspicion struct {
	until  time.Time
	length time.Duration
}

// Limiter is one node's part in keeping the rates: entry, and home of the slots that
// it owns. It is not locked inside; the node calls it under one mutex.
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
	buyers       map[uint64]*bucket // by id of the purchase's ask
	leaseAskers  map[uint64]*bucket // by id of the LeaseRequest
	busyBuckets  []*bucket
	slots        map[int]*slotState

	// partsVersion is the rules version at which the zones' parts last changed.
	partsVersion  uint64
	keptRules     uint64
	zoneConfirmed map[string]uint64
	formerZones   []string
	confirmedAt   time.Time
	helloAt       time.Time

	asks, batches, tickets uint64

	sends    []Send
	decided  []Decision
	proposed *TableProposal
	want     bool
	stopping bool
	stopped  bool
}

// slotState is a slot that this node owns.
type slotState struct {
	since uint64
	start time.Time
	// releasing says that the slot is about to be handed over and isn't used.
	releasing bool
	balances  map[string]Balance
	handed    time.Time
}

// New returns the Limiter of a process that has just started.
func New(cfg Config, now time.Time) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{
		cfg:           cfg,
		rand:          rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		member:        newMembership(now),
		zoneTables:    make(map[string]ZoneTable),
		peers:         make(map[string][]string),
		suspected:     make(map[string]suspicion),
		accounts:      make(map[string]*account),
		buckets:       make(map[string]*bucket),
		buyers:        make(map[uint64]*bucket),
		leaseAskers:   make(map[uint64]*bucket),
		slots:         make(map[int]*slotState),
		zoneConfirmed: make(map[string]uint64),
	}
}

func (s *Limiter) self() Owner {
	return Owner{Address: s.cfg.Self.Address, Incarnation: s.cfg.Self.Incarnation}
}

// SetPeers tells which VMs are alive, as far as the roster knows.
func (s *Limiter) SetPeers(_ time.Time, peers []dfpvm.VM) {
	s.peers = make(map[string][]string)
	for _, vm := range peers {
		if vm.Address != s.cfg.Self.Address && !vm.Left {
			s.peers[vm.Zone] = append(s.peers[vm.Zone], vm.Address)
		}
	}
	for zone := range s.peers {
		slices.Sort(s.peers[zone])
	}
}

// SetUnreachable reports that a connection to address was refused: no process
// listens there. Silence is not that.
func (s *Limiter) SetUnreachable(now time.Time, address string) {
	s.suspect(now, address)
	s.member.refuse(address)
}

// Handle takes a message from the node at address from.
func (s *Limiter) Handle(now time.Time, from string, m Message) Effects {
	s.deliver(now, from, m)
	return s.finish(now)
}

func (s *Limiter) deliver(now time.Time, from string, m Message) {
	s.hearRules(m.Zone, m.ZoneRulesVersion)
	s.hearMember(now, from, m)
	for _, t := range m.ZoneTables {
		s.learnTable(now, t)
	}
	if m.Ping != nil {
		s.handlePing(from, *m.Ping)
	}
	if m.Pong != nil {
		s.handlePong(now, Owner{Address: from, Incarnation: m.Incarnation}, *m.Pong)
	}
	for _, h := range m.Handovers {
		s.handleHandover(now, h)
	}
	for _, x := range m.UsageReports {
		s.handleUsageReport(now, x)
	}
	for _, x := range m.LeaseRequests {
		s.handleLeaseRequest(now, from, m.Zone, x)
	}
	for _, x := range m.LeaseResponses {
		s.handleLeaseResponse(now, x)
	}
	for _, x := range m.BatchResponses {
		s.handleBatchResponse(now, from, x)
	}
	for _, x := range m.BatchRequests {
		s.handleBatchRequest(now, from, x)
	}
}

// Tick does what is due; the node calls it every TickInterval, and after *Waiting.
func (s *Limiter) Tick(now time.Time) Effects {
	s.tickMembership(now)
	return s.finish(now)
}

// maxRounds bounds how often messages of this node to itself make new ones.
const maxRounds = 8

// finish works off what is busy and hands out the effects. What this node sends to
// itself, as entry and home, is delivered at once.
func (s *Limiter) finish(now time.Time) Effects {
	for range maxRounds {
		s.tickBusy(now)
		m, ok := s.takeOwn()
		if !ok {
			break
		}
		s.deliver(now, s.cfg.Self.Address, m)
	}
	own, ok := s.takeOwn() // Too many rounds: the rest goes on with the next call.
	fx := Effects{
		Sends: s.sends, Decided: s.decided, Proposed: s.proposed,
		ReadTable: s.want, Stopped: s.stopped,
	}
	if len(fx.Sends) > 0 {
		rules, zoneRules := s.confirmedRules(), s.zoneRules()
		for i := range fx.Sends {
			m := &fx.Sends[i].Message
			m.Zone, m.Incarnation = s.cfg.Self.Zone, s.cfg.Self.Incarnation
			m.RulesVersion, m.ZoneRulesVersion = rules, zoneRules
		}
	}
	s.sends, s.decided, s.proposed, s.want = nil, nil, nil, false
	if ok {
		s.sends = []Send{{To: s.cfg.Self.Address, Message: own}}
	}
	return fx
}

// tickBusy works off the accounts and buckets that have something to do.
func (s *Limiter) tickBusy(now time.Time) {
	accounts := s.busyAccounts
	s.busyAccounts = nil
	for _, a := range accounts {
		a.busy = false
		if s.tickAccount(now, a) {
			s.setBusyAccount(a)
		}
	}
	buckets := s.busyBuckets
	s.busyBuckets = nil
	for _, b := range buckets {
		b.busy = false
		if s.buckets[b.key] == b && s.tickBucket(now, b) {
			s.setBusy(b)
		}
	}
}

// takeOwn takes the message to this node itself out of the sends.
func (s *Limiter) takeOwn() (Message, bool) {
	for i := range s.sends {
		if s.sends[i].To == s.cfg.Self.Address {
			m := s.sends[i].Message
			m.Zone, m.Incarnation = s.cfg.Self.Zone, s.cfg.Self.Incarnation
			s.sends = slices.Delete(s.sends, i, i+1)
			return m, true
		}
	}
	return Message{}, false
}

// send returns the message to an address that is being put together.
func (s *Limiter) send(to string) *Message {
	for i := range s.sends {
		if s.sends[i].To == to {
			return &s.sends[i].Message
		}
	}
	s.sends = append(s.sends, Send{To: to})
	return &s.sends[len(s.sends)-1].Message
}

func (s *Limiter) reply(to string, a BatchResponse) {
	m := s.send(to)
	m.BatchResponses = append(m.BatchResponses, a)
}

func (s *Limiter) setBusy(b *bucket) {
	if !b.busy {
		b.busy = true
		s.busyBuckets = append(s.busyBuckets, b)
	}
}

func (s *Limiter) setBusyAccount(a *account) {
	if !a.busy {
		a.busy = true
		s.busyAccounts = append(s.busyAccounts, a)
	}
}

// accountOf returns the account of an organisation, nil if no rule names it.
func (s *Limiter) accountOf(name string) *account {
	if a, ok := s.accounts[name]; ok {
		if a.org.rate <= 0 {
			return nil
		}
		return a
	}
	org, ok := s.orgs[name]
	if !ok {
		return nil
	}
	a := &account{org: org, horizon: s.cfg.BatchHorizon}
	s.accounts[name] = a
	return a
}

// bucketOf returns the bucket of a part if this node may use it now.
func (s *Limiter) bucketOf(now time.Time, key string) *bucket {
	p, ok := s.parts[key]
	if !ok || len(s.table.Slots) == 0 {
		return nil
	}
	slot := s.slots[s.table.slotOf(p.org.hash, p.index)]
	if slot == nil || slot.releasing || s.rules.Version < s.table.RulesVersion || !s.mayUse(now) {
		return nil
	}
	if b, ok := s.buckets[key]; ok {
		return b
	}
	b := s.newBucket(now, p, slot)
	s.buckets[key] = b
	return b
}

// newBucket makes the bucket of a slot as it has been since the slot came. It starts
// empty, and stays so while tokens of a former owner may be out, unless that handed
// over its balance. In a zone that is new nothing was ever sold: it starts full.
func (s *Limiter) newBucket(now time.Time, p *part, slot *slotState) *bucket {
	f := s.fraction() / partsPerZone
	b := &bucket{
		part: p, at: slot.start, rate: p.org.rate * f, burst: p.org.burst * f,
		recordOf: make(map[uint64]*record),
	}
	b.phantom, b.phantomUntil = b.burst, slot.start.Add(s.cfg.quarantine())
	if slot.since == firstVersion || s.cfg.Unsafe.TakeOverFull {
		b.level, b.phantom = b.burst, 0
	}
	if balance, ok := slot.balances[p.key]; ok {
		b.takeOver(slot.handed, balance, s.cfg)
	}
	b.refill(now, s.cfg.Unsafe)
	return b
}

// takeOver puts in force what the former owner handed over at a time.
func (b *bucket) takeOver(at time.Time, balance Balance, cfg Config) {
	b.at = at
	b.level = balance.Level
	b.phantom = balance.Outstanding
	b.phantomUntil = at.Add(balance.Remaining + cfg.ClockMargin)
	b.advance(at, cfg.Unsafe)
}

// home returns which part to ask for an organisation's tokens and where: in this zone, or
// in another one while no home here can be reached.
func (s *Limiter) home(now time.Time, org *organisation) (key, address string, ok bool) {
	for _, p := range org.routes {
		if address, ok := s.partHome(now, p, org); ok {
			return partKey(org.name, p.part), address, true
		}
	}
	return "", "", false
}

// partHome returns where to ask for a part: the slot's owner, or any node of the zone
// while its table isn't known.
func (s *Limiter) partHome(now time.Time, p place, org *organisation) (string, bool) {
	table := s.table
	if p.zone != s.cfg.Self.Zone {
		table = s.zoneTables[p.zone].Table
	}
	if len(table.Slots) > 0 {
		owner, _ := table.slotOwner(table.slotOf(org.hash, p.part))
		return owner.Address, !s.isSuspected(now, owner.Address)
	}
	peers := s.peers[p.zone]
	for i := range peers {
		address := peers[(int(org.hash%uint64(len(peers)))+i)%len(peers)]
		if !s.isSuspected(now, address) {
			return address, true
		}
	}
	return "", false
}

func (s *Limiter) isSuspected(now time.Time, address string) bool {
	x, ok := s.suspected[address]
	return ok && now.Before(x.until)
}

// suspect passes an address over for a while, and forgets tables that may be out of
// date about it.
func (s *Limiter) suspect(now time.Time, address string) {
	if s.isSuspected(now, address) {
		return // Of an ask that was under way before.
	}
	length := min(max(firstSuspicion, 2*s.suspected[address].length), maxSuspicion)
	s.suspected[address] = suspicion{until: now.Add(length), length: length}
	for zone, t := range s.zoneTables {
		for _, m := range t.Table.Members {
			if m.Owner.Address == address {
				delete(s.zoneTables, zone)
			}
		}
	}
}

// suspectHome passes over a node that said it isn't the organisation's home, unless
// a newer table already leads elsewhere.
func (s *Limiter) suspectHome(now time.Time, address string, org *organisation) {
	if _, next, ok := s.home(now, org); ok && next == address {
		s.suspected[address] = suspicion{until: now.Add(s.cfg.RefillWait)}
	}
}

func contains(list []string, x string) bool { return slices.Contains(list, x) }
