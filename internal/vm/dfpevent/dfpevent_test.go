package dfpevent_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/apex/log"
	handler "github.com/apex/log/handlers/json"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/vm/dfpevent"
)

var epoch = time.Unix(1000, 0)

// line is one line of the log in its JSON form.
type line struct {
	Message string
	Fields  struct {
		Event   string           `json:"event"`
		LeftOut int              `json:"left_out"`
		Detail  dfpevent.Request `json:"detail"`
	}
}

func lines(t *testing.T, text []byte) []line {
	t.Helper()
	var all []line
	decoder := json.NewDecoder(bytes.NewReader(text))
	for decoder.More() {
		var l line
		assert.NilError(t, decoder.Decode(&l))
		all = append(all, l)
	}
	return all
}

func TestWriteRequest(t *testing.T) {
	var out bytes.Buffer
	journal := dfpevent.New(&log.Logger{Handler: handler.New(&out), Level: log.InfoLevel})
	want := dfpevent.Request{
		ID: "9c41d07be2a35f68", Route: "route shop/order/", Organisation: "waldspiel", Service: "ordering",
		Outcome: "unknown", Reason: "backend_failed", DurationMs: 210, RulesVersion: 7, RulesAgeMs: 420,
		Attempts: []dfpevent.Attempt{
			{VM: "10.0.3.7:9000", Outcome: "not_run", Reason: "draining", TookMs: 1},
			{VM: "10.0.3.8:9000", Outcome: "unknown", Reason: "backend_failed", TookMs: 205},
		},
	}
	dfpevent.Write(journal, epoch, func() *dfpevent.Request { return &want })
	got := lines(t, out.Bytes())
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Fields.Event, want.Name())
	assert.DeepEqual(t, got[0].Fields.Detail, want)
}

func TestLineLimit(t *testing.T) {
	var out bytes.Buffer
	journal := dfpevent.New(&log.Logger{Handler: handler.New(&out), Level: log.InfoLevel})
	request := func() *dfpevent.Request { return &dfpevent.Request{ID: "a"} }
	for range 1000 {
		dfpevent.Write(journal, epoch, request)
	}
	written := len(lines(t, out.Bytes()))
	assert.Assert(t, written < 100, "%d lines", written)
	dfpevent.Write(journal, epoch.Add(time.Second), request)
	all := lines(t, out.Bytes())
	assert.Equal(t, all[len(all)-1].Fields.LeftOut, 1000-written)
}
