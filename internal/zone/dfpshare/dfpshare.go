// Package dfpshare keeps each organisation within its rate and burst over the
// whole fleet, without a coordinator, and refuses few requests that are within them.
//
// # Usage
//
//	share := dfpshare.New(dfpshare.Config{Self: vm}, now)
//	share.SetRules(now, rules)
//	switch v := share.Take(now, "waldspiel").(type) {
//	case *dfpshare.Granted: // Run it, or ReturnToken(now, v.Token) if it did not run.
//	case *dfpshare.Waiting: // Tick now; the verdict of v.WaiterID comes in Effects.Decided.
//	case *dfpshare.Refused: // BatchResponse at once with v.RetryAfter.
//	}
package dfpshare

import (
	"errors"
	"time"
)

// ErrInvalidTable is returned for a slot table that can't be right.
var ErrInvalidTable = errors.New("bad slot table")

// Token is one admission; a request that did not run gives it back.
type Token struct {
	Organisation string
	Batch        uint64
}

// WaiterID names a request that waits for a verdict.
type WaiterID uint64

// Result is *Granted, *Waiting or *Refused.
type Result interface{ result() }

// Granted says that the request may run. It is shared and must not be changed.
type Granted struct{ Token Token }

// Waiting says that tokens are being asked for.
type Waiting struct{ Waiter WaiterID }

// Refused says that the organisation is over its rate.
type Refused struct{ RetryAfter time.Duration }

func (*Granted) result() {}
func (*Waiting) result() {}
func (*Refused) result() {}

// Decision is the verdict on a request that waited.
type Decision struct {
	Waiter WaiterID
	Result Result
}

// Send is one message to one node.
type Send struct {
	To      string
	Message Message
}

// Effects is what the node has to do after a call.
type Effects struct {
	Sends    []Send
	Decided  []Decision
	Proposed *TableProposal
	// ReadTable asks for a read of the zone's table, reported by SetTable.
	ReadTable bool
	// Stopped says, after Stop, that this node owns no slot any more.
	Stopped bool
}
