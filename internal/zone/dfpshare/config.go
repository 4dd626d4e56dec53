package dfpshare

import (
	"time"

	"dragonflyport/internal/vm/dfpvm"
)

// TickInterval is how often the node calls Limiter.Tick.
const TickInterval = 5 * time.Millisecond

// Config configures a Limiter. Zero fields take defaults. All nodes of a fleet
// must agree on the durations: safety rests on one node waiting out another's.
type Config struct {
	// Self is this VM; its zone, address and incarnation must be set.
	Self dfpvm.VM
	// Seed seeds the choice of peers.
	Seed uint64
	// Slots is the number of slots in a new table.
	Slots int
	// MaxMembers bounds how many nodes of a zone own slots.
	MaxMembers int

	// ContactTimeout is how long an owner goes on without word from a quorum of its
	// zone's members or from the platform.
	ContactTimeout time.Duration
	// ClockMargin covers the drift of two clocks over any of these durations.
	ClockMargin time.Duration
	// BatchHorizon is how much demand a batch should cover.
	BatchHorizon time.Duration
	// BatchLifetime and MaxBatchLifetime are how long a batch lives, usually and at most.
	BatchLifetime    time.Duration
	MaxBatchLifetime time.Duration
	// LeaseLifetime and LeaseRenewal govern a part that is lent to another zone.
	LeaseLifetime time.Duration
	LeaseRenewal  time.Duration
	// PoolRetention is how long a pool of the zones' parts outlasts the last shortage.
	PoolRetention time.Duration
	// RefillWait is how long a request may wait for a token that is sure to come.
	RefillWait time.Duration
	// ResponseTimeout bounds the wait for another node's first answer, and DeferredTimeout
	// that for the answer proper if the first said that it comes later.
	ResponseTimeout time.Duration
	DeferredTimeout time.Duration
	// MaxWait bounds how long a request waits while homes do not answer.
	MaxWait time.Duration
	// ReportDelay is how long after use a home is told; until then a request that
	// did not run can give its token back.
	ReportDelay time.Duration
	// PingInterval is the time between heartbeats of members.
	PingInterval time.Duration

	// UnsafeOptions switches mechanisms off, for proofs that they are needed.
	Unsafe UnsafeOptions
}

// UnsafeOptions switches single mechanisms off. It is for tests: with any of them
// set, organisations get more than their rates under faults.
type UnsafeOptions struct {
	// IgnoreOutstanding lets a bucket fill up while batches are out.
	IgnoreOutstanding bool
	// SkipFencingWait takes a condemned owner's slots at once.
	SkipFencingWait bool
	// ExpireFromReceipt counts a batch's life from when its answer came.
	ExpireFromReceipt bool
	// TakeOverFull starts the buckets of a slot that is taken over full.
	TakeOverFull bool
	// IgnoreIsolation lets an owner go on however long it has heard nobody.
	IgnoreIsolation bool
}

func orDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.Slots, 32)
	orDefault(&c.MaxMembers, 7)
	orDefault(&c.ContactTimeout, 3*time.Second)
	orDefault(&c.ClockMargin, 100*time.Millisecond)
	orDefault(&c.BatchHorizon, 100*time.Millisecond)
	orDefault(&c.BatchLifetime, 400*time.Millisecond)
	orDefault(&c.MaxBatchLifetime, time.Second)
	orDefault(&c.LeaseLifetime, 700*time.Millisecond)
	orDefault(&c.LeaseRenewal, 250*time.Millisecond)
	orDefault(&c.PoolRetention, 5*time.Second)
	orDefault(&c.RefillWait, 50*time.Millisecond)
	orDefault(&c.ResponseTimeout, 150*time.Millisecond)
	orDefault(&c.DeferredTimeout, 500*time.Millisecond)
	orDefault(&c.MaxWait, time.Second)
	orDefault(&c.ReportDelay, 20*time.Millisecond)
	orDefault(&c.PingInterval, 500*time.Millisecond)
	return c
}

// quarantine is how long after an owner stopped its last tokens may be spent.
func (c Config) quarantine() time.Duration {
	return max(c.MaxBatchLifetime, c.LeaseLifetime) + c.ClockMargin
}
