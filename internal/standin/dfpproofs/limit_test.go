package dfpproofs_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpnode"
	"dragonflyport/internal/zone/dfproute"
)

// TestLimitedServersLeaveWorkToOthers guards against requests that are refused because they meet backend servers
// that name a limit, while others of the service have room, if need be in another region. The limited servers take
// two requests a second each, and 80 a second come.
func TestLimitedServersLeaveWorkToOthers(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		limited func(i int) bool
	}{
		{"two of three in each zone", func(i int) bool { return i%3 != 0 }},
		{"all of one region", func(i int) bool { return i < 3 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, siteConfig{ordering: 3, catalogue: 1, serviceTime: 40 * time.Millisecond, node: dfpnode.Config{
				Route: dfproute.Config{SpillWhenFull: true, StayInRegion: true}, QueueNested: true, SlotsFraction: 0.95,
			}})
			for i, vm := range s.vmsOf("ordering") {
				if tc.limited(i) {
					vm.Backend.SetNotice(dfpcall.Notice{Limited: true, Rate: 2})
				}
			}
			s.readStock(2 * time.Second) // The nodes learn of the limits.
			sent, served := s.readStock(6 * time.Second)
			assert.Assert(t, float64(served) >= 0.98*float64(sent), "%d of %d requests were served", served, sent)
		})
	}
}

// readStock sends 80 requests of high importance a second to all entries in turn. It returns how many it sent and
// how many were served.
func (s *site) readStock(d time.Duration) (sent, served int64) {
	var count atomic.Int64
	var group errgroup.Group
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(12500 * time.Microsecond) {
		entry := s.VMs[sent%int64(len(s.VMs))].CallerURL
		sent++
		group.Go(func() error {
			header := map[string]string{"Authorization": "Bearer " + waldspielKey, "Lab-Operation": s.operation()}
			if send(s.client, http.MethodGet, entry+"/stock/1", header, "").status == http.StatusOK {
				count.Add(1)
			}
			return nil
		})
	}
	assert.NilError(s.t, group.Wait())
	return sent, count.Load()
}
