// Package dfpshare limits each organisation to its rate and burst over the whole fleet, without a
// coordinator, and refuses few requests that are within these limits.
//
// # Design
//
// Every organisation's rate and burst are divided into parts: each zone gets a fraction of them and divides
// it evenly over two parts. The home of a part is the node that keeps the part's token bucket. Each zone
// has a slot table, a value in the platform that is changed by compare-and-swap only. The table maps hashes
// of organisations to slots and each slot to its owner, one of the table's members; the owner is the home
// of the slot's parts.
//
// The entry node of a request is the node that admits it. It requests batches of tokens from homes, spends
// one token per request and reports the spent tokens to the home that issued them. Every batch has an
// expiry. Tokens in a batch are outstanding until they are reported as spent, returned or expired.
// Outstanding tokens take up room in the bucket, so that the limit holds whatever messages or nodes are
// lost.
//
// A home that runs short fetches tokens from the home of the organisation's leader, which is the first part,
// in an order by hash, whose home can be reached. If the leader's home runs short, it borrows the other parts,
// under leases, and pools them in the leader's bucket.
//
// A member that falls silent is evicted. Its slots get new owners only when it must have noticed that it
// may no longer use them and all of its tokens have expired (fencing).
//
// # Usage
//
//	limiter := dfpshare.New(dfpshare.Config{Self: vm}, now)
//	limiter.SetRules(now, rules)
//	switch r := limiter.Take(now, "waldspiel").(type) {
//	case *dfpshare.Granted: // Run the request; if it did not run, ReturnToken(now, r.Token).
//	case *dfpshare.Waiting: // Call Tick now; Effects.Decided will hold the result for r.Waiter.
//	case *dfpshare.Refused: // Refuse the request at once, with r.RetryAfter.
//	}
package dfpshare

import (
	"errors"
	"time"
)

// ErrInvalidTable is wrapped by errors about a slot table that can't be decoded or is inconsistent.
var ErrInvalidTable = errors.New("invalid slot table")

// Token admits one request. If the request does not run, the token is passed to ReturnToken.
type Token struct {
	Organisation string
	Batch        uint64
}

// WaiterID identifies a request that waits for its result.
type WaiterID uint64

// Result is the result of Take: *Granted, *Waiting or *Refused.
type Result interface{ result() }

// Granted means that the request may run. Requests share the value; it must not be changed.
type Granted struct{ Token Token }

// Waiting means that the request waits for tokens from a home.
type Waiting struct{ Waiter WaiterID }

// Refused means that the organisation has exceeded its rate, or that no tokens could be obtained for it.
type Refused struct{ RetryAfter time.Duration }

func (*Granted) result() {}
func (*Waiting) result() {}
func (*Refused) result() {}

// Decision is the result for a request that waited.
type Decision struct {
	Waiter WaiterID
	Result Result
}

// Send is a message for the node at address To.
type Send struct {
	To      string
	Message Message
}

// Effects lists what the node has to do after a call.
type Effects struct {
	Sends    []Send
	Decided  []Decision
	Proposed *TableProposal
	// ReadTable asks the node to read the zone's table from the platform and pass it to SetTable.
	ReadTable bool
	// Stopped is set after Stop as soon as this node owns no slots.
	Stopped bool
}
