package dfpinstance

import "slices"

// Departure says that an instance of a backend server has left or is about to, and with it all earlier runs
// under its name.
type Departure struct {
	Instance string `cbor:"instance"`
	// Started is the start time of the instance in Unix milliseconds. Where it is not known, it is the time at
	// which the instance said that it leaves.
	Started int64 `cbor:"started"`
}

// maxDepartures is how many departures are remembered. The backend servers of one VM run one after another, so
// only reports of the last few can still arrive.
const maxDepartures = 8

// Departures are the latest departures at one VM, the oldest first. They outlive the node's process: a later
// process adds those that an earlier one has stored. The zero value is empty.
type Departures struct{ list []Departure }

// Add records a departure and reports whether it says more than what was known.
func (d *Departures) Add(departure Departure) bool {
	if d.Include(departure.Instance, departure.Started) {
		return false
	}
	d.list = slices.DeleteFunc(d.list, func(known Departure) bool { return known.Instance == departure.Instance })
	d.list = append(d.list, departure)
	d.list = d.list[max(0, len(d.list)-maxDepartures):]
	return true
}

// Include reports whether an instance has left: it, or a later run under its name.
func (d *Departures) Include(instance string, started int64) bool {
	return slices.ContainsFunc(d.list, func(known Departure) bool {
		return known.Instance == instance && started <= known.Started
	})
}

// All returns the departures, the oldest first. The caller must not change them.
func (d *Departures) All() []Departure { return d.list }
