package dfpkey_test

import (
	"bytes"
	"crypto/rand"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpkey"
)

func TestNew(t *testing.T) {
	a, err := dfpkey.New(rand.Reader)
	assert.NilError(t, err)
	b, err := dfpkey.New(rand.Reader)
	assert.NilError(t, err)
	assert.Assert(t, a != b)
	assert.Assert(t, dfpkey.ContainsKey(a) && !dfpkey.ContainsKey(dfpkey.Hash(a).String()))
	_, err = dfpkey.New(bytes.NewReader(make([]byte, 3)))
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

func TestParseDigest(t *testing.T) {
	digest := dfpkey.Hash("dfpkey_x")
	for _, tc := range []struct{ name, text, err string }{
		{"own text", digest.String(), ""},
		{"capitals", "sha256:" + strings.ToUpper(digest.String()[7:]), ""},
		{"clear text", "dfpkey_secret", "not a key's hash: it does not start with sha256:"},
		{"short", "sha256:9f2c", "not a key's hash: 4 characters after sha256: in place of 64"},
		{"no digit", "sha256:" + strings.Repeat("g", 64), "not a key's hash: a character is not a hexadecimal digit"},
	} {
		got, err := dfpkey.ParseDigest(tc.text)
		if tc.err != "" {
			assert.Error(t, err, tc.err, tc.name)
			assert.Assert(t, errors.Is(err, dfpkey.ErrInvalidDigest), tc.name)
			continue
		}
		assert.NilError(t, err, tc.name)
		assert.Assert(t, got.Equal(digest), tc.name)
	}
}
