package dfponce

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ClaimID identifies an organisation's Idempotency-Key. It is a cryptographic hash, so that no
// caller can construct a key that collides with another organisation's.
type ClaimID [16]byte

// NewClaimID returns the ID of an organisation's key.
func NewClaimID(organisation, key string) ClaimID {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(organisation)))
	h.Write(n[:])
	h.Write([]byte(organisation))
	h.Write([]byte(key))
	var id ClaimID
	copy(id[:], h.Sum(nil))
	return id
}

// slot returns the index of the slot that keeps the claim, of slots in total.
func (id ClaimID) slot(slots int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(slots))
}

// Fingerprint returns a hash of the content of a request. A repeat must have the same fingerprint as
// the first request with its key.
func Fingerprint(method, path string, body []byte) uint64 {
	h := xxhash.New()
	for _, s := range []string{method, path} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// HomeZone returns the availability zone that keeps the claim of an organisation's key: the zone
// named by the key's prefix "zone.", or else one chosen by rendezvous hash. zones are the zones of
// the rules and must be the same on all nodes; their order does not matter. HomeZone returns "" if
// zones is empty.
func HomeZone(organisation, key string, zones []string) string {
	if prefix, _, ok := strings.Cut(key, "."); ok {
		for _, zone := range zones {
			if zone == prefix {
				return zone
			}
		}
	}
	var best string
	var bestScore uint64
	id := NewClaimID(organisation, key)
	for _, zone := range zones {
		score := xxhash.Sum64(append(id[:], zone...))
		if best == "" || score > bestScore || score == bestScore && zone < best {
			best, bestScore = zone, score
		}
	}
	return best
}

const (
	uuidLength    = 36 // Characters.
	uuidV7        = '7'
	uuidVersionAt = 14
	uuidTimeBytes = 6
)

// KeyTime returns the creation time of a key in milliseconds since 1970 if the key ends in a UUID of
// version 7 (RFC 9562), or else 0. A key with a creation time is refused once it is older than the
// retention of claims, so that its claim does not expire while a repeat could still run.
func KeyTime(key string) int64 {
	if len(key) < uuidLength {
		return 0
	}
	uuid := key[len(key)-uuidLength:]
	if uuid[8] != '-' || uuid[13] != '-' || uuid[18] != '-' || uuid[23] != '-' || uuid[uuidVersionAt] != uuidV7 {
		return 0
	}
	var b [8]byte
	if _, err := hex.Decode(b[8-uuidTimeBytes:], []byte(uuid[0:8]+uuid[9:13])); err != nil {
		return 0
	}
	return int64(binary.BigEndian.Uint64(b[:]))
}
