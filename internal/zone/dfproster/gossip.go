package dfproster

import (
	"math/rand/v2"
	"slices"
	"time"
)

// spread has an address's version passed on during the next ticks.
func (r *Roster) spread(address string, dead bool) {
	if r.cfg.NoGossip {
		return
	}
	r.rumours = slices.DeleteFunc(r.rumours, func(u rumour) bool { return u.address == address })
	r.rumours = append(r.rumours, rumour{address: address, ticks: rumourTicks, dead: dead})
}

// Tick passes fresh news on, compares lists with peers and forgets the long
// gone. It is to be called every TickInterval.
func (r *Roster) Tick(now time.Time, rnd *rand.Rand) Effects {
	var effects Effects
	r.expire(now)
	if message, ok := r.rumourMessage(); ok {
		for _, to := range r.rumourPeers(rnd) {
			effects.Sends = append(effects.Sends, Send{To: to, Message: message})
		}
	}
	if !now.Before(r.nextCompare) {
		r.nextCompare = now.Add(compareInterval)
		r.pruneTroubled()
		for _, to := range r.comparePeers(now, rnd) {
			effects.Sends = append(effects.Sends, Send{To: to, Message: Message{Root: r.root, HasRoot: true}})
		}
		effects.Probes = r.doubtful()
	}
	return effects
}

// rumourMessage takes the rumours that are due for this tick.
func (r *Roster) rumourMessage() (Message, bool) {
	count := min(len(r.rumours), rumoursPerMessage)
	if count == 0 {
		return Message{}, false
	}
	var m Message
	kept := make([]rumour, 0, len(r.rumours))
	for i, u := range r.rumours {
		rec := r.records[u.address]
		if rec == nil {
			continue
		}
		if i < count {
			if u.dead {
				m.Dead = append(m.Dead, u.address)
			} else {
				m.Updates = append(m.Updates, rec.vm)
			}
			u.ticks--
		}
		if u.ticks > 0 {
			kept = append(kept, u)
		}
	}
	r.rumours = kept
	return m, len(m.Updates)+len(m.Dead) > 0
}

// rumourPeers draws peers, most of them of this zone.
func (r *Roster) rumourPeers(rnd *rand.Rand) []string {
	var peers []string
	for i := range rumourFanout {
		list := r.zones[r.self.Zone].addresses
		if i == 0 || len(list) == 1 {
			list = r.addresses
		}
		if to, ok := r.draw(list, rnd, StateUp); ok && !slices.Contains(peers, to) {
			peers = append(peers, to)
		}
	}
	if len(peers) == 0 {
		peers = r.drawSeed(rnd)
	}
	return peers
}

// comparePeers draws whom to compare lists with: one of this zone, at times one
// of any zone, a silent one to find out whether it answers again, and a seed
// when nobody else is known.
func (r *Roster) comparePeers(now time.Time, rnd *rand.Rand) []string {
	var peers []string
	if to, ok := r.draw(r.zones[r.self.Zone].addresses, rnd, StateUp); ok {
		peers = append(peers, to)
	}
	r.compares++
	if len(peers) == 0 || r.compares%crossZoneEvery == 0 {
		if to, ok := r.draw(r.addresses, rnd, StateUp); ok {
			peers = append(peers, to)
		}
	}
	if to, ok := r.draw(r.troubled, rnd, StateSilent); ok {
		peers = append(peers, to)
	}
	if len(peers) == 0 || !now.Before(r.nextSeed) {
		r.nextSeed = now.Add(seedRetry)
		peers = append(peers, r.drawSeed(rnd)...)
	}
	return peers
}

// doubtful returns some of those that failed but are still listed, so that a
// verdict follows soon also where nothing else is sent to them.
func (r *Roster) doubtful() []string {
	var probes []string
	for _, address := range r.troubled {
		if r.records[address].listed() && len(probes) < probesPerCompare {
			probes = append(probes, address)
		}
	}
	return probes
}

// pruneTroubled drops those that answer again, left or died.
func (r *Roster) pruneTroubled() {
	r.troubled = slices.DeleteFunc(r.troubled, func(address string) bool {
		rec := r.records[address]
		return rec == nil || !hashed(rec) || rec.state == StateUp && rec.failures == 0
	})
}

// draw returns a random address of a list, other than this VM's, that hasn't
// left and is in the given state.
func (r *Roster) draw(list []string, rnd *rand.Rand, state State) (string, bool) {
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

func (r *Roster) drawSeed(rnd *rand.Rand) []string {
	seeds := slices.DeleteFunc(slices.Clone(r.cfg.Seeds), func(s string) bool { return s == r.self.Address })
	if len(seeds) == 0 {
		return nil
	}
	return []string{seeds[rnd.IntN(len(seeds))]}
}

// Handle takes in a peer's message. It counts as hearing that peer.
func (r *Roster) Handle(now time.Time, from string, m Message) Effects {
	effects := r.RecordContact(now, from, 0)
	effects.add(r.Merge(now, SourcePeer, m.Updates))
	effects.add(r.suspects(now, m.Dead))
	var answer Message
	if m.HasRoot && m.Root != r.root {
		answer.Zones = r.zoneHashes()
	}
	if len(m.Zones) > 0 {
		answer.Buckets = r.differingZones(m.Zones)
	}
	if len(m.Buckets) > 0 {
		answer.Wants = r.differingBuckets(m.Buckets)
		r.fill(&answer, answer.Wants)
	}
	if len(m.Wants) > 0 {
		r.fill(&answer, m.Wants)
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

// differingZones returns this node's buckets of the zones that differ from a
// peer's, those known to one side only included.
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

// fill adds the versions of buckets to a message, those that left included, so
// that the other side learns what it has missed.
func (r *Roster) fill(m *Message, masks []BucketMask) {
	for _, mask := range masks {
		z := r.zones[mask.Zone]
		if z == nil {
			continue
		}
		for _, address := range z.addresses {
			if mask.Mask&(1<<bucketOf(address)) == 0 {
				continue
			}
			if len(m.Updates) == recordsPerMessage {
				m.More = true
				return
			}
			m.add(r.records[address])
		}
	}
}

// add adds what is known of one VM.
func (m *Message) add(rec *record) {
	if rec.state == StateDead {
		m.Dead = append(m.Dead, rec.vm.Address)
		return
	}
	m.Updates = append(m.Updates, rec.vm)
}
