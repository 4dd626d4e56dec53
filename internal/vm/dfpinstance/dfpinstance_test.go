package dfpinstance_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/vm/dfpinstance"
)

func TestTracker(t *testing.T) {
	beat := func(instance string, started int64, sequence uint64, draining bool) any {
		return dfpinstance.Heartbeat{Instance: instance, Started: started, Sequence: sequence, Draining: draining}
	}
	type left string
	for _, tc := range []struct {
		name     string
		said     []any
		instance string
		leaving  bool
		// last says whether the last heartbeat was news.
		last bool
	}{
		{"ready", []any{beat("a", 1, 1, false)}, "a", false, true},
		{"draining", []any{beat("a", 1, 1, false), beat("a", 1, 2, true)}, "a", true, true},
		{"late ready after draining", []any{beat("a", 1, 3, true), beat("a", 1, 2, false)}, "a", true, false},
		{"ready again after draining", []any{beat("a", 1, 3, true), beat("a", 1, 4, false)}, "a", true, true},
		{"new instance", []any{beat("a", 1, 9, true), beat("b", 2, 1, false)}, "b", false, true},
		{"old instance's late heartbeat", []any{beat("b", 2, 1, false), beat("a", 1, 9, true)}, "b", false, false},
		{"same name, later start", []any{beat("a", 1, 9, true), beat("a", 2, 1, false)}, "a", false, true},
		{"left without draining", []any{beat("a", 1, 1, false), left("a")}, "a", true, true},
		{"heartbeat after it left", []any{beat("a", 1, 1, false), left("a"), beat("a", 1, 2, false)}, "a", true, true},
		{"another one left", []any{beat("b", 2, 1, false), left("a")}, "b", false, true},
		{"left before it was heard", []any{left("a"), beat("a", 1, 1, false)}, "a", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tracker dfpinstance.Tracker
			news := true
			for _, said := range tc.said {
				switch said := said.(type) {
				case dfpinstance.Heartbeat:
					news = tracker.Observe(said)
				case left:
					tracker.Deregister(string(said))
				}
			}
			assert.Equal(t, tracker.Instance(), tc.instance)
			assert.Equal(t, tracker.Leaving(), tc.leaving)
			assert.Equal(t, news, tc.last)
		})
	}
}
