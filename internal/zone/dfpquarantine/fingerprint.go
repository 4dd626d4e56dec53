package dfpquarantine

import (
	"github.com/cespare/xxhash/v2"

	"dragonflyport/internal/contract/dfpcall"
)

// Fingerprint is a hash of what a request asks for and on whose behalf.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. Requests with the same service, host, method, path, query,
// body and organisation have the same one, wherever they enter the fleet.
func FingerprintOf(req *dfpcall.Request) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{req.Service, req.Organisation, req.Host, req.Method, req.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(req.Body)
	return Fingerprint(digest.Sum64())
}
