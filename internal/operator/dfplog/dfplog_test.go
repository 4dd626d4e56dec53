package dfplog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/operator/dfplog"
	"dragonflyport/internal/vm/dfpevent"
)

// blocked is a pipe that nobody reads.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestUnreadOutputHoldsNothingUp(t *testing.T) {
	pipe := blocked{make(chan struct{})}
	sink := dfplog.NewSink(pipe)
	logger := &log.Logger{Handler: sink, Level: log.InfoLevel}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return sink.Run(ctx) })
	done := make(chan struct{})
	group.Go(func() error {
		for range 10_000 {
			logger.Info("a line")
		}
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the log holds its writer up")
	}
	assert.Assert(t, sink.Dropped() > 0)
	close(pipe.release)
	cancel()
	assert.NilError(t, group.Wait())
}

func TestExplain(t *testing.T) {
	var entry bytes.Buffer
	sink := dfplog.NewSink(&entry)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return sink.Run(ctx) })
	journal := dfpevent.New(&log.Logger{Handler: sink, Level: log.InfoLevel})
	journal.Request(time.Now(), dfpevent.Request{
		ID: "9c41d07be2a35f68", Route: "route shop/order/", Organisation: "waldspiel", Service: "ordering",
		Outcome: "not_run", Reason: "organisation_rate", RetryAfterMs: 250, RulesVersion: 7, RulesAgeMs: 420,
	})
	journal.Request(time.Now(), dfpevent.Request{
		ID: "77", Route: "route shop/order/", Outcome: "unknown", Reason: "backend_failed", HeldMs: 300,
		Attempts: []dfpevent.Attempt{{VM: "10.0.3.8:9000", Outcome: "unknown", Reason: "backend_failed", TookMs: 290}},
	})
	cancel()
	assert.NilError(t, group.Wait())
	logText := entry.String()
	for _, tc := range []struct {
		id   string
		want []string
	}{
		{"9c41d07be2a35f68", []string{"because of organisation_rate", "rules version 7", "420 ms before", "come back after 250 ms"}},
		{"77", []string{"attempt 1: 10.0.3.8:9000: unknown", "because of backend_failed after 290 ms"}},
	} {
		var out bytes.Buffer
		assert.NilError(t, dfplog.Explain(&out, tc.id, []dfplog.Source{
			{Name: "a", Log: strings.NewReader("other line 77\n")}, {Name: "b", Log: strings.NewReader(logText)},
		}))
		for _, want := range tc.want {
			assert.Assert(t, strings.Contains(out.String(), want), "%q lacks %q", out.String(), want)
		}
	}
	err := dfplog.Explain(&bytes.Buffer{}, "nobody", []dfplog.Source{{Name: "b", Log: strings.NewReader(logText)}})
	assert.ErrorIs(t, err, dfplog.ErrNoRequest)
}
