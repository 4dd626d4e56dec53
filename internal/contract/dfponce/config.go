package dfponce

import "time"

// Defaults of Config.
const (
	DefaultClaimRetention = 30 * time.Minute
	DefaultMaxClockSkew   = 5 * time.Second
	DefaultVoteTimeout    = 1500 * time.Millisecond
	DefaultResendInterval = 200 * time.Millisecond
	DefaultRunTimeout     = 60 * time.Second
	DefaultMaxClaims      = 100_000
	DefaultMaxAttempts    = 16_384
	DefaultMaxAnswerBody  = 1 << 10
	DefaultMaxAnswerBytes = 8 << 20
)

// copyClaims is the number of claims in one Copy.
const copyClaims = 64

// Config configures Claims. Zero fields but Self and Zone take the defaults.
type Config struct {
	Self Member
	Zone string
	// Retention is how long a claim is kept from the start of its latest attempt.
	Retention time.Duration
	// Margin bounds how far the wall clocks of nodes and callers lie apart.
	MaxClockSkew time.Duration
	// Wait is how long an attempt waits for its quorum.
	VoteTimeout time.Duration
	// Resend is the interval after which an unanswered message is sent again.
	ResendInterval time.Duration
	// RunTimeout is the time after which a running attempt's fate is called unknown.
	RunTimeout time.Duration
	// MaxClaims bounds the claims kept here. At the bound new keys are refused;
	// none is forgotten early.
	MaxClaims int
	// MaxAttempts bounds the attempts under way from here.
	MaxAttempts int
	// MaxAnswerBody is the longest body in bytes that is kept with a claim, and
	// MaxAnswerBytes bounds all answers kept. Beyond either, a repeat hears that the
	// request ran, without the answer.
	MaxAnswerBody  int
	MaxAnswerBytes int

	faults faults
}

// faults switch mechanisms off, for the tests that show what they are for.
type faults struct {
	oneVote        bool // One member's vote is enough.
	acceptAnyEpoch bool // Members vote in any epoch.
	skipCopy       bool // New members take nothing over.
	countUnsynced  bool // Votes of a member from before it was synced count.
	mergeFirst     bool // Of two attempts that are copied the first stays.
	judgeAll       bool // Keys are not judged by their time.
	grantLate      bool // A grant counts however long it was under way.
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.Retention, DefaultClaimRetention},
		{&c.MaxClockSkew, DefaultMaxClockSkew},
		{&c.VoteTimeout, DefaultVoteTimeout},
		{&c.ResendInterval, DefaultResendInterval},
		{&c.RunTimeout, DefaultRunTimeout},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	for _, n := range []struct {
		field *int
		value int
	}{
		{&c.MaxClaims, DefaultMaxClaims},
		{&c.MaxAttempts, DefaultMaxAttempts},
		{&c.MaxAnswerBody, DefaultMaxAnswerBody},
		{&c.MaxAnswerBytes, DefaultMaxAnswerBytes},
	} {
		if *n.field <= 0 {
			*n.field = n.value
		}
	}
	return c
}
