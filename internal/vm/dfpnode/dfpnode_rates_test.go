package dfpnode_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
	"dragonflyport/internal/standin/dfpratelab"
)

const (
	testRate  = 40.0
	testBurst = 20.0
)

func deployRated(t *testing.T) *dfpdeployment.Deployment {
	t.Helper()
	rules := fmt.Sprintf(`availability_zone ost-1 region=ost # test
availability_zone ost-2 region=ost # test
organisation waldspiel rate=%g/s burst=%g # test
key waldspiel %s # test
service catalogue slots=100 # test
route GET /catalogue/* service=catalogue importance=low # test
`, testRate, testBurst, dfpkey.Hash(callersKey))
	d, err := dfpdeployment.Start(dfpdeployment.Config{
		Zones: []dfpdeployment.Zone{{Name: "ost-1", Region: "ost"}, {Name: "ost-2", Region: "ost"}},
		Services: []dfpdeployment.Service{{PerZone: 2, Backend: dfpbackendserver.Config{
			Service: "catalogue", Slots: 100, ServiceTime: dfpbackendserver.Distribution{Median: time.Millisecond},
		}}},
		Rules: []byte(rules), Seed: 20261204,
	})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	return d
}

// browse sends one request and returns its status.
func browse(url string) (int, error) {
	req, err := http.NewRequest("GET", url+"/catalogue/1", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+callersKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// TestRateOverAllNodes guards against a rate that applies per node instead of to the whole fleet. It sends
// four times the rate to all entries and checks that the number of requests served is within one token bucket
// for the whole fleet and at least its burst.
func TestRateOverAllNodes(t *testing.T) {
	d := deployRated(t)
	urls := d.CallerURLs("")
	for range 200 { // Until the zones have their slot tables.
		if status, err := browse(urls[0]); err == nil && status == http.StatusOK {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	const (
		requests = 400
		interval = 6 * time.Millisecond
	)
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group errgroup.Group
	limit := dfpratelab.NewTokenBucket(testRate, testBurst, time.Now())
	begin := time.Now()
	for i := range requests {
		group.Go(func() error {
			status, err := browse(urls[i%len(urls)])
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			return err
		})
		time.Sleep(interval)
	}
	assert.NilError(t, group.Wait())
	window := time.Since(begin).Seconds()
	served, bound := float64(statuses[http.StatusOK]), limit.Burst+limit.Rate*window
	t.Logf("%v in %.2f s, bound %.1f", statuses, window, bound)
	assert.Assert(t, served <= bound, "served %v, bound %v", served, bound)
	assert.Assert(t, served >= limit.Burst, "served %v, burst %v", served, limit.Burst)
	assert.Assert(t, statuses[http.StatusTooManyRequests] > 0, "%v", statuses)
}
