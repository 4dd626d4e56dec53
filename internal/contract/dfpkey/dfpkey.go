// Package dfpkey generates and hashes the keys with which callers authenticate.
//
// A key is a random string with a recognisable prefix, so that clear-text keys can be found
// where they must not appear. The system stores only digests. A key has 160 random bits, so
// its unsalted SHA-256 digest can't be reversed by brute force, and the organisation is found
// by a single look-up of the digest.
//
// Looking up a digest in a map does not take constant time. The timing could reveal only bits
// of stored digests, and a caller can't choose a digest without knowing a key for it.
// Digest.Equal compares two digests in constant time, for code that compares a single pair.
//
// # Usage
//
//	key, err := dfpkey.New(rand.Reader)      // Show it to the operator once.
//	digest := dfpkey.Hash(key)               // Store it as digest.String().
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

// Prefix is the prefix of every key.
const Prefix = "dfpkey_"

// randomBytes is the number of random bytes in a key.
const randomBytes = 20

// hashPrefix is the prefix of the text form of a digest.
const hashPrefix = "sha256:"

// ErrInvalidDigest is returned for a string that is not the text form of a digest.
var ErrInvalidDigest = errors.New("not a key's hash")

var encoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// New returns a new key made of random bytes from r, which must be a cryptographically
// secure source in production. If reading r fails, the returned error wraps the error of r.
func New(r io.Reader) (string, error) {
	var b [randomBytes]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return "", fmt.Errorf("generate a key: %w", err)
	}
	return Prefix + strings.ToLower(encoding.EncodeToString(b[:])), nil
}

// Hash returns the digest of a key.
func Hash(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses a digest written as "sha256:" and 64 hexadecimal digits. Its errors wrap
// ErrInvalidDigest and do not include text, which may be a clear-text key.
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

// String returns the text form of the digest, which ParseDigest accepts.
func (d Digest) String() string { return hashPrefix + hex.EncodeToString(d[:]) }

// Equal reports whether two digests are equal, in constant time.
func (d Digest) Equal(other Digest) bool { return subtle.ConstantTimeCompare(d[:], other[:]) == 1 }

// ContainsKey reports whether text appears to contain a clear-text key.
func ContainsKey(text string) bool { return strings.Contains(text, Prefix) }
