package dfpshare

import "time"

// Message is what the Limiter of one node sends to that of another. Its contents are independent of each
// other; all that goes to the same node at the same time is sent in one message.
type Message struct {
	// Zone and Incarnation are the sender's zone and the incarnation of its process.
	Zone        string `cbor:"zone"`
	Incarnation uint64 `cbor:"incarnation"`
	// RulesVersion is the version of the rules whose zone fractions the sender applies. ZoneRulesVersion is
	// the lowest such version among the members of its zone, or 0 while that is unknown.
	RulesVersion     uint64 `cbor:"rules"`
	ZoneRulesVersion uint64 `cbor:"zone_rules,omitempty"`

	BatchRequests  []BatchRequest  `cbor:"asks,omitempty"`
	BatchResponses []BatchResponse `cbor:"answers,omitempty"`
	UsageReports   []UsageReport   `cbor:"settles,omitempty"`
	LeaseRequests  []LeaseRequest  `cbor:"lease_asks,omitempty"`
	LeaseResponses []LeaseResponse `cbor:"leases,omitempty"`
	Handovers      []Handover      `cbor:"handovers,omitempty"`
	Ping           *Ping           `cbor:"ping,omitempty"`
	Pong           *Pong           `cbor:"pong,omitempty"`
	ZoneTables     []ZoneTable     `cbor:"zone_tables,omitempty"`
}

// BatchRequest asks the home of a part for a batch of tokens. Part is the organisation's name and the
// part's index in its zone.
type BatchRequest struct {
	// ID is used only once by an incarnation of the requester.
	ID   uint64 `cbor:"id"`
	Part string `cbor:"part"`
	// Need is the number of tokens that requests wait for. Extra is the number wanted beyond that.
	Need  float64 `cbor:"need"`
	Extra float64 `cbor:"extra,omitempty"`
	// Hops is 0 in requests of entry nodes; a home that fetches tokens to serve a request adds 1. A home
	// may need fractions of a token.
	Hops uint8 `cbor:"hops,omitempty"`
}

// BatchResponse is the response to a BatchRequest. Its tokens expire Lifetime after the requester sent the
// request, by the requester's clock.
type BatchResponse struct {
	ID       uint64        `cbor:"id"`
	Part     string        `cbor:"part"`
	Batch    uint64        `cbor:"batch,omitempty"`
	Tokens   float64       `cbor:"tokens,omitempty"`
	Lifetime time.Duration `cbor:"lifetime,omitempty"`
	// Horizon is how long the next batch should last.
	Horizon time.Duration `cbor:"horizon,omitempty"`
	// Refused is how many of the needed tokens won't be available soon. Tokens that were neither granted
	// nor refused may be requested again at once.
	Refused float64 `cbor:"refused,omitempty"`
	// RetryAfter is the time until a token is expected to be available; it is set if Refused is.
	RetryAfter time.Duration `cbor:"retry_after,omitempty"`
	// NotHome means that this node doesn't own the part's slot.
	NotHome bool `cbor:"not_home,omitempty"`
	// Deferred means that the final response will follow when tokens have arrived.
	Deferred bool `cbor:"later,omitempty"`
}

// UsageReport tells the home how many tokens of a batch were spent. It is idempotent.
type UsageReport struct {
	Part  string `cbor:"part"`
	Batch uint64 `cbor:"batch"`
	// Spent is the total number of tokens of the batch spent so far.
	Spent float64 `cbor:"spent"`
	// Age is a lower bound of the time from the use of the last spent token to the sending of this report.
	Age time.Duration `cbor:"age,omitempty"`
	// Final means that the remaining tokens won't be spent and return to the bucket.
	Final bool `cbor:"final,omitempty"`
}

// LeaseRequest asks a home to lend its part for a while.
type LeaseRequest struct {
	// Requester is the index of the requester's own part in its zone.
	Requester int    `cbor:"asker"`
	ID        uint64 `cbor:"id"`
	Part      string `cbor:"part"`
}

// LeaseResponse is the response to a LeaseRequest. A lease ends Lifetime after the borrower sent the
// request; the lender does not use its part until then.
type LeaseResponse struct {
	ID      uint64 `cbor:"id"`
	Part    string `cbor:"part"`
	Granted bool   `cbor:"granted,omitempty"`
	// LentZone and LentPart identify the part whose home has the pool, if this part is lent to another home
	// than the requester.
	LentZone string        `cbor:"lent_zone,omitempty"`
	LentPart int           `cbor:"lent_part,omitempty"`
	Rate     float64       `cbor:"rate,omitempty"`
	Burst    float64       `cbor:"burst,omitempty"`
	Level    float64       `cbor:"level,omitempty"`
	Lifetime time.Duration `cbor:"lifetime,omitempty"`
	// NotHome means that this node doesn't own the part's slot.
	NotHome bool `cbor:"not_home,omitempty"`
}

// Handover gives the balances of a slot to its new owner.
type Handover struct {
	Slot int `cbor:"slot"`
	// Version is the version of the table in which the new owner got the slot.
	Version  uint64    `cbor:"version"`
	Balances []Balance `cbor:"balances"`
}

// Balance is the state of one bucket in a Handover.
type Balance struct {
	Part  string  `cbor:"part"`
	Level float64 `cbor:"level"`
	// Outstanding tokens may still be spent for the time Remaining. For a part that is lent they are the
	// whole burst.
	Outstanding float64       `cbor:"outstanding,omitempty"`
	Remaining   time.Duration `cbor:"remaining,omitempty"`
}

// Ping checks that a node is alive. The receiver sends its table if that is newer than Version.
type Ping struct {
	ID      uint64 `cbor:"id"`
	Version uint64 `cbor:"version"`
}

// Pong is the response to a Ping.
type Pong struct {
	ID      uint64 `cbor:"id"`
	Version uint64 `cbor:"version"`
}

// ZoneTable carries a zone's slot table to a node that may have an older one.
type ZoneTable struct {
	Table    Table  `cbor:"table"`
	Revision uint64 `cbor:"revision"`
}
