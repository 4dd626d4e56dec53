package dfpaudit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/standin/dfpaudit"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpload"
)

// TestCheck gives Check evidence of one violation at a time, and none.
func TestCheck(t *testing.T) {
	run := func(operation, organisation string) dfpbackendserver.Run {
		return dfpbackendserver.Run{Operation: operation, Organisation: organisation}
	}
	operation := func(verdicts ...dfpload.Verdict) []dfpload.Operation {
		return []dfpload.Operation{{Name: "op", Organisation: "a", Path: "/order", Attempts: verdicts}}
	}
	for _, tc := range []struct {
		name       string
		ledger     dfpbackendserver.LedgerSnapshot
		operations []dfpload.Operation
		want       []string
	}{
		{name: "no violation", ledger: dfpbackendserver.LedgerSnapshot{Runs: []dfpbackendserver.Run{run("op", "a")}}, operations: operation(dfpload.VerdictNotRun, dfpload.VerdictCompleted)},
		{name: "ran twice", ledger: dfpbackendserver.LedgerSnapshot{Runs: []dfpbackendserver.Run{run("op", "a"), run("op", "a")}}, operations: operation(dfpload.VerdictCompleted), want: []string{dfpaudit.AtMostOnce}},
		{name: "not run but ran", ledger: dfpbackendserver.LedgerSnapshot{Runs: []dfpbackendserver.Run{run("op", "a")}}, operations: operation(dfpload.VerdictNotRun), want: []string{dfpaudit.NotRunIsTrue}},
		{name: "other organisation", ledger: dfpbackendserver.LedgerSnapshot{Runs: []dfpbackendserver.Run{run("op", "b")}}, operations: operation(dfpload.VerdictCompleted), want: []string{dfpaudit.OwnOrganisation}},
		{name: "key passed on", ledger: dfpbackendserver.LedgerSnapshot{RequestsWithSecret: 1}, want: []string{dfpaudit.NoKeyPassedOn}},
		{name: "over the rate", ledger: dfpbackendserver.LedgerSnapshot{Runs: []dfpbackendserver.Run{run("1", "a"), run("2", "a"), run("3", "a"), run("4", "a")}}, want: []string{dfpaudit.WithinRate}},
	} {
		var got []string
		for _, v := range dfpaudit.Check(dfpaudit.Evidence{
			Ledgers: []dfpbackendserver.LedgerSnapshot{tc.ledger},
			Result:  &dfpload.Result{Operations: tc.operations},
			Limits:  []dfpaudit.Limit{{Organisation: "a", Rate: 1, Burst: 2}},
			Elapsed: time.Second,
		}) {
			got = append(got, v.Promise)
		}
		assert.DeepEqual(t, got, tc.want)
	}
}
