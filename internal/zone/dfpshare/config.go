package dfpshare

import (
	"time"

	"dragonflyport/internal/vm/dfpvm"
)

// TickInterval is how often the node calls Limiter.Tick.
const TickInterval = 5 * time.Millisecond

// Config configures a Limiter. Zero fields take defaults. All nodes of a fleet must use the same durations:
// the limits hold only if each node waits at least as long as another node may go on using its tokens.
type Config struct {
	// Self is this VM; its zone, address and incarnation must be set.
	Self dfpvm.VM
	// Seed seeds the random choice of peers.
	Seed uint64
	// Slots is the number of slots in a new table.
	Slots int
	// MaxMembers is the maximum number of nodes of a zone that own slots.
	MaxMembers int

	// ContactTimeout is how long an owner may use its slots without contact with the platform or with a
	// quorum of its zone's members. A member that has been silent for so long is evicted.
	ContactTimeout time.Duration
	// ClockMargin allows for the drift between two clocks over any of these durations.
	ClockMargin time.Duration
	// BatchHorizon is the length of time whose demand a batch should cover.
	BatchHorizon time.Duration
	// BatchLifetime is the usual lifetime of a batch, MaxBatchLifetime the longest.
	BatchLifetime    time.Duration
	MaxBatchLifetime time.Duration
	// LeaseLifetime is how long a part is lent to another home, LeaseRenewal the time between renewals.
	LeaseLifetime time.Duration
	LeaseRenewal  time.Duration
	// PoolRetention is how long leases are renewed after the last request for tokens, and how long a home
	// remembers where the pool is.
	PoolRetention time.Duration
	// RefillWait is how long a request may wait for a token that refill is certain to provide.
	RefillWait time.Duration
	// ResponseTimeout limits the wait for another node's first response. DeferredTimeout limits the wait
	// for the final response after a deferred one.
	ResponseTimeout time.Duration
	DeferredTimeout time.Duration
	// MaxWait limits how long a request waits while homes do not respond.
	MaxWait time.Duration
	// ReportDelay is how long after its use a token is reported to the home as spent. Until then a request
	// that did not run can return its token.
	ReportDelay time.Duration
	// PingInterval is the time between heartbeats of members.
	PingInterval time.Duration

	// Unsafe disables safety mechanisms, for tests that show that each of them is needed.
	Unsafe UnsafeOptions
}

// UnsafeOptions disables single safety mechanisms, for tests only: with any of these options set, faults
// can let organisations exceed their rates.
type UnsafeOptions struct {
	// IgnoreOutstanding lets a bucket fill up regardless of its outstanding tokens.
	IgnoreOutstanding bool
	// SkipFencingWait reassigns the slots of an evicted owner at once.
	SkipFencingWait bool
	// ExpireFromReceipt counts the lifetime of a batch from the arrival of the response.
	ExpireFromReceipt bool
	// TakeOverFull starts the buckets of a slot that was taken over full instead of empty.
	TakeOverFull bool
	// IgnoreIsolation lets an owner use its slots without contact with other members or the platform.
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

// quarantine is how long after an owner stopped the last of its tokens may still be spent.
func (c Config) quarantine() time.Duration {
	return max(c.MaxBatchLifetime, c.LeaseLifetime) + c.ClockMargin
}
