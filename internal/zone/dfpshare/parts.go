package dfpshare

import "time"

// fractions returns each zone's fraction of every rate.
func (r Rules) fractions() map[string]float64 {
	sum := 0.0
	for _, z := range r.Zones {
		sum += max(0, z.Weight)
	}
	fractions := make(map[string]float64, len(r.Zones))
	for _, z := range r.Zones {
		if z.Weight > 0 {
			fractions[z.Name] = z.Weight / sum
		}
	}
	return fractions
}

// rulesFraction returns this zone's fraction of every rate according to the rules alone.
func (lim *Limiter) rulesFraction() float64 {
	return lim.rules.fractions()[lim.cfg.Self.Zone]
}

// fraction returns the fraction in force. It falls as soon as the rules lower it and rises only when the
// table says that all zones have confirmed the rules that raise it.
func (lim *Limiter) fraction() float64 {
	return min(lim.rulesFraction(), lim.table.Fraction)
}

// confirmedRules returns the rules version that this node confirms to others: the newest one for which the
// table did not allow a larger fraction than the rules.
func (lim *Limiter) confirmedRules() uint64 {
	applied := lim.table.RulesVersion >= lim.fractionsVersion && lim.table.Fraction <= lim.rulesFraction()+epsilon
	if applied || lim.table.Version == 0 {
		lim.confirmedVersion = lim.rules.Version
	}
	return lim.confirmedVersion
}

// zoneRules returns the lowest rules version that the members of this zone confirm.
func (lim *Limiter) zoneRules() uint64 {
	lowest := lim.confirmedRules()
	for _, m := range lim.table.Members {
		if m.Owner == lim.self() {
			continue
		}
		lowest = min(lowest, lim.peer(m.Owner).rulesVersion)
	}
	return lowest
}

// noteZoneRules records the rules version that another zone has confirmed.
func (lim *Limiter) noteZoneRules(zone string, version uint64) {
	if zone != lim.cfg.Self.Zone && version > lim.confirmedByZone[zone] {
		lim.confirmedByZone[zone] = version
	}
}

// unconfirmedZones returns the other zones that haven't confirmed the last change of the fractions.
func (lim *Limiter) unconfirmedZones() []string {
	var zones []string
	for _, z := range lim.knownZones {
		if z != lim.cfg.Self.Zone && lim.confirmedByZone[z] < lim.fractionsVersion {
			zones = append(zones, z)
		}
	}
	return zones
}

// announceRules tells one node of each other zone which rules version this zone confirms: every second
// while a zone's confirmation is missing here, else every 10 seconds, for zones that may wait for this
// one's.
func (lim *Limiter) announceRules(now time.Time) {
	waiting := lim.unconfirmedZones()
	if len(waiting) == 0 && now.Sub(lim.rulesAnnouncedAt) < 10*time.Second || now.Sub(lim.rulesAnnouncedAt) < time.Second {
		return
	}
	if lim.table.member(lim.self()) < 0 {
		return
	}
	lim.rulesAnnouncedAt = now
	for _, z := range lim.rules.Zones {
		if peers := lim.peers[z.Name]; z.Name != lim.cfg.Self.Zone && len(peers) > 0 {
			lim.send(peers[lim.rand.IntN(len(peers))])
		}
	}
}

// fractionTable records that the rules' fractions were applied. It lowers the zone's fraction at once, and
// raises it when enough time has passed since all zones confirmed the rules that raise it.
func (lim *Limiter) fractionTable(now time.Time, _ int) (Table, bool) {
	if lim.rules.Version < lim.table.RulesVersion {
		return Table{}, false
	}
	wanted := lim.rulesFraction()
	if len(lim.unconfirmedZones()) > 0 {
		lim.allConfirmedAt = time.Time{}
	} else if lim.allConfirmedAt.IsZero() {
		lim.allConfirmedAt = now
	}
	t := lim.table.nextVersion()
	t.RulesVersion = lim.rules.Version
	t.Fraction = min(wanted, lim.table.Fraction)
	if lim.table.RulesVersion < lim.fractionsVersion || wanted < lim.table.Fraction-epsilon {
		return t, true
	}
	t.Fraction = wanted
	waited := !lim.allConfirmedAt.IsZero() && now.Sub(lim.allConfirmedAt) > lim.cfg.quarantine()+lim.cfg.ClockMargin
	return t, wanted > lim.table.Fraction+epsilon && waited
}
