package dfpnode_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
	"dragonflyport/internal/standin/dfpstore"
)

const callersKey = "dfpkey_once0123456789once0123456789once"

func deployOrders(t *testing.T, perZone int) *dfpdeployment.Deployment {
	t.Helper()
	rules := fmt.Sprintf(`availability_zone ost-1 region=ost # test
availability_zone ost-2 region=ost # test
organisation waldspiel rate=5000/s burst=5000 # test
key waldspiel %s # test
service ordering slots=50 # test
route POST /order/* service=ordering importance=critical # test
`, dfpkey.Hash(callersKey))
	d, err := dfpdeployment.Start(dfpdeployment.Config{
		Zones: []dfpdeployment.Zone{{Name: "ost-1", Region: "ost"}, {Name: "ost-2", Region: "ost"}},
		Services: []dfpdeployment.Service{{PerZone: perZone, Backend: dfpbackendserver.Config{
			Service: "ordering", Slots: 50, ServiceTime: dfpbackendserver.Distribution{Median: 20 * time.Millisecond},
		}}},
		Rules: []byte(rules), Seed: 20261204,
	})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	return d
}

// order sends an order with an idempotency key and returns its status and body.
func order(url, key string) (int, string) {
	req, err := http.NewRequest("POST", url+"/order/1", strings.NewReader("an order body"))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+callersKey)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set(dfpbackendserver.HeaderOperation, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// orderUntilServed repeats an order at the entries in turn until it succeeds.
func orderUntilServed(t *testing.T, urls []string, key string) string {
	t.Helper()
	var status int
	var body string
	for i := range 400 {
		if status, body = order(urls[i%len(urls)], key); status == http.StatusOK {
			return body
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("order %s not served: %d %s", key, status, body)
	return ""
}

func assertRanOnce(t *testing.T, d *dfpdeployment.Deployment, key string) {
	t.Helper()
	runs := 0
	for _, ledger := range d.Ledgers() {
		runs += ledger.RunsByOperation()[key]
	}
	assert.Equal(t, runs, 1, key)
}

// TestRepeatsRunOnce guards against a request that runs again when its caller repeats it. It sends each key
// to all entries at once, again after nodes have stopped gracefully, and again during a platform outage.
func TestRepeatsRunOnce(t *testing.T) {
	d := deployOrders(t, 5)
	urls := d.CallerURLs("")
	orderUntilServed(t, urls, "ost-1.warm")
	orderUntilServed(t, urls, "ost-2.warm")
	var mu sync.Mutex
	answers := make(map[string]map[string]bool)
	keys := []string{"ost-1.a", "ost-2.b", "no-zone-c", "no-zone-d"}
	var group errgroup.Group
	for _, key := range keys {
		answers[key] = make(map[string]bool)
		for _, url := range urls {
			group.Go(func() error {
				status, body := order(url, key)
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusOK {
					answers[key][body] = true
				}
				return nil
			})
		}
	}
	assert.NilError(t, group.Wait())
	for _, key := range keys {
		answers[key][orderUntilServed(t, urls, key)] = true
		assert.Equal(t, len(answers[key]), 1, "repeats of %s got different answers", key)
		assertRanOnce(t, d, key)
	}

	http.DefaultClient.CloseIdleConnections()
	assert.NilError(t, d.VMs[0].StopGracefully())
	assert.NilError(t, d.VMs[1].StopGracefully())
	left := d.CallerURLs("")
	for _, key := range keys {
		answers[key][orderUntilServed(t, left, key)] = true
		assert.Equal(t, len(answers[key]), 1, "%s after nodes stopped", key)
	}

	d.Store.SetFaultAll(dfpstore.Fault{Down: true})
	for _, key := range append(keys, "ost-1.e", "ost-2.f") {
		orderUntilServed(t, left, key)
		orderUntilServed(t, left, key)
		assertRanOnce(t, d, key)
	}
}
