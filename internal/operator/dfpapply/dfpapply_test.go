package dfpapply_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/operator/dfpapply"
	"dragonflyport/internal/standin/dfpstore"
)

const rules = "availability_zone ost-1 region=ost # Marija\n"

// lossyStore performs each write, but loses the answers to the first swaps of the head.
type lossyStore struct {
	dfpapply.Store
	losses int // The number of answers still to be lost.
}

func (s *lossyStore) CompareAndSwap(ctx context.Context, write dfpplatform.Write) (dfpplatform.Entry, error) {
	entry, err := s.Store.CompareAndSwap(ctx, write)
	if write.Key == dfpconfig.HeadKey && s.losses > 0 {
		s.losses--
		return dfpplatform.Entry{}, dfpplatform.ErrOutcomeUnknown
	}
	return entry, err
}

func TestApplyLostAnswers(t *testing.T) {
	for _, tc := range []struct {
		lost int
		want dfpconfig.Outcome
	}{{0, dfpconfig.Accepted}, {1, dfpconfig.Accepted}, {1000, dfpconfig.Unknown}} {
		server := httptest.NewServer(dfpstore.New(dfpstore.Config{}).Handler())
		t.Cleanup(server.Close)
		client := dfpplatform.New(dfpplatform.Config{URL: server.URL})
		store := &lossyStore{client, tc.lost}
		cfg := dfpconfig.ApplyConfig{Text: []byte(rules), ApplyID: "a", By: "x", Timeout: 500 * time.Millisecond}
		got := dfpapply.Run(t.Context(), store, cfg)
		assert.Equal(t, got.Outcome, tc.want, "%d lost: %s", tc.lost, got.Reason)
		head, text, err := dfpapply.ReadRules(t.Context(), client)
		assert.NilError(t, err)
		assert.Equal(t, head.Version, uint64(1))
		assert.Equal(t, string(text), rules)
		client.Close()
	}
}
