package dfpinstance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpinstance"
)

// TestNotices checks in which order answers change what is known of an instance: a limit is not ended by an
// answer to a request sent before the limit was named, and leaving is final.
func TestNotices(t *testing.T) {
	limit := func(rate float64) dfpcall.Notice { return dfpcall.Notice{Limited: true, Rate: rate} }
	leaving := dfpcall.Notice{Leaving: true}
	// answer is one answer; its times are milliseconds.
	type answer struct {
		sent, arrived int
		notice        dfpcall.Notice
	}
	for _, tc := range []struct {
		name    string
		answers []answer
		want    dfpcall.Notice
		// changed is the result of the last Observe.
		changed bool
	}{
		{"nothing said", []answer{{0, 10, dfpcall.Notice{}}}, dfpcall.Notice{}, false},
		{"limit named", []answer{{0, 10, limit(8)}}, limit(8), true},
		{"limit named again", []answer{{0, 10, limit(8)}, {5, 20, limit(8)}}, limit(8), false},
		{"limit changed", []answer{{0, 10, limit(8)}, {5, 20, limit(2)}}, limit(2), true},
		{"limit ended", []answer{{0, 10, limit(8)}, {11, 20, dfpcall.Notice{}}}, dfpcall.Notice{}, true},
		{"answer written before the limit", []answer{{0, 10, limit(8)}, {5, 20, dfpcall.Notice{}}}, limit(8), false},
		{"leaving", []answer{{0, 10, leaving}}, leaving, true},
		{"answer written before the leaving", []answer{{0, 10, leaving}, {11, 20, dfpcall.Notice{}}}, leaving, false},
		{"limit ended while leaving", []answer{{0, 10, dfpcall.Notice{Limited: true, Rate: 1, Leaving: true}}, {11, 20, leaving}}, leaving, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var notices dfpinstance.Notices
			at := func(ms int) time.Time { return time.UnixMilli(int64(1_700_000_000_000 + ms)) }
			changed := false
			for _, a := range tc.answers {
				changed = notices.Observe(at(a.arrived), at(a.sent), a.notice)
			}
			assert.DeepEqual(t, notices.Current(), tc.want)
			assert.Equal(t, changed, tc.changed)
		})
	}
}

// TestAdopt checks what a node that has restarted takes over from another node.
func TestAdopt(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := dfpcall.Notice{Limited: true, Rate: 8}
	for _, tc := range []struct {
		name    string
		heard   []dfpcall.Notice
		adopted dfpcall.Notice
		want    dfpcall.Notice
	}{
		{"limit", nil, limit, limit},
		{"leaving", nil, dfpcall.Notice{Leaving: true}, dfpcall.Notice{Leaving: true}},
		{"an own answer without a limit is newer", []dfpcall.Notice{{}}, limit, dfpcall.Notice{}},
		{"an own answer with another limit is newer", []dfpcall.Notice{{Limited: true, Rate: 3}}, limit, dfpcall.Notice{Limited: true, Rate: 3}},
		{"leaving is final", []dfpcall.Notice{{}}, dfpcall.Notice{Leaving: true}, dfpcall.Notice{Leaving: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var notices dfpinstance.Notices
			for _, n := range tc.heard {
				notices.Observe(now, now, n)
			}
			changed := notices.Adopt(now, tc.adopted)
			assert.DeepEqual(t, notices.Current(), tc.want)
			assert.Equal(t, changed, tc.want != append(tc.heard, dfpcall.Notice{})[0])
			notices.Observe(now.Add(2*time.Second), now.Add(time.Second), dfpcall.Notice{})
			assert.DeepEqual(t, notices.Current(), dfpcall.Notice{Leaving: tc.want.Leaving})
		})
	}
}

// TestPeerNotices checks how long a notice of another node's backend server is remembered.
func TestPeerNotices(t *testing.T) {
	now := time.Unix(1000, 0)
	notice := &dfpcall.InstanceNotice{Instance: "i-1", Notice: dfpcall.Notice{Limited: true, Rate: 8}}
	for _, tc := range []struct {
		name        string
		incarnation uint64
		reported    *dfpcall.InstanceNotice
		after       time.Duration
		want        *dfpcall.InstanceNotice
	}{
		{"reported again", 1, notice, time.Second, notice},
		{"taken back", 1, nil, time.Second, nil},
		{"not yet known after a restart", 2, nil, time.Second, notice},
		{"too old", 2, nil, 2 * time.Minute, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var peers dfpinstance.PeerNotices
			assert.Assert(t, peers.Known(now, "a") == nil)
			peers.Observe(now, "a", 1, notice)
			peers.Observe(now.Add(tc.after), "a", tc.incarnation, tc.reported)
			assert.DeepEqual(t, peers.Known(now.Add(tc.after), "a"), tc.want)
			assert.Assert(t, peers.Known(now, "b") == nil)
		})
	}
}
