package dfpplatform_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/standin/dfprawserver"
)

// TestBrokenAnswers has the service send what is no answer: what a write did is unknown, and a read failed.
func TestBrokenAnswers(t *testing.T) {
	for _, answer := range dfprawserver.Broken("Content-Type: application/proto\r\n") {
		t.Run(answer.Name, func(t *testing.T) {
			server, err := dfprawserver.Start(answer.Script())
			assert.NilError(t, err)
			client := dfpplatform.New(dfpplatform.Config{URL: "http://" + server.Address, Timeout: 2 * time.Second})
			_, err = client.Get(t.Context(), "a")
			assert.ErrorIs(t, err, dfpplatform.ErrUnavailable)
			_, err = client.CompareAndSwap(t.Context(), dfpplatform.Write{Key: "a", Value: []byte("x")})
			assert.ErrorIs(t, err, dfpplatform.ErrOutcomeUnknown)
			client.Close()
			assert.NilError(t, server.Close())
		})
	}
}
