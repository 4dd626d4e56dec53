package dfproster

import "time"

// RecordContact records that a message of a VM's process arrived. An incarnation of 0 stands
// for the known one.
func (r *Roster) RecordContact(_ time.Time, address string, incarnation uint64) Effects {
	rec := r.records[address]
	if rec == nil || address == r.self.Address {
		return Effects{}
	}
	if incarnation != 0 && incarnation != rec.vm.Incarnation {
		return Effects{} // A new process, whose version has not arrived yet.
	}
	rec.failures, rec.refusals = 0, 0
	if rec.state == StateUp {
		return Effects{}
	}
	wasSilent := rec.state == StateSilent
	r.setState(rec, StateUp)
	if wasSilent {
		r.restoreZone(rec.vm.Zone)
	}
	return Effects{Changed: true}
}

// restoreZone sets all silent VMs of a zone to StateUp. It is called when one of them answers again,
// since a partition ends for all of them at once.
func (r *Roster) restoreZone(zone string) {
	for _, address := range r.zones[zone].addresses {
		rec := r.records[address]
		if rec.state == StateSilent {
			rec.failures, rec.refusals = 0, 0
			r.setState(rec, StateUp)
		}
	}
}

// RecordFailure records a failed attempt to reach a VM. Refused is true if the address refused the
// connection, false if the VM didn't answer in time. A single failure does not change the VM's state.
func (r *Roster) RecordFailure(now time.Time, address string, refused bool) Effects {
	rec := r.records[address]
	if rec == nil || address == r.self.Address || rec.vm.Left || rec.state == StateDead {
		return Effects{}
	}
	if rec.failures == 0 {
		rec.firstFailure = now
		r.failing = insertSorted(r.failing, address)
	}
	rec.failures++
	if refused {
		rec.refusals++
	} else {
		rec.refusals = 0
	}
	failingFor := now.Sub(rec.firstFailure)
	switch {
	case rec.refusals >= minFailures && failingFor >= deadAfter:
		return r.markDead(now, rec)
	case rec.failures >= minFailures && failingFor >= silentAfter && rec.state == StateUp:
		r.setState(rec, StateSilent)
		return Effects{Changed: true}
	case rec.leaseExpired && failingFor >= expiredLeaseDeadAfter:
		return r.markDead(now, rec)
	}
	return Effects{}
}

// markDead sets a record to StateDead and gossips that, so that the peers probe the VM themselves.
func (r *Roster) markDead(now time.Time, rec *record) Effects {
	r.setState(rec, StateDead)
	rec.goneAt = now
	r.enqueueGossip(rec.vm.Address, true)
	return Effects{Changed: true}
}

// handleDead processes a peer's list of dead addresses. It returns probes for them, since a
// peer's observation alone changes no state. If this VM's own address is listed, a later version refutes that.
func (r *Roster) handleDead(now time.Time, addresses []string) Effects {
	var effects Effects
	for _, address := range addresses {
		if address == r.self.Address && !r.self.Left && !now.Before(r.nextRefute) {
			r.nextRefute = now.Add(refuteInterval)
			next := r.self
			next.Sequence++
			effects.add(r.replaceSelf(now, next))
		}
		rec := r.records[address]
		if rec != nil && address != r.self.Address && inHashes(rec) && rec.failures == 0 {
			effects.Probes = append(effects.Probes, address)
		}
	}
	return effects
}

// deleteTombstones deletes the records of VMs that left or died longer than tombstoneTTL ago.
func (r *Roster) deleteTombstones(now time.Time) {
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(time.Minute)
	var old []string
	for _, address := range r.addresses {
		rec := r.records[address]
		gone := rec.vm.Left || rec.state == StateDead
		if gone && address != r.self.Address && now.Sub(rec.goneAt) > tombstoneTTL {
			old = append(old, address)
		}
	}
	for _, address := range old {
		r.remove(address)
	}
}
