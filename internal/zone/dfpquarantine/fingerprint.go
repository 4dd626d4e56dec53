package dfpquarantine

import (
	"github.com/cespare/xxhash/v2"

	"dragonflyport/internal/contract/dfpcall"
)

// Fingerprint is a hash of what a request asks for and on whose behalf.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. Requests with the same host, method, path, query, body and
// organisation have the same one, wherever they enter the fleet and whichever service their route draws. Nested
// calls name a service in place of a host.
func FingerprintOf(req *dfpcall.Request) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	target := req.Host
	if req.Depth > 0 {
		target = req.Service
	}
	for _, part := range []string{target, req.Organisation, req.Method, req.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(req.Body)
	return Fingerprint(digest.Sum64())
}
