package dfponce

import (
	"time"
)

// maxSlots bounds the number of slots that a Redirect may claim a zone to have.
const maxSlots = 4096

// zoneRows holds the latest known rows of one zone's slot table.
type zoneRows struct{ rows []Slot }

// updateRow stores a row of a zone's slot table if it is newer than the stored one. It then
// sends the pending messages of the slot's attempts to the members of the new row.
func (c *ClaimManager) updateRow(now time.Time, zone string, slot, slots int, row Slot, effects *Effects) {
	known := c.zoneRows[zone]
	if known == nil || len(known.rows) != slots {
		known = &zoneRows{rows: make([]Slot, slots)}
		c.zoneRows[zone] = known
	}
	if !row.newer(known.rows[slot]) {
		return
	}
	known.rows[slot] = row
	for _, a := range c.attemptList {
		if !a.removed && a.state != attemptRunning && a.request.Zone == zone && a.request.ID.slot(slots) == slot {
			c.sendPending(now, a, effects)
		}
	}
}

// onRedirect processes a row from a node that knows the zone's slot table.
func (c *ClaimManager) onRedirect(now time.Time, m *Redirect, effects *Effects) {
	if m.Slots <= 0 || m.Slots > maxSlots || m.Slot < 0 || m.Slot >= m.Slots || len(m.Row.Members) == 0 || len(m.Row.Members) > MembersPerSlot {
		return
	}
	if m.Zone == c.cfg.Zone {
		c.highestVersion = max(c.highestVersion, m.Version)
		if len(c.localSlots) != m.Slots {
			return
		}
	}
	c.updateRow(now, m.Zone, m.Slot, m.Slots, m.Row, effects)
}
