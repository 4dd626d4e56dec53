package dfppeer_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/link/dfppeer"
)

// TestTellsLeaveSilentConnection has a connection that carries control messages
// only go silent. Nobody waits for them, yet they find another one soon.
func TestTellsLeaveSilentConnection(t *testing.T) {
	for _, tc := range []struct {
		name        string
		ignoreTells bool
		want        bool
	}{
		{"probed", false, true},
		{"mechanism off", true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wire := &wire{}
			heard := make(chan struct{}, 1024)
			guard := start(t, 2, func(cfg *dfppeer.Config) {
				cfg.Control = func(context.Context, string, dfppeer.Control) (dfppeer.Control, error) {
					heard <- struct{}{}
					return dfppeer.Control{}, nil
				}
			})
			caller := start(t, 1, func(cfg *dfppeer.Config) {
				cfg.Dial = wire.dial
				cfg.NoNotificationProbes = tc.ignoreTells
			})
			_, err := caller.mesh.Call(context.Background(), guard.address, dfppeer.Control{Topic: dfppeer.TopicOnce})
			assert.NilError(t, err)
			<-heard
			wire.each(func(c *faultConn) { c.mute, c.deaf = true, true })
			assert.Equal(t, tellUntilHeard(caller, guard, heard), tc.want)
		})
	}
}

// silenceTarget is the time within which traffic leaves a silent connection.
const silenceTarget = 3 * time.Second

// tellUntilHeard tells again and again, as the control loops do.
func tellUntilHeard(caller, guard *node, heard <-chan struct{}) bool {
	timeout := time.After(silenceTarget)
	for {
		caller.mesh.Notify(guard.address, dfppeer.Control{Topic: dfppeer.TopicOnce})
		select {
		case <-heard:
			return true
		case <-timeout:
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
}
