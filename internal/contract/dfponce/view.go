package dfponce

import (
	"time"
)

// maxSlots bounds the slots of a zone that a message may tell of.
const maxSlots = 4096

// zoneView holds the latest lines heard of a zone's slots.
type zoneView struct{ lines []Slot }

// see takes a line of a zone's table, and has the attempts that wait on its
// slot go by it if it is later than the one before.
func (c *ClaimManager) see(now time.Time, zone string, slot, slots int, line Slot, fx *Effects) {
	view := c.views[zone]
	if view == nil || len(view.lines) != slots {
		view = &zoneView{lines: make([]Slot, slots)}
		c.views[zone] = view
	}
	if !line.newer(view.lines[slot]) {
		return
	}
	view.lines[slot] = line
	for _, a := range c.order {
		if !a.forgotten && a.state != attemptRunning && a.begin.Zone == zone && a.begin.ID.slot(slots) == slot {
			c.ask(now, a, fx)
		}
	}
}

// onRedirect takes a line from a node that knows the zone's table.
func (c *ClaimManager) onRedirect(now time.Time, m *Redirect, fx *Effects) {
	if m.Slots <= 0 || m.Slots > maxSlots || m.Slot < 0 || m.Slot >= m.Slots || len(m.Row.Members) == 0 || len(m.Row.Members) > MembersPerSlot {
		return
	}
	if m.Zone == c.cfg.Zone {
		c.behind = max(c.behind, m.Version)
		if len(c.held) != m.Slots {
			return
		}
	}
	c.see(now, m.Zone, m.Slot, m.Slots, m.Row, fx)
}
