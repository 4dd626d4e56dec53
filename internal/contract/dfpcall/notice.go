package dfpcall

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

// ErrRateLimit is wrapped by the error of ParseRateLimit.
var ErrRateLimit = errors.New("invalid rate limit")

// Notice is what a backend server says about itself in an answer. The zero value says that it takes requests
// without a limit.
type Notice struct {
	// Limited reports that the backend server takes at most Rate requests a second from all nodes together,
	// for as long as its answers say so.
	Limited bool    `cbor:"limited,omitempty" json:"limited,omitempty"`
	Rate    float64 `cbor:"rate,omitempty" json:"rate,omitempty"`
	// Leaving reports that the backend server is about to stop and takes no new requests.
	Leaving bool `cbor:"leaving,omitempty" json:"leaving,omitempty"`
}

// InstanceNotice is the notice of one instance of a backend server.
type InstanceNotice struct {
	// Instance distinguishes the instance from those before and after it on its VM; empty if that is not known.
	Instance string `cbor:"instance" json:"instance"`
	Notice
}

// ParseRateLimit sets the limit of the notice from a decimal number of requests a second. Empty text means no
// limit. The error wraps ErrRateLimit, and the notice is then unchanged.
func (n *Notice) ParseRateLimit(text string) error {
	if text == "" {
		return nil
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
		return fmt.Errorf("%w %q: want requests a second as a decimal number", ErrRateLimit, text)
	}
	n.Limited, n.Rate = true, rate
	return nil
}
