package dfpshare

import "time"

// fractions returns the zones' parts of every rate.
func (r Rules) fractions() map[string]float64 {
	sum := 0.0
	for _, z := range r.Zones {
		sum += max(0, z.Weight)
	}
	parts := make(map[string]float64, len(r.Zones))
	for _, z := range r.Zones {
		if z.Weight > 0 {
			parts[z.Name] = z.Weight / sum
		}
	}
	return parts
}

// rulesFraction returns this zone's part of every rate under the rules alone.
func (s *Limiter) rulesFraction() float64 {
	return s.rules.fractions()[s.cfg.Self.Zone]
}

// fraction returns the part in force: a smaller one at once, a larger one only when
// the table says that all zones have confirmed it.
func (s *Limiter) fraction() float64 {
	return min(s.rulesFraction(), s.table.Fraction)
}

// confirmedRules returns the rules version whose parts this node keeps to, to be told
// to the others: the table must not allow more than it.
func (s *Limiter) confirmedRules() uint64 {
	weighed := s.table.RulesVersion >= s.partsVersion && s.table.Fraction <= s.rulesFraction()+epsilon
	if weighed || s.table.Version == 0 {
		s.keptRules = s.rules.Version
	}
	return s.keptRules
}

// zoneRules returns the lowest rules version that members of this zone keep to.
func (s *Limiter) zoneRules() uint64 {
	lowest := s.confirmedRules()
	for _, m := range s.table.Members {
		if m.Owner == s.self() {
			continue
		}
		lowest = min(lowest, s.peer(m.Owner).rules)
	}
	return lowest
}

// hearRules notes what another zone's node says of its zone's rules.
func (s *Limiter) hearRules(zone string, version uint64) {
	if zone != s.cfg.Self.Zone && version > s.zoneConfirmed[zone] {
		s.zoneConfirmed[zone] = version
	}
}

// unconfirmed returns the zones that haven't confirmed the rules in force.
func (s *Limiter) unconfirmed() []string {
	var zones []string
	for _, z := range s.formerZones {
		if z != s.cfg.Self.Zone && s.zoneConfirmed[z] < s.partsVersion {
			zones = append(zones, z)
		}
	}
	return zones
}

// hello tells the other zones' nodes which rules this zone keeps to, while
// somebody may wait for that.
func (s *Limiter) hello(now time.Time) {
	waiting := s.unconfirmed()
	if len(waiting) == 0 && now.Sub(s.helloAt) < 10*time.Second || now.Sub(s.helloAt) < time.Second {
		return
	}
	if s.table.member(s.self()) < 0 {
		return
	}
	s.helloAt = now
	for _, z := range s.rules.Zones {
		if peers := s.peers[z.Name]; z.Name != s.cfg.Self.Zone && len(peers) > 0 {
			s.send(peers[s.rand.IntN(len(peers))])
		}
	}
}

// fractionTable writes down that new parts have been weighed, lowers the zone's at once, and raises it when
// all zones have kept to the rules that raise it for long enough.
func (s *Limiter) fractionTable(now time.Time, _ int) (Table, bool) {
	if s.rules.Version < s.table.RulesVersion {
		return Table{}, false
	}
	wanted := s.rulesFraction()
	if len(s.unconfirmed()) > 0 {
		s.confirmedAt = time.Time{}
	} else if s.confirmedAt.IsZero() {
		s.confirmedAt = now
	}
	t := s.table.clone()
	t.RulesVersion = s.rules.Version
	t.Fraction = min(wanted, s.table.Fraction)
	if s.table.RulesVersion < s.partsVersion || wanted < s.table.Fraction-epsilon {
		return t, true
	}
	t.Fraction = wanted
	ripe := !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) > s.cfg.quarantine()+s.cfg.ClockMargin
	return t, wanted > s.table.Fraction+epsilon && ripe
}
