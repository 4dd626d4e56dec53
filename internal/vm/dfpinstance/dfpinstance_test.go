package dfpinstance_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/vm/dfpinstance"
)

// TestTracker plays what a node hears of its backend server's instances, and restarts of the node, after which it
// knows only the departures that were stored.
func TestTracker(t *testing.T) {
	type heartbeatOf struct {
		dfpinstance.Heartbeat
		draining bool
	}
	heartbeat := func(instance string, started int64, sequence uint64, draining bool) any {
		return heartbeatOf{dfpinstance.Heartbeat{Instance: instance, Started: started, Sequence: sequence}, draining}
	}
	// deregister has the start time of an instance, or the time of the call where the start is not known.
	type deregister struct {
		instance string
		started  int64
	}
	type restart struct{}
	for _, tc := range []struct {
		name     string
		inputs   []any
		instance string
		leaving  bool
		// newer is the result of the last Observe.
		newer bool
	}{
		{"ready", []any{heartbeat("a", 1, 1, false)}, "a", false, true},
		{"draining", []any{heartbeat("a", 1, 1, false), heartbeat("a", 1, 2, true)}, "a", true, true},
		{"late ready heartbeat after draining", []any{heartbeat("a", 1, 3, true), heartbeat("a", 1, 2, false)}, "a", true, false},
		{"ready again after draining", []any{heartbeat("a", 1, 3, true), heartbeat("a", 1, 4, false)}, "a", true, true},
		{"late draining heartbeat", []any{heartbeat("a", 1, 4, false), heartbeat("a", 1, 3, true)}, "a", true, false},
		{"new instance", []any{heartbeat("a", 1, 9, true), heartbeat("b", 2, 1, false)}, "b", false, true},
		{"old instance's late heartbeat", []any{heartbeat("b", 2, 1, false), heartbeat("a", 1, 9, true)}, "b", false, false},
		{"same name, later start", []any{heartbeat("a", 1, 9, true), heartbeat("a", 2, 1, false)}, "a", false, true},
		{"deregistered without draining", []any{heartbeat("a", 1, 1, false), deregister{"a", 1}}, "a", true, true},
		{"heartbeat after deregistration", []any{heartbeat("a", 1, 1, false), deregister{"a", 1}, heartbeat("a", 1, 2, false)}, "a", true, true},
		{"another instance deregistered", []any{heartbeat("b", 2, 1, false), deregister{"a", 3}}, "b", false, true},
		{"deregistered before its first heartbeat", []any{deregister{"a", 5}, heartbeat("a", 1, 1, false)}, "a", true, true},
		{"deregistered before its first heartbeat, another instance in between", []any{
			deregister{"a", 5}, heartbeat("b", 0, 1, false), heartbeat("a", 1, 1, false),
		}, "a", true, true},
		{"deregistered before its first heartbeat, started again under its name", []any{deregister{"a", 5}, heartbeat("a", 6, 1, false)}, "a", false, true},
		{"late heartbeat after a restart", []any{heartbeat("a", 1, 3, true), restart{}, heartbeat("a", 1, 2, false)}, "a", true, true},
		{"late heartbeat after two restarts", []any{deregister{"a", 1}, restart{}, restart{}, heartbeat("a", 1, 2, false)}, "a", true, true},
		{"started again under its name after a restart", []any{deregister{"a", 1}, restart{}, heartbeat("a", 2, 1, false)}, "a", false, true},
		{"new instance after a restart", []any{deregister{"a", 1}, restart{}, heartbeat("b", 2, 1, false)}, "b", false, true},
		{"restart without a departure", []any{heartbeat("a", 1, 3, false), restart{}, heartbeat("a", 1, 4, false)}, "a", false, true},
		{"two departures", []any{deregister{"a", 1}, deregister{"b", 2}, restart{}, heartbeat("a", 1, 1, false)}, "a", true, true},
		{"late departure of an earlier run", []any{deregister{"a", 3}, deregister{"a", 1}, restart{}, heartbeat("a", 2, 1, false)}, "a", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tracker dfpinstance.Tracker
			var departures dfpinstance.Departures
			var last dfpinstance.Heartbeat
			newer := true
			for _, input := range tc.inputs {
				switch input := input.(type) {
				case heartbeatOf:
					if newer = tracker.Observe(input.Heartbeat); newer {
						last = input.Heartbeat
					}
					if input.draining {
						departures.Add(dfpinstance.Departure{Instance: input.Instance, Started: input.Started})
					}
				case deregister:
					departures.Add(dfpinstance.Departure{Instance: input.instance, Started: input.started})
				case restart:
					stored := departures.All()
					tracker, departures = dfpinstance.Tracker{}, dfpinstance.Departures{}
					for _, d := range stored {
						departures.Add(d)
					}
				}
			}
			assert.Equal(t, tracker.Instance(), tc.instance)
			assert.Equal(t, departures.Include(last.Instance, last.Started), tc.leaving)
			assert.Equal(t, newer, tc.newer)
		})
	}
}

// TestDeparturesAreBounded checks that the latest departures are kept.
func TestDeparturesAreBounded(t *testing.T) {
	var departures dfpinstance.Departures
	for i := range int64(100) {
		assert.Assert(t, departures.Add(dfpinstance.Departure{Instance: fmt.Sprint("i-", i), Started: i}))
		assert.Assert(t, !departures.Add(dfpinstance.Departure{Instance: fmt.Sprint("i-", i), Started: i}))
	}
	assert.Equal(t, len(departures.All()), 8)
	assert.Assert(t, departures.Include("i-99", 99) && departures.Include("i-92", 92) && !departures.Include("i-91", 91))
}
