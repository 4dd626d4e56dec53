package dfprules_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/contract/dfprules"
)

var digest = dfpkey.Hash("k").String()

var head = `availability_zone ost-1 region=ost share=3 # Marija
availability_zone west-1 region=west # Marija
organisation waldspiel rate=0.5/s burst=3 callers=10% # Petra
service ordering slots=120 max_body=2MB # Ivo
service catalogue retries=0 # Ivo
`

func parse(t *testing.T, text string) *dfprules.Ruleset {
	t.Helper()
	set, err := dfprules.Parse("f", []byte(text))
	assert.NilError(t, err)
	return set
}

func TestParse(t *testing.T) {
	set := parse(t, head+"key waldspiel "+digest+" # shops\n"+
		"route POST /order service=ordering importance=critical deadline=2s when_stale=refuse # a#b\n"+
		"drain 10.0.3.7:9001 # Ivo")
	z, _ := set.Zone("ost-1")
	assert.Equal(t, z.Fraction, 0.75)
	o, _ := set.Organisation("waldspiel")
	assert.DeepEqual(t, *o, dfprules.Organisation{Origin: o.Origin, Name: "waldspiel", Rate: 0.5, Burst: 3, CallersShare: 0.1})
	assert.Equal(t, o.Line, 3)
	assert.Equal(t, o.Comment, "Petra")
	s, _ := set.Service("ordering")
	assert.DeepEqual(t, *s, dfprules.Service{Origin: s.Origin, Name: "ordering", Slots: 120, Connections: 120, Retries: 2, MaxBody: 2_000_000})
	name, found := set.OrganisationOf(dfpkey.Hash("k"))
	assert.Assert(t, found && name == "waldspiel")
	_, found = set.OrganisationOf(dfpkey.Hash("other"))
	assert.Assert(t, !found)
	r, found := set.RouteOf("POST", "/order")
	assert.Assert(t, found)
	assert.DeepEqual(t, *r, dfprules.Route{Origin: r.Origin, Method: "POST", Pattern: "/order", Service: "ordering",
		Importance: dfpcall.Critical, Deadline: 2 * time.Second, WhenStale: dfprules.Refuse})
	assert.Equal(t, r.Comment, "a#b")
	assert.Assert(t, set.Drained("10.0.3.7:9001") && !set.Drained("10.0.3.7:9002"))
}

func TestParseForms(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"CRLF", strings.ReplaceAll(head, "\n", "\r\n")},
		{"byte order mark", "\xef\xbb\xbf" + head},
		{"tabs and blank lines", "\n# Heading\n\t\n" + strings.ReplaceAll(head, " ", "\t")},
		{"no last line end", strings.TrimSuffix(head, "\n")},
	} {
		set := parse(t, tc.text)
		assert.Equal(t, len(set.Rules()), 5, tc.name)
	}
}

// TestParseErrors checks the position and message of each error. A case's text follows head, which has
// 5 lines.
func TestParseErrors(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{"no comment", "drain 10.0.3.7:1", []string{"f:6:17: the comment is missing: write #"}},
		{"empty comment", "drain 10.0.3.7:1 # ", []string{"f:6:18: the comment is missing"}},
		{"unknown rule", "  tenant x # c", []string{`f:6:3: unknown rule "tenant": write availability_zone,`}},
		{"unknown option", "service x slot=3 # c", []string{`f:6:11: service has no option "slot": its options are slots`}},
		{"option twice", "service x slots=3 slots=4 # c", []string{"f:6:19: slots= is given twice"}},
		{"repeated organisation", "organisation waldspiel rate=1/s burst=1 # c", []string{"f:6:14: organisation waldspiel is already declared in line 3"}},
		{"repeated zone and service", "availability_zone ost-1 region=x # c\nservice catalogue # c",
			[]string{"f:6:19: availability_zone ost-1 is already declared in line 1", "f:7:9: service catalogue is already declared in line 5"}},
		{"repeated key", "key waldspiel " + digest + " # a\nkey waldspiel " + digest + " # b", []string{"f:7:15: key " + digest + " is already declared in line 6"}},
		{"repeated, comment missing", "service catalogue", []string{"f:6:9: service catalogue is already declared", "f:6:18: the comment is missing"}},
		{"no such service", "route GET /x service=shop importance=low # c", []string{`f:6:14: the service "shop" is not declared: add a line`}},
		{"no such organisation", "key wald " + digest + " # c", []string{`f:6:5: the organisation "wald" is not declared`}},
		{"rates", "organisation a rate=0/s burst=1 # c\norganisation b rate=x/s burst=0 # c\norganisation c rate=5 burst=1 # c\n" +
			"organisation d rate=NaN/s burst=1 # c\norganisation e rate=Inf/s burst=1.5 # c", []string{
			"f:6:16: rate=0/s: write requests a second above 0, such as rate=120/s",
			"f:7:16: rate=x/s", "f:7:25: burst=0: write a whole number from 1", "f:8:16: rate=5 has no /s",
			"f:9:16: rate=NaN/s", "f:10:16: rate=Inf/s", "f:10:27: burst=1.5"}},
		{"clear key", "key waldspiel dfpkey_abc # c", []string{"f:6:15: a key in clear text: withdraw that key"}},
		{"clear key in the comment", "drain 10.0.3.7:1 # dfpkey_abc", []string{"f:6:20: a key in clear text"}},
		{"other clear key", "key waldspiel hunter2 # c", []string{"f:6:15: not a key's hash: it does not start with sha256:: write"}},
		{"UTF-8", "drain 10.0.3.7:1 # ä\xff", []string{"f:6:21: the byte 0xff is not UTF-8"}},
		{"control character", "drain 10.0.3.7:1 # \x00", []string{"f:6:20: control character U+0000"}},
		{"column after umlaut", "drain ä:1 # c", []string{`f:6:7: "ä:1" is not a valid address`}},
		{"drain twice", "drain 10.0.3.7:1 # c\ndrain 10.0.3.7:1 # c", []string{"f:7:7: drain 10.0.3.7:1 is already declared"}},
		{"words", "key waldspiel # c\ndrain # c\nservice a b # c", []string{"f:6:1: 1 words after key, want 2", "f:7:1: 0 words", "f:8:11: 2 words"}},
		{"route", "route get x service=ordering importance=urgent deadline=2 open=1 # c", []string{
			`f:6:7: unknown method "get"`, `f:6:11: "x" is not a valid path`, `f:6:30: unknown importance "urgent": write low`,
			"f:6:48: deadline=2: write a time", "f:6:59: open=1: write open=yes or open=no"}},
		{"same route", "route GET /x service=ordering importance=low # c\nroute GET /x service=catalogue importance=low # c", []string{"f:7:11: route GET /x is already declared in line 6"}},
		{"ambiguous routes", "route GET /a/*/c service=ordering importance=low # c\nroute GET /a/b/* service=ordering importance=low # c",
			[]string{"f:7:11: /a/b/* and /a/*/c of line 6 both match some paths and neither is more specific"}},
		{"ambiguous in the middle", "route GET /*/b/c service=ordering importance=low # c\nroute GET /a/*/c service=ordering importance=low # c", []string{"f:7:11: /a/*/c and /*/b/c of line 6"}},
		{"* in a segment", "route GET /a* service=ordering importance=low # c", []string{`f:6:11: * matches a whole segment: write /* instead of "a*"`}},
	} {
		_, err := dfprules.Parse("f", []byte(head+tc.text))
		var list dfprules.ErrorList
		assert.Assert(t, errors.As(err, &list) && errors.Is(err, dfprules.ErrInvalid), tc.name)
		assert.Equal(t, len(list), len(tc.want), "%s: %v", tc.name, err)
		for i, want := range tc.want {
			assert.Assert(t, strings.HasPrefix(list[i].Error(), want), "%s: %s", tc.name, list[i])
		}
		assert.Assert(t, !strings.Contains(err.Error(), "hunter2"), tc.name)
	}
}

func TestParseFileErrors(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"empty", "\n# nothing\n", "f:1:1: the file holds no rule"},
		{"no zone", "organisation a rate=1/s burst=1 # c", "f:1:1: no valid availability_zone is declared"},
		{"too large", head + strings.Repeat("#", dfprules.MaxTextBytes), "f:1:1: the file has 9"},
		{"many errors", strings.Repeat("x # c\n", 2000), "f:1:1: unknown rule"},
	} {
		_, err := dfprules.Parse("f", []byte(tc.text))
		assert.ErrorContains(t, err, tc.want, tc.name)
	}
}

func TestRouteOf(t *testing.T) {
	var text strings.Builder
	for _, pattern := range []string{"/", "/*", "/catalogue", "/catalogue/*", "/catalogue/new", "/order/*/refund", "/order/*", "/order/*/*"} {
		fmt.Fprintf(&text, "route GET %s service=ordering importance=low # c\n", pattern)
	}
	set := parse(t, head+text.String())
	for _, tc := range []struct{ path, want string }{
		{"/", "/"}, {"/x", "/*"}, {"/x/y", "/*"}, {"/catalogue", "/catalogue"}, {"/catalogue/", "/catalogue/*"},
		{"/catalogue/new", "/catalogue/new"}, {"/catalogue/new/x", "/catalogue/*"}, {"/catalogue/n%20w", "/catalogue/*"},
		{"/order/7", "/order/*"}, {"/order/7/refund", "/order/*/refund"}, {"/order/7/x/y", "/order/*/*"}, {"/order//refund", ""},
		{"", ""}, {"x", ""}, {"/catalogue/../order/7", ""}, {"/catalogue/%6eew", ""}, {"/catalogue/a%2Fb", ""}, {"/catalogue/%2e%2e", ""},
		{"/catalogue/..", ""}, {"/catalogue/%zz", ""}, {"/catalogue/%", ""}, {"/catalogue/a;b", ""}, {"/catalogue/%00", ""},
	} {
		r, found := set.RouteOf("GET", tc.path)
		assert.Equal(t, found, tc.want != "", tc.path)
		if found {
			assert.Equal(t, r.Pattern, tc.want, tc.path)
		}
	}
	_, found := set.RouteOf("HEAD", "/x")
	assert.Assert(t, found)
	_, found = set.RouteOf("POST", "/x")
	assert.Assert(t, !found)
	key := dfpkey.Hash("k")
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		set.RouteOf("GET", "/order/7/refund")
		set.OrganisationOf(key)
		set.Drained("10.0.3.7:9001")
	}), 0.0)
}

func TestDiff(t *testing.T) {
	before := parse(t, head)
	after := parse(t, strings.Replace(strings.Replace(head, "service catalogue retries=0 # Ivo\n", "", 1), "rate=0.5", "rate=9", 1)+"drain 10.0.3.7:1 # Ivo")
	assert.Equal(t, dfprules.Format(dfprules.Diff(before, after)), `- organisation waldspiel rate=0.5/s burst=3 callers=10% # Petra
+ organisation waldspiel rate=9/s burst=3 callers=10% # Petra
- service catalogue retries=0 # Ivo
+ drain 10.0.3.7:1 # Ivo
`)
	assert.Equal(t, len(dfprules.Diff(before, parse(t, "\n"+head))), 0)
	assert.Equal(t, len(dfprules.Diff(nil, before)), 5)
}
