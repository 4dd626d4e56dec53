package dfpinstance_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/vm/dfpinstance"
)

func TestTracker(t *testing.T) {
	heartbeat := func(instance string, started int64, sequence uint64, draining bool) any {
		return dfpinstance.Heartbeat{Instance: instance, Started: started, Sequence: sequence, Draining: draining}
	}
	type deregister string
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
		{"new instance", []any{heartbeat("a", 1, 9, true), heartbeat("b", 2, 1, false)}, "b", false, true},
		{"old instance's late heartbeat", []any{heartbeat("b", 2, 1, false), heartbeat("a", 1, 9, true)}, "b", false, false},
		{"same name, later start", []any{heartbeat("a", 1, 9, true), heartbeat("a", 2, 1, false)}, "a", false, true},
		{"deregistered without draining", []any{heartbeat("a", 1, 1, false), deregister("a")}, "a", true, true},
		{"heartbeat after deregistration", []any{heartbeat("a", 1, 1, false), deregister("a"), heartbeat("a", 1, 2, false)}, "a", true, true},
		{"another instance deregistered", []any{heartbeat("b", 2, 1, false), deregister("a")}, "b", false, true},
		{"deregistered before its first heartbeat", []any{deregister("a"), heartbeat("a", 1, 1, false)}, "a", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tracker dfpinstance.Tracker
			newer := true
			for _, input := range tc.inputs {
				switch input := input.(type) {
				case dfpinstance.Heartbeat:
					newer = tracker.Observe(input)
				case deregister:
					tracker.Deregister(string(input))
				}
			}
			assert.Equal(t, tracker.Instance(), tc.instance)
			assert.Equal(t, tracker.Leaving(), tc.leaving)
			assert.Equal(t, newer, tc.newer)
		})
	}
}
