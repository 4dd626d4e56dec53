package dfpratelab

import (
	"fmt"
	"strings"

	"dragonflyport/internal/zone/dfpshare"
)

// String returns the report as a table for a terminal.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %.0f s of virtual time a run, %.0f %% of each rate offered\n",
		r.Seed, r.DurationSeconds, 100*r.OfferedFraction)
	for _, t := range r.Runs {
		fmt.Fprintf(&b, "\n%s, %s: %.0f messages and %.0f bytes a node and second, %d platform calls, "+
			"%.0f %% waited, %.1f ms on average\n", t.Fault, t.Pattern, t.MessagesPerNodeSecond,
			t.BytesPerNodeSecond, t.PlatformCalls, 100*t.WaitedFraction, t.WaitMeanMillis)
		for _, s := range t.Schemes {
			fmt.Fprintf(&b, "  %-16s %7.3f %% refused wrongly, %6d of %6d granted, %.3f over the bound\n",
				s.Name, 100*s.WronglyRefusedFraction, s.Granted, s.Arrivals, s.OverBound)
		}
		for _, o := range t.Schemes[len(t.Schemes)-1].Organisations {
			fmt.Fprintf(&b, "    %-14s %7.3f %% refused wrongly, %4d fewer of %6d\n",
				o.Name, 100*o.WronglyRefusedFraction, o.Shortfall, o.AdmittedByCentral)
		}
	}
	return b.String()
}

// Report is the result of Run.
type Report struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	OfferedFraction float64 `json:"offered_part"`
	Runs            []Trial `json:"runs"`
	// BoundExceeded reports that some window exceeded an organisation's rate and burst in some scheme.
	BoundExceeded bool `json:"broken"`
}

// Trial is the result of one pattern under one fault. All schemes got the same requests.
type Trial struct {
	Pattern Pattern  `json:"pattern"`
	Fault   Fault    `json:"fault"`
	Schemes []Scheme `json:"schemes"`
	// MessagesPerNodeSecond is the rate of messages between nodes, for home batches.
	MessagesPerNodeSecond float64 `json:"messages_per_node_second"`
	PlatformCalls         int     `json:"platform_calls"`
	// BytesPerNodeSecond is the rate of the CBOR bytes of the messages between nodes.
	BytesPerNodeSecond float64 `json:"bytes_per_node_second"`
	// MessageCounts counts the parts of these messages.
	MessageCounts MessageCounts `json:"kinds"`
	// WaitedFraction is the fraction of the requests that waited for their result, for home batches. They
	// waited WaitMeanMillis on average.
	WaitedFraction float64 `json:"waited_part"`
	WaitMeanMillis float64 `json:"wait_mean_millis"`
	WaitMaxMillis  float64 `json:"wait_longest_millis"`
}

// MessageCounts counts the parts of the messages between nodes.
type MessageCounts struct {
	// BatchRequests come from entry nodes, HomeBatchRequests from homes that run short.
	BatchRequests     int `json:"asks"`
	HomeBatchRequests int `json:"asks_of_homes"`
	BatchResponses    int `json:"answers"`
	UsageReports      int `json:"settles"`
	LeaseRequests     int `json:"leases"`
	Pings             int `json:"pings"`
	ZoneTables        int `json:"tables"`
}

func (c *MessageCounts) count(m dfpshare.Message) {
	for _, a := range m.BatchRequests {
		if a.Hops > 0 {
			c.HomeBatchRequests++
		} else {
			c.BatchRequests++
		}
	}
	c.BatchResponses += len(m.BatchResponses)
	c.UsageReports += len(m.UsageReports)
	c.LeaseRequests += len(m.LeaseRequests)
	c.ZoneTables += len(m.ZoneTables)
	if m.Ping != nil {
		c.Pings++
	}
}

// Scheme is the result of one scheme.
type Scheme struct {
	Name string `json:"name"`
	// WronglyRefusedFraction is the number of wrongly refused requests as a fraction of the requests that
	// the central bucket admitted.
	WronglyRefusedFraction float64 `json:"wrongful_part"`
	Arrivals               int     `json:"arrivals"`
	Granted                int     `json:"granted"`
	// OverBound is the largest excess of any window over rate*window+burst, in requests; 0 means that there
	// is none.
	OverBound     float64        `json:"over_bound"`
	Organisations []Organisation `json:"organisations"`
}

// Organisation is the result of a scheme for one organisation.
type Organisation struct {
	Name              string `json:"name"`
	Arrivals          int    `json:"arrivals"`
	AdmittedByCentral int    `json:"central"`
	Granted           int    `json:"granted"`
	WronglyRefused    int    `json:"wrongful"`
	// Shortfall is how many fewer requests the scheme granted than the central bucket admitted; negative
	// if it granted more.
	Shortfall              int     `json:"fewer"`
	WronglyRefusedFraction float64 `json:"wrongful_part"`
	OverBound              float64 `json:"over_bound"`
}
