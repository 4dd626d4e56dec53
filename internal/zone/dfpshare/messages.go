package dfpshare

import "time"

// Message is what one node's Limiter sends to another's. Its parts are
// independent; parts for the same node travel in one message.
type Message struct {
	// Zone and Incarnation name the sender's zone and process.
	Zone        string `cbor:"zone"`
	Incarnation uint64 `cbor:"incarnation"`
	// RulesVersion is the rules version whose parts the sender keeps to; ZoneRulesVersion is the
	// lowest such version among the members of its zone, 0 while that isn't known.
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

// BatchRequest asks the home of a part of an organisation's rate for a batch of tokens. Part
// is the organisation's name and the part's number in its zone.
type BatchRequest struct {
	// ID is never used twice by one incarnation of the asker.
	ID   uint64 `cbor:"id"`
	Part string `cbor:"part"`
	// Need is the number of tokens that requests wait for; Extra is wanted besides.
	Need  float64 `cbor:"need"`
	Extra float64 `cbor:"extra,omitempty"`
	// Hops is 0 for an entry, and one more each time a home buys to serve an ask.
	// A home may need fractions of a token.
	Hops uint8 `cbor:"hops,omitempty"`
}

// BatchResponse answers an BatchRequest. Its tokens die Lifetime after the asker sent the BatchRequest,
// by the asker's clock.
type BatchResponse struct {
	ID       uint64        `cbor:"id"`
	Part     string        `cbor:"part"`
	Batch    uint64        `cbor:"batch,omitempty"`
	Tokens   float64       `cbor:"tokens,omitempty"`
	Lifetime time.Duration `cbor:"lifetime,omitempty"`
	// Horizon is the time that the next batch should last for.
	Horizon time.Duration `cbor:"horizon,omitempty"`
	// Refused is how many of the needed tokens can't be had soon. What is neither
	// granted nor refused may be asked for again at once.
	Refused float64 `cbor:"refused,omitempty"`
	// RetryAfter is when a token may be had; set where Refused is.
	RetryAfter time.Duration `cbor:"retry_after,omitempty"`
	// NotHome says that the asked node doesn't hold the organisation's slot.
	NotHome bool `cbor:"not_home,omitempty"`
	// Deferred says that the answer proper follows when tokens have come.
	Deferred bool `cbor:"later,omitempty"`
}

// UsageReport tells the home what became of a batch. It is idempotent.
type UsageReport struct {
	Part  string `cbor:"part"`
	Batch uint64 `cbor:"batch"`
	// Spent is the number of tokens spent so far, over the batch's life.
	Spent float64 `cbor:"spent"`
	// Age is how long before this was sent the last of them was spent, at least.
	Age time.Duration `cbor:"age,omitempty"`
	// Final says that the rest won't be spent and returns to the bucket.
	Final bool `cbor:"final,omitempty"`
}

// LeaseRequest asks a home for its whole part for a while.
type LeaseRequest struct {
	// Requester is the number of the asker's own part in its zone.
	Requester int    `cbor:"asker"`
	ID        uint64 `cbor:"id"`
	Part      string `cbor:"part"`
}

// LeaseResponse answers a LeaseRequest. The lender uses its part no more until the lease
// has run out; it ends Lifetime after the lessee sent the LeaseRequest.
type LeaseResponse struct {
	ID      uint64 `cbor:"id"`
	Part    string `cbor:"part"`
	Granted bool   `cbor:"granted,omitempty"`
	// LentZone and LentPart name the part whose home has the pool, if it is lent to
	// another than the asker.
	LentZone string        `cbor:"lent_zone,omitempty"`
	LentPart int           `cbor:"lent_part,omitempty"`
	Rate     float64       `cbor:"rate,omitempty"`
	Burst    float64       `cbor:"burst,omitempty"`
	Level    float64       `cbor:"level,omitempty"`
	Lifetime time.Duration `cbor:"lifetime,omitempty"`
	// NotHome says that the asked node doesn't hold the organisation's slot.
	NotHome bool `cbor:"not_home,omitempty"`
}

// Handover brings the balance of a slot to its new owner.
type Handover struct {
	Slot int `cbor:"slot"`
	// Version is the table version that names the new owner.
	Version  uint64    `cbor:"version"`
	Balances []Balance `cbor:"balances"`
}

// Balance is one bucket in a Handover.
type Balance struct {
	Part  string  `cbor:"part"`
	Level float64 `cbor:"level"`
	// Outstanding tokens may still be spent for the time Remaining; the same
	// holds for a part that is lent.
	Outstanding float64       `cbor:"outstanding,omitempty"`
	Remaining   time.Duration `cbor:"remaining,omitempty"`
}

// Ping asks for a sign of life and for the newer of two tables.
type Ping struct {
	ID      uint64 `cbor:"id"`
	Version uint64 `cbor:"version"`
}

// Pong answers a Ping.
type Pong struct {
	ID      uint64 `cbor:"id"`
	Version uint64 `cbor:"version"`
}

// ZoneTable carries a zone's slot table from a node that knows a newer one.
type ZoneTable struct {
	Table    Table  `cbor:"table"`
	Revision uint64 `cbor:"revision"`
}
