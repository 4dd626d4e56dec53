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
