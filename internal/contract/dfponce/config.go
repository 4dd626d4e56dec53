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

// copyClaims is the maximum number of claims in one Copy message.
const copyClaims = 64

// Config configures a ClaimManager. Zero fields other than Self and Zone take the defaults.
type Config struct {
	Self Member
	Zone string
	// Retention is how long a claim is kept after its latest attempt began.
	Retention time.Duration
	// MaxClockSkew bounds the difference between the wall clocks of any two nodes or callers.
	MaxClockSkew time.Duration
	// VoteTimeout is how long an attempt waits for a quorum.
	VoteTimeout time.Duration
	// ResendInterval is the interval after which an unanswered message is resent.
	ResendInterval time.Duration
	// RunTimeout is the time after which the outcome of a running attempt counts as unknown.
	RunTimeout time.Duration
	// MaxClaims bounds the number of claims kept on this node. At the bound new keys are refused; no
	// claim is deleted early.
	MaxClaims int
	// MaxAttempts bounds the number of attempts in progress that began on this node.
	MaxAttempts int
	// MaxAnswerBody is the size in bytes of the longest answer body that is kept with a claim, and
	// MaxAnswerBytes bounds the memory for all kept answers. If an answer exceeds either bound,
	// repeats learn only that the request ran.
	MaxAnswerBody  int
	MaxAnswerBytes int

	faults faults
}

// faults switch off one safety mechanism each. Tests use them to show that the mechanism is needed.
type faults struct {
	oneVote          bool // A single grant is enough.
	acceptAnyEpoch   bool // Members vote on requests of any epoch.
	skipCopy         bool // New members ignore the claims that they are sent.
	countUnsynced    bool // Grants from before a member was synced count.
	keepFirstOnMerge bool // Of two conflicting copied attempts the first is kept.
	ignoreKeyTime    bool // Keys are granted whatever their age.
	acceptLateGrant  bool // A quorum counts even after VoteTimeout.
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
