package dfprules_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfprules"
)

// TestExamples checks that the rules files of both example deployments are valid and complete.
func TestExamples(t *testing.T) {
	for _, name := range []string{"schatzspur", "horvat"} {
		text, err := os.ReadFile("../../../examples/" + name + ".rules")
		assert.NilError(t, err)
		set, err := dfprules.Parse(name+".rules", text)
		assert.NilError(t, err)
		assert.Equal(t, len(set.Zones), 4)
		assert.Equal(t, len(set.Organisations), 8)
		assert.Equal(t, len(set.Services), 4)
	}
}

// FuzzParse looks for texts on which Parse or the look-ups panic, or whose rules, written out by Diff, do
// not parse to the same rules again. Run it by
//
//	go test -fuzz FuzzParse -fuzztime 20s -fuzzminimizetime 10x ./internal/contract/dfprules
func FuzzParse(f *testing.F) {
	for _, name := range []string{"schatzspur", "horvat"} {
		text, err := os.ReadFile("../../../examples/" + name + ".rules")
		assert.NilError(f, err)
		f.Add(text)
	}
	for _, text := range []string{head, "", "\xef\xbb\xbf", "\xff", "#", "route GET /*/*/* x= =y # c", "key a sha256: # c", head + "route GET /a/*/c service=catalogue importance=low # c\r"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := dfprules.Parse("f", text)
		if err != nil {
			assert.ErrorIs(t, err, dfprules.ErrInvalid)
			return
		}
		var again []byte
		for _, change := range dfprules.Diff(nil, set) {
			again = append(again, change.New+"\n"...)
		}
		second, err := dfprules.Parse("f", again)
		assert.NilError(t, err)
		assert.Equal(t, len(dfprules.Diff(set, second)), 0)
		for _, r := range set.Routes {
			found, ok := set.RouteOf(r.Method, r.Pattern)
			assert.Assert(t, ok && (found == r || r.Method == "HEAD"), r.Pattern)
		}
	})
}
