package dfpcommand_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/operator/dfpcommand"
	"dragonflyport/internal/standin/dfpstore"
)

// run runs a command line and returns its exit status and what it wrote to Out and Err.
func run(args ...string) (subcommands.ExitStatus, string, string) {
	var out, errOut bytes.Buffer
	cfg := dfpcommand.Config{Out: &out, Err: &errOut}
	flags := flag.NewFlagSet("dragonflyport", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	commander := subcommands.NewCommander(flags, "dragonflyport")
	commander.Output, commander.Error = &out, &errOut
	commander.Register(dfpcommand.Rules(cfg), "")
	commander.Register(dfpcommand.Key(cfg), "")
	if err := flags.Parse(args); err != nil {
		return subcommands.ExitUsageError, "", err.Error()
	}
	status := commander.Execute(context.Background())
	return status, out.String(), errOut.String()
}

func rulesOf(rate int) string {
	return fmt.Sprintf("availability_zone ost-1 region=ost # Marija\norganisation waldspiel rate=%d/s burst=3 # Petra\n", rate)
}

func write(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "shop.rules")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func startStore(t *testing.T) (*dfpstore.Store, string) {
	t.Helper()
	store := dfpstore.New(dfpstore.Config{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return store, server.URL
}

func TestUsage(t *testing.T) {
	t.Setenv("DRAGONFLYPORT_PLATFORM_URL", "")
	file := write(t, rulesOf(1))
	for _, tc := range []struct {
		args []string
		want string
	}{
		{[]string{"rules"}, ""},
		{[]string{"rules", "frob"}, ""},
		{[]string{"rules", "check"}, "usage: rules check FILE"},
		{[]string{"rules", "check", file, "more"}, "usage: rules check FILE"},
		{[]string{"rules", "apply", file}, "--platform or DRAGONFLYPORT_PLATFORM_URL"},
		{[]string{"rules", "apply", file, "--platform", "http://x"}, "--seen must be"},
		{[]string{"rules", "apply", file, "--platform", "http://x", "--seen", "0"}, "--by must be your name"},
		{[]string{"rules", "show"}, "--platform or"},
		{[]string{"rules", "diff", file}, "--platform or"},
		{[]string{"rules", "log"}, "--platform or"},
		{[]string{"key", "new", "waldspiel"}, "--comment must say"},
		{[]string{"key", "new", "Wald", "--comment", "x"}, "is no name"},
		{[]string{"key", "new", "w", "--comment", "x\ndrain 10.0.0.1:1 # y"}, "--comment must say"},
	} {
		status, _, errOut := run(tc.args...)
		assert.Equal(t, status, subcommands.ExitUsageError, strings.Join(tc.args, " "))
		assert.Assert(t, strings.Contains(errOut, tc.want), "%v: %s", tc.args, errOut)
	}
}

func TestCheck(t *testing.T) {
	status, out, _ := run("rules", "check", write(t, rulesOf(1)))
	assert.Equal(t, status, subcommands.ExitSuccess)
	assert.Assert(t, strings.HasSuffix(out, "shop.rules: 2 rules, no fault\n"), out)
	status, out, _ = run("rules", "check", write(t, "drain x\nfrob # x\n"))
	assert.Equal(t, status, subcommands.ExitFailure)
	assert.Equal(t, strings.Count(out, "shop.rules:"), 3, out)
	status, _, _ = run("rules", "check", "no-such-file")
	assert.Equal(t, status, subcommands.ExitFailure)
}

func TestKeyNew(t *testing.T) {
	status, out, _ := run("key", "new", "waldspiel", "--comment", "Graz shops")
	assert.Equal(t, status, subcommands.ExitSuccess)
	key, rule, _ := strings.Cut(strings.TrimPrefix(out, "key:  "), "\nrule: ")
	set, err := dfprules.Parse("f", []byte(rulesOf(1)+rule))
	assert.NilError(t, err)
	organisation, found := set.OrganisationOf(dfpkey.Hash(key))
	assert.Assert(t, found && organisation == "waldspiel")
}

func TestApplyShowDiffLog(t *testing.T) {
	_, url := startStore(t)
	t.Setenv("DRAGONFLYPORT_PLATFORM_URL", url)
	status, _, errOut := run("rules", "show")
	assert.Equal(t, status, subcommands.ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "holds no rules yet"))
	apply := func(rate, seen int, by string) (subcommands.ExitStatus, string) {
		status, out, errOut := run("rules", "apply", write(t, rulesOf(rate)), "--seen", fmt.Sprint(seen), "--by", by)
		return status, out + errOut
	}
	for version := range 12 {
		status, out := apply(version+1, version, "Petra")
		assert.Equal(t, status, subcommands.ExitSuccess)
		assert.Equal(t, out, fmt.Sprintf("accepted: version %d\n", version+1))
	}
	status, out := apply(99, 11, "Ivo")
	assert.Equal(t, status, subcommands.ExitFailure)
	assert.Assert(t, strings.HasPrefix(out, "refused: the rules are at version 12, you saw 11\nversion 12  20"), out)
	assert.Assert(t, strings.Contains(out, "- organisation waldspiel rate=11/s burst=3 # Petra\n+ organisation waldspiel rate=12/s"), out)
	status, out, errOut = run("rules", "show")
	assert.Equal(t, status, subcommands.ExitSuccess)
	assert.Equal(t, out, rulesOf(12))
	assert.Assert(t, strings.HasPrefix(errOut, "version 12, by Petra, apply "))
	status, out, _ = run("rules", "diff", write(t, rulesOf(13)))
	assert.Equal(t, status, subcommands.ExitSuccess)
	assert.Equal(t, strings.Count(out, "\n"), 2, out)
	status, out, _ = run("rules", "log", "--lines")
	assert.Equal(t, status, subcommands.ExitSuccess)
	assert.Equal(t, strings.Count(out, "version "), 12)
	assert.Equal(t, strings.Count(out, "\n+ "), 7, out)
}

// TestApplyUnderFaults checks the printed outcomes against what the store contains afterwards.
func TestApplyUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		method  dfpstore.Method
		fault   dfpstore.Fault
		want    string
		version int
	}{
		{"down", dfpstore.MethodCompareAndSwap, dfpstore.Fault{Down: true}, "refused: nothing was changed", 0},
		{"reads down", dfpstore.MethodGet, dfpstore.Fault{Down: true}, "refused: nothing was changed", 0},
		{"answers lost", dfpstore.MethodCompareAndSwap, dfpstore.Fault{LoseAnswer: true}, "refused: nothing was changed", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store, url := startStore(t)
			assert.NilError(t, store.SetFault(tc.method, tc.fault))
			status, out, _ := run("rules", "apply", write(t, rulesOf(1)), "--seen", "0", "--by", "x", "--platform", url, "--timeout", "300ms")
			assert.Equal(t, status, subcommands.ExitFailure)
			assert.Assert(t, strings.HasPrefix(out, tc.want), out)
			assert.NilError(t, store.SetFault(tc.method, dfpstore.Fault{}))
			_, _, errOut := run("rules", "show", "--platform", url)
			assert.Assert(t, strings.Contains(errOut, "holds no rules yet"), errOut)
		})
	}
}
