package dfpconfig

// Mechanism is a mechanism that a test can disable, to prove that the tests detect the resulting fault.
type Mechanism string

// The mechanisms.
const (
	Monotonic    Mechanism = "monotonic"
	Gossip       Mechanism = "gossip"
	Poll         Mechanism = "poll"
	Substitute   Mechanism = "substitute"
	AgeFromQuery Mechanism = "age_from_query"
	HistoryCheck Mechanism = "history_check"
)

// Disable disables a mechanism of a node.
func (s *State) Disable(m Mechanism) {
	s.disabled = disabledMechanisms{monotonic: m == Monotonic, gossip: m == Gossip, poll: m == Poll, substitute: m == Substitute, ageFromQuery: m == AgeFromQuery}
}

// Disable disables a mechanism of an operator's apply.
func (a *Applier) Disable(m Mechanism) { a.disabled = applierDisabled{historyCheck: m == HistoryCheck} }
