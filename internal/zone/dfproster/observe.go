package dfproster

import "time"

// RecordContact says that a frame of a VM's process arrived. An incarnation of 0 stands
// for that which is known.
func (r *Roster) RecordContact(_ time.Time, address string, incarnation uint64) Effects {
	rec := r.records[address]
	if rec == nil || address == r.self.Address {
		return Effects{}
	}
	if incarnation != 0 && incarnation != rec.vm.Incarnation {
		return Effects{} // A new process, whose own news is still to come.
	}
	rec.failures, rec.refusals = 0, 0
	if rec.state == StateUp {
		return Effects{}
	}
	wasSilent := rec.state == StateSilent
	r.setState(rec, StateUp)
	if wasSilent {
		r.recall(rec.vm.Zone)
	}
	return Effects{Changed: true}
}

// recall takes the silent VMs of a zone back when one of them is heard again,
// since a partition ends for all of them at once.
func (r *Roster) recall(zone string) {
	for _, address := range r.zones[zone].addresses {
		rec := r.records[address]
		if rec.state == StateSilent {
			rec.failures, rec.refusals = 0, 0
			r.setState(rec, StateUp)
		}
	}
}

// RecordFailure says that a VM could not be reached: refused for a connection that its
// address refused, else it didn't answer in time. A single failure is no verdict.
func (r *Roster) RecordFailure(now time.Time, address string, refused bool) Effects {
	rec := r.records[address]
	if rec == nil || address == r.self.Address || rec.vm.Left || rec.state == StateDead {
		return Effects{}
	}
	if rec.failures == 0 {
		rec.firstFailure = now
		r.troubled = insertSorted(r.troubled, address)
	}
	rec.failures++
	if refused {
		rec.refusals++
	} else {
		rec.refusals = 0
	}
	failing := now.Sub(rec.firstFailure)
	switch {
	case rec.refusals >= minFailures && failing >= deadAfter:
		return r.bury(now, rec)
	case rec.failures >= minFailures && failing >= silentAfter && rec.state == StateUp:
		r.setState(rec, StateSilent)
		return Effects{Changed: true}
	case rec.lapsed && failing >= lapsedDead:
		return r.bury(now, rec)
	}
	return Effects{}
}

// bury marks a record dead and tells the others to look for themselves.
func (r *Roster) bury(now time.Time, rec *record) Effects {
	r.setState(rec, StateDead)
	rec.since = now
	r.spread(rec.vm.Address, true)
	return Effects{Changed: true}
}

// suspects answers a peer's word that addresses are dead: it is probed, not
// believed. If it is this VM's own address, a later version refutes it.
func (r *Roster) suspects(now time.Time, addresses []string) Effects {
	var effects Effects
	for _, address := range addresses {
		if address == r.self.Address && !r.self.Left && !now.Before(r.nextRefute) {
			r.nextRefute = now.Add(refuteInterval)
			next := r.self
			next.Sequence++
			effects.add(r.replaceSelf(now, next))
		}
		rec := r.records[address]
		if rec != nil && address != r.self.Address && hashed(rec) && rec.failures == 0 {
			effects.Probes = append(effects.Probes, address)
		}
	}
	return effects
}

// expire forgets those who left or died long ago.
func (r *Roster) expire(now time.Time) {
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(time.Minute)
	var old []string
	for _, address := range r.addresses {
		rec := r.records[address]
		gone := rec.vm.Left || rec.state == StateDead
		if gone && address != r.self.Address && now.Sub(rec.since) > tombstoneTTL {
			old = append(old, address)
		}
	}
	for _, address := range old {
		r.forget(address)
	}
}
