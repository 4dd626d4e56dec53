package dfppeer_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/link/dfppeer"
)

// TestNotificationsLeaveSilentConnection guards against losing notifications on a silent connection:
// no caller waits for a reply to them, so only a probe detects the silence. They must move to another
// connection.
func TestNotificationsLeaveSilentConnection(t *testing.T) {
	for _, tc := range []struct {
		name     string
		noProbes bool
		want     bool
	}{
		{"probes on", false, true},
		{"probes off", true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dialer := &faultDialer{}
			received := make(chan struct{}, 1024)
			guard := start(t, 2, func(cfg *dfppeer.Config) {
				cfg.Control = func(context.Context, string, dfppeer.Control) (dfppeer.Control, error) {
					received <- struct{}{}
					return dfppeer.Control{}, nil
				}
			})
			caller := start(t, 1, func(cfg *dfppeer.Config) {
				cfg.Dial = dialer.dial
				cfg.NoNotificationProbes = tc.noProbes
			})
			_, err := caller.mesh.Call(context.Background(), guard.address, dfppeer.Control{Topic: dfppeer.TopicOnce})
			assert.NilError(t, err)
			<-received
			dialer.eachConn(func(c *faultConn) { c.discardWrites, c.blockReads = true, true })
			assert.Equal(t, notifyUntilReceived(caller, guard, received), tc.want)
		})
	}
}

// maxDetectionTime is the time within which traffic must leave a silent connection.
const maxDetectionTime = 3 * time.Second

// notifyUntilReceived sends notifications repeatedly, as the control loops of a node do. It reports
// whether one arrived within maxDetectionTime.
func notifyUntilReceived(caller, guard *node, received <-chan struct{}) bool {
	timeout := time.After(maxDetectionTime)
	for {
		caller.mesh.Notify(guard.address, dfppeer.Control{Topic: dfppeer.TopicOnce})
		select {
		case <-received:
			return true
		case <-timeout:
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
}
