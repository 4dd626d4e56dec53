package dfpanswer

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/standin/dfprawserver"
)

// TestHeadInPieces feeds heads in pieces of any size: the verdict does not depend on them.
func TestHeadInPieces(t *testing.T) {
	answers := append(dfprawserver.Broken("X-Own: 1\r\n"), dfprawserver.Valid("X-Own: 1\r\n")...)
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SampledFrom(answers).Draw(t, "answer").Raw
		whole := new(head)
		want := whole.feed([]byte(raw))
		h := new(head)
		var got error
		for rest := []byte(raw); len(rest) > 0 && got == nil; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			got = h.feed(rest[:n])
			rest = rest[n:]
		}
		assert.Equal(t, got != nil, want != nil, "%v, %v", got, want)
		assert.Equal(t, h.done, whole.done)
	})
}

// TestCheck checks the status and the fields of answers that arrive over a link.
func TestCheck(t *testing.T) {
	fields := func(name, value string) map[string][]string { return map[string][]string{name: {"1", value}} }
	for _, tc := range []struct {
		name   string
		status int
		header map[string][]string
		valid  bool
	}{
		{"success", 200, fields("X-Own", "a\tb \xff"), true},
		{"no fields", 599, nil, true},
		{"status 0", 0, nil, false},
		{"informational", 101, nil, false},
		{"status 600", 600, nil, false},
		{"negative status", -200, nil, false},
		{"blank in a name", 200, fields("X Own", "1"), false},
		{"no name", 200, fields("", "1"), false},
		{"control byte in a name", 200, fields("X\x01", "1"), false},
		{"line end in a value", 200, fields("X-Own", "a\r\nb"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := Check(tc.status, tc.header)
			assert.Equal(t, err == nil, tc.valid, "%v", err)
			assert.Assert(t, err == nil || errors.Is(err, ErrInvalid))
		})
	}
}

// FuzzHead feeds any bytes, which must not panic, and checks that a head that is done had a valid status line.
func FuzzHead(f *testing.F) {
	for _, answer := range append(dfprawserver.Broken(""), dfprawserver.Valid("")...) {
		f.Add([]byte(answer.Raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		h := new(head)
		if err := h.feed(raw); err == nil && h.done {
			assert.Assert(t, strings.HasPrefix(string(raw), "HTTP/1."))
			assert.Assert(t, finalStatus(h.status))
		}
	})
}
