package dfproster

import (
	"math/rand/v2"
	"slices"
	"time"
)

// enqueueGossip has an address's version, or the report that it is dead, sent to peers during the next ticks.
func (r *Roster) enqueueGossip(address string, dead bool) {
	if r.cfg.NoGossip {
		return
	}
	r.gossip = slices.DeleteFunc(r.gossip, func(g gossipItem) bool { return g.address == address })
	r.gossip = append(r.gossip, gossipItem{address: address, ticks: gossipTicks, dead: dead})
}

// Tick gossips fresh updates, compares lists with peers and deletes old
// tombstones. It must be called every TickInterval.
func (r *Roster) Tick(now time.Time, rnd *rand.Rand) Effects {
	var effects Effects
	r.deleteTombstones(now)
	if message, ok := r.gossipMessage(); ok {
		for _, to := range r.gossipPeers(rnd) {
			effects.Sends = append(effects.Sends, Send{To: to, Message: message})
		}
	}
	if !now.Before(r.nextCompare) {
		r.nextCompare = now.Add(compareInterval)
		r.pruneFailing()
		for _, to := range r.comparePeers(now, rnd) {
			effects.Sends = append(effects.Sends, Send{To: to, Message: Message{Root: r.root, HasRoot: true}})
		}
		effects.Probes = r.failingProbes()
	}
	return effects
}

// gossipMessage returns the message of this tick, and false if there is nothing to gossip.
func (r *Roster) gossipMessage() (Message, bool) {
	count := min(len(r.gossip), maxGossipPerMessage)
	if count == 0 {
		return Message{}, false
	}
	var m Message
	kept := make([]gossipItem, 0, len(r.gossip))
	for i, g := range r.gossip {
		rec := r.records[g.address]
		if rec == nil {
			continue
		}
		if i < count {
			if g.dead {
				m.Dead = append(m.Dead, g.address)
			} else {
				m.Updates = append(m.Updates, rec.vm)
			}
			g.ticks--
		}
		if g.ticks > 0 {
			kept = append(kept, g)
		}
	}
	r.gossip = kept
	return m, len(m.Updates)+len(m.Dead) > 0
}

// gossipPeers picks the peers for this tick's gossip: one of any zone, the others of this zone.
func (r *Roster) gossipPeers(rnd *rand.Rand) []string {
	var peers []string
	for i := range gossipFanout {
		list := r.zones[r.self.Zone].addresses
		if i == 0 || len(list) == 1 {
			list = r.addresses
		}
		if to, ok := r.pick(list, rnd, StateUp); ok && !slices.Contains(peers, to) {
			peers = append(peers, to)
		}
	}
	if len(peers) == 0 {
		peers = r.pickSeed(rnd)
	}
	return peers
}

// comparePeers picks the peers to compare lists with: one of this zone, at times one
// of any zone, a silent one to find out whether it answers again, and a seed if
// there is nobody else or seedInterval has passed.
func (r *Roster) comparePeers(now time.Time, rnd *rand.Rand) []string {
	var peers []string
	if to, ok := r.pick(r.zones[r.self.Zone].addresses, rnd, StateUp); ok {
		peers = append(peers, to)
	}
	r.comparisons++
	if len(peers) == 0 || r.comparisons%compareAnyZoneEvery == 0 {
		if to, ok := r.pick(r.addresses, rnd, StateUp); ok {
			peers = append(peers, to)
		}
	}
	if to, ok := r.pick(r.failing, rnd, StateSilent); ok {
		peers = append(peers, to)
	}
	if len(peers) == 0 || !now.Before(r.nextSeed) {
		r.nextSeed = now.Add(seedInterval)
		peers = append(peers, r.pickSeed(rnd)...)
	}
	return peers
}

// failingProbes returns some of the addresses that have failed but still count as reachable, so that
// their state is decided soon even if this node sends them nothing else.
func (r *Roster) failingProbes() []string {
	var probes []string
	for _, address := range r.failing {
		if r.records[address].reachable() && len(probes) < maxProbesPerCompare {
			probes = append(probes, address)
		}
	}
	return probes
}

// pruneFailing drops from failing the VMs that answer again, left or died.
func (r *Roster) pruneFailing() {
	r.failing = slices.DeleteFunc(r.failing, func(address string) bool {
		rec := r.records[address]
		return rec == nil || !inHashes(rec) || rec.state == StateUp && rec.failures == 0
	})
}

// pick returns a random address of a list, other than this VM's, whose VM has not
// left and is in the given state.
func (r *Roster) pick(list []string, rnd *rand.Rand, state State) (string, bool) {
	if len(list) == 0 {
		return "", false
	}
	start := rnd.IntN(len(list))
	for i := range list {
		address := list[(start+i)%len(list)]
		rec := r.records[address]
		if address != r.self.Address && !rec.vm.Left && rec.state == state {
			return address, true
		}
	}
	return "", false
}

// pickSeed returns one random seed other than this VM, or none if there is none.
func (r *Roster) pickSeed(rnd *rand.Rand) []string {
	seeds := slices.DeleteFunc(slices.Clone(r.cfg.Seeds), func(s string) bool { return s == r.self.Address })
	if len(seeds) == 0 {
		return nil
	}
	return []string{seeds[rnd.IntN(len(seeds))]}
}

// Handle processes a peer's message. It also records a contact with that peer.
func (r *Roster) Handle(now time.Time, from string, m Message) Effects {
	effects := r.RecordContact(now, from, 0)
	effects.add(r.Merge(now, SourcePeer, m.Updates))
	effects.add(r.handleDead(now, m.Dead))
	var answer Message
	if m.HasRoot && m.Root != r.root {
		answer.Zones = r.zoneHashes()
	}
	if len(m.Zones) > 0 {
		answer.Buckets = r.differingZones(m.Zones)
	}
	if len(m.Buckets) > 0 {
		answer.Wants = r.differingBuckets(m.Buckets)
		r.addBuckets(&answer, answer.Wants)
	}
	if len(m.Wants) > 0 {
		r.addBuckets(&answer, m.Wants)
	}
	if m.More {
		answer.Root, answer.HasRoot = r.root, true
	}
	if !answer.empty() {
		effects.Sends = append(effects.Sends, Send{To: from, Message: answer})
	}
	return effects
}

func (m Message) empty() bool {
	return !m.HasRoot && len(m.Zones)+len(m.Buckets)+len(m.Wants)+len(m.Updates)+len(m.Dead) == 0
}

func (r *Roster) zoneHashes() []ZoneHash {
	hashes := make([]ZoneHash, 0, len(r.zoneNames))
	for _, name := range r.zoneNames {
		hashes = append(hashes, ZoneHash{Zone: name, Hash: r.zones[name].hash})
	}
	return hashes
}

// differingZones returns this node's bucket hashes of the zones whose hashes differ from a
// peer's, zones known to only one of the two nodes included.
func (r *Roster) differingZones(theirs []ZoneHash) []BucketHashes {
	var differing []BucketHashes
	seen := make(map[string]bool, len(theirs))
	for _, z := range theirs {
		seen[z.Zone] = true
		own := r.zones[z.Zone]
		switch {
		case own == nil:
			differing = append(differing, BucketHashes{Zone: z.Zone, Hashes: make([]uint64, bucketsPerZone)})
		case own.hash != z.Hash:
			differing = append(differing, BucketHashes{Zone: z.Zone, Hashes: own.buckets[:]})
		}
	}
	for _, name := range r.zoneNames {
		if !seen[name] {
			differing = append(differing, BucketHashes{Zone: name, Hashes: r.zones[name].buckets[:]})
		}
	}
	for i := range differing {
		differing[i].Hashes = slices.Clone(differing[i].Hashes)
	}
	return differing
}

// differingBuckets returns the buckets whose hashes differ from a peer's.
func (r *Roster) differingBuckets(theirs []BucketHashes) []BucketMask {
	var masks []BucketMask
	for _, b := range theirs {
		var own [bucketsPerZone]uint64
		if z := r.zones[b.Zone]; z != nil {
			own = z.buckets
		}
		mask := uint64(0)
		for i, h := range own {
			if i < len(b.Hashes) && b.Hashes[i] != h {
				mask |= 1 << i
			}
		}
		if mask != 0 {
			masks = append(masks, BucketMask{Zone: b.Zone, Mask: mask})
		}
	}
	return masks
}

// addBuckets adds the records of buckets to a message, tombstones included, so
// that the peer gets what it has missed.
func (r *Roster) addBuckets(m *Message, masks []BucketMask) {
	for _, mask := range masks {
		z := r.zones[mask.Zone]
		if z == nil {
			continue
		}
		for _, address := range z.addresses {
			if mask.Mask&(1<<bucketOf(address)) == 0 {
				continue
			}
			if len(m.Updates) == maxUpdatesPerMessage {
				m.More = true
				return
			}
			m.add(r.records[address])
		}
	}
}

// add adds a record to the message: its version, or its address if the VM is dead.
func (m *Message) add(rec *record) {
	if rec.state == StateDead {
		m.Dead = append(m.Dead, rec.vm.Address)
		return
	}
	m.Updates = append(m.Updates, rec.vm)
}
