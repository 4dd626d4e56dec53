package dfprules

import "strings"

// Change is one rule that differs between two rulesets.
type Change struct {
	ID string `json:"id"`
	// Old is the rule's line before the change; empty if the rule was added.
	Old string `json:"old,omitempty"`
	// New is the rule's line after the change; empty if the rule was removed.
	New string `json:"new,omitempty"`
}

// Diff returns the rules that differ between two rulesets, comments included: first the removed and
// changed rules in the old order, then the added ones in the new order. Either ruleset may be nil.
func Diff(before, after *Ruleset) []Change {
	var changes []Change
	texts := map[string]string{}
	for _, r := range after.all() {
		texts[r.ID()] = r.origin().Text
	}
	old := map[string]bool{}
	for _, r := range before.all() {
		id, text := r.ID(), r.origin().Text
		old[id] = true
		if texts[id] != text {
			changes = append(changes, Change{ID: id, Old: text, New: texts[id]})
		}
	}
	for _, r := range after.all() {
		if id := r.ID(); !old[id] {
			changes = append(changes, Change{ID: id, New: texts[id]})
		}
	}
	return changes
}

func (s *Ruleset) all() []Rule {
	if s == nil {
		return nil
	}
	return s.rules
}

// Format returns the changes as lines: each old rule after a -, each new rule after a +.
func Format(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		if c.Old != "" {
			b.WriteString("- " + c.Old + "\n")
		}
		if c.New != "" {
			b.WriteString("+ " + c.New + "\n")
		}
	}
	return b.String()
}
