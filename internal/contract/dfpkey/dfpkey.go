// Package dfpkey makes and hashes the keys that callers present.
//
// A key is a random text with a recognisable prefix, so that a key in clear text is
// found where it must not stand. The system keeps only digests. Keys carry 160 random
// bits, so an unsalted SHA-256 digest can't be searched for its key, and one look-up by
// digest finds the organisation.
//
// Looking a digest up in a map does not take constant time. What the time could tell is
// about bits of a digest, which a caller can't choose without knowing a key for it.
// Equal compares two digests in constant time, for code that compares a single pair.
//
// # Usage
//
//	key, err := dfpkey.New(rand.Reader)      // Shown once to the operator.
//	digest := dfpkey.Hash(key)               // Kept, written as digest.String().
//	digest, err := dfpkey.ParseDigest("sha256:9f2c...")
package dfpkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Prefix starts every key.
const Prefix = "dfpkey_"

// randomBytes is the number of random bytes in a key.
const randomBytes = 20

// hashPrefix starts the text form of a digest.
const hashPrefix = "sha256:"

// ErrInvalidDigest is returned for a text that is not the text form of a digest.
var ErrInvalidDigest = errors.New("not a key's hash")

var encoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// New returns a new key drawn from r, which must be a cryptographic source in
// production. It returns the error of r.
func New(r io.Reader) (string, error) {
	var b [randomBytes]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return "", fmt.Errorf("draw a key: %w", err)
	}
	return Prefix + strings.ToLower(encoding.EncodeToString(b[:])), nil
}

// Hash returns the digest of a key.
func Hash(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest returns the digest written as "sha256:" and 64 hexadecimal digits, or an
// error that wraps ErrInvalidDigest. The error does not repeat the text, which may be a key.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	digits, found := strings.CutPrefix(text, hashPrefix)
	if !found {
		return d, fmt.Errorf("%w: it does not start with %s", ErrInvalidDigest, hashPrefix)
	}
	if len(digits) != 2*len(d) {
		return d, fmt.Errorf("%w: %d characters after %s in place of %d", ErrInvalidDigest, len(digits), hashPrefix, 2*len(d))
	}
	if _, err := hex.Decode(d[:], []byte(digits)); err != nil {
		return Digest{}, fmt.Errorf("%w: a character is not a hexadecimal digit", ErrInvalidDigest)
	}
	return d, nil
}

// String returns the digest in the form that ParseDigest reads.
func (d Digest) String() string { return hashPrefix + hex.EncodeToString(d[:]) }

// Equal reports in constant time whether two digests are the same.
func (d Digest) Equal(other Digest) bool { return subtle.ConstantTimeCompare(d[:], other[:]) == 1 }

// ContainsKey reports whether a text contains what looks like a key in clear text.
func ContainsKey(text string) bool { return strings.Contains(text, Prefix) }
