// Package dfprules reads the operators' rules file into an immutable Ruleset.
//
// The file holds one rule a line. Each rule ends with a comment that says who asked for
// it; blank lines and lines that hold nothing but a comment may stand between rules:
//
//	availability_zone ost-1 region=ost share=1                # Marija, opening 2026-12
//	organisation waldspiel rate=120/s burst=240 callers=25%   # contract 2026-11, Petra
//	key waldspiel sha256:9f2c...                              # issued to the Graz shops
//	service ordering slots=120 connections=800 retries=2 max_body=1MB   # Ivo
//	route POST /order service=ordering importance=critical deadline=2s  # Petra
//	route GET /catalogue/* service=catalogue importance=low open=yes    # web shop
//	drain 10.0.3.7:9001                                       # kernel update, Ivo
//
// Options of a rule and their defaults: share=1; callers=25%; slots=1 and
// connections=slots, for backend servers that announce none; retries=2; max_body=1MB;
// idempotent=yes for GET, HEAD and OPTIONS and no for other methods; open=no;
// deadline=5s; when_stale=serve.
//
// In a route's pattern * stands for one whole segment of the path; as the last segment it
// stands for all that follows, which may be empty. Where the patterns of two routes of a method
// overlap, the one whose requests are all matched by the other too is the more
// specific and wins. If neither is, Parse refuses the file.
//
// Lines and columns of faults count from 1. Columns count characters (runes), as
// editors do; a tab is one, and a byte order mark at the start is none.
//
// A Ruleset never changes after Parse and is safe for use by several goroutines.
// Its look-ups allocate nothing, so they fit the path of a request.
//
// # Usage
//
//	set, err := dfprules.Parse("shop.rules", text)
//	if err != nil { // A dfprules.ErrorList with every fault.
//	}
//	route, found := set.RouteOf("GET", r.URL.EscapedPath())
//	organisation, found := set.OrganisationOf(dfpkey.Hash(key))
package dfprules

import (
	"net/netip"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpkey"
)

// MaxTextBytes is the largest rules file. A value of the platform holds a megabyte
// and carries, besides the text, the ids of recent applies.
const MaxTextBytes = 960_000

// Origin is where a rule stands and who asked for it.
type Origin struct {
	// Line counts from 1.
	Line int `json:"line"`
	// Comment is the text after the # without surrounding space.
	Comment string `json:"comment"`
	// Text is the whole line without surrounding space.
	Text string `json:"-"`
}

// Rule is one line: *Zone, *Organisation, *Key, *Service, *Route or *Drain.
type Rule interface {
	// ID names what the rule is about; no two rules of a Ruleset share it.
	ID() string
	origin() Origin
}

// Zone is an availability zone.
type Zone struct {
	Origin
	Name   string `json:"name"`
	Region string `json:"region"`
	// Share is the zone's weight in the division of every organisation's rate and burst.
	Share float64 `json:"share"`
	// Fraction is Share divided by the sum of all zones' shares.
	Fraction float64 `json:"part"`
}

// Organisation is a tenant whose callers present its keys.
type Organisation struct {
	Origin
	Name string `json:"name"`
	// Rate is in requests a second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is in requests over the whole fleet; at least 1.
	Burst float64 `json:"burst"`
	// CallersShare is the largest part of one entry's caller connections and work
	// in progress that the organisation may hold, above 0 and at most 1.
	CallersShare float64 `json:"callers_share"`
	// Rank, if not nil, goes before that of routes: 0 is the most important.
	Rank *int `json:"rank,omitempty"`
}

// Key is a key that callers of an organisation may present.
type Key struct {
	Origin
	Organisation string        `json:"organisation"`
	Digest       dfpkey.Digest `json:"-"`
}

// Service is a service that routes lead to.
type Service struct {
	Origin
	Name string `json:"name"`
	// Slots is the number of requests that a backend server runs at once, for those
	// that announce no number.
	Slots int `json:"slots"`
	// Connections is the number of connections that a backend server takes, for
	// those that announce no number.
	Connections int `json:"connections"`
	// Retries is the retry budget of the whole chain of a request that enters here.
	Retries int `json:"retries"`
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int64 `json:"max_body"`
}

// WhenStale says what becomes of a request while a node can't tell whether its
// rules are still in force.
type WhenStale uint8

// The choices of when_stale.
const (
	Serve WhenStale = iota
	Refuse
)

// String returns the word of the rules file.
func (w WhenStale) String() string {
	if w == Refuse {
		return "refuse"
	}
	return "serve"
}

// WeightedService is a service that gets a part of a route's requests.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is relative to the other parts of the route.
	Weight float64 `json:"weight"`
}

// Route leads requests of a method and a path pattern, or of a host and a path prefix, to a
// service.
type Route struct {
	Origin
	// Name is set where the rules name their routes.
	Name    string `json:"name,omitempty"`
	Method  string `json:"method,omitempty"`
	Pattern string `json:"pattern,omitempty"`
	// Host and Prefix select the requests of all methods where Pattern is empty. Prefix begins and
	// ends with a slash.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Split, if not empty, divides the requests among services in place of Service.
	Split []WeightedService `json:"split,omitempty"`
	// Attempts is the largest number of backend servers that a request is handed to; 0 sets no
	// bound besides the retry budget.
	Attempts int `json:"attempts,omitempty"`
	// Rank, if not nil, orders routes more finely than Importance: 0 is the most important.
	Rank *int `json:"rank,omitempty"`
	// Objective is the latency within which an answer has its full worth; 0 is none.
	Objective  time.Duration      `json:"objective,omitempty"`
	Service    string             `json:"service"`
	Importance dfpcall.Importance `json:"importance"`
	Idempotent bool               `json:"idempotent"`
	// Open routes need no key.
	Open bool `json:"open"`
	// Deadline is the longest time that a request may take from its arrival.
	Deadline  time.Duration `json:"deadline"`
	WhenStale WhenStale     `json:"when_stale"`
}

// Drain says that a backend server is leaving and gets no new work.
type Drain struct {
	Origin
	// Address is the IP address and port of the backend server.
	Address netip.AddrPort `json:"address"`
}

// ID returns the kind and name of the zone.
func (z *Zone) ID() string { return "availability_zone " + z.Name }

// ID returns the kind and name of the organisation.
func (o *Organisation) ID() string { return "organisation " + o.Name }

// ID returns the kind and digest of the key.
func (k *Key) ID() string { return "key " + k.Digest.String() }

// ID returns the kind and name of the service.
func (s *Service) ID() string { return "service " + s.Name }

// ID returns the kind, method and pattern of the route.
func (r *Route) ID() string {
	if r.Pattern == "" {
		return "route " + r.Host + r.Prefix
	}
	return "route " + r.Method + " " + r.Pattern
}

// ID returns the kind and address of the drained backend server.
func (d *Drain) ID() string { return "drain " + d.Address.String() }

func (o Origin) origin() Origin { return o }

// Ruleset is the meaning of a rules file. Its lists are in the file's order. Readers
// must not change it.
type Ruleset struct {
	Zones         []*Zone         `json:"zones"`
	Organisations []*Organisation `json:"organisations"`
	Keys          []*Key          `json:"keys"`
	Services      []*Service      `json:"services"`
	Routes        []*Route        `json:"routes"`
	Drains        []*Drain        `json:"drains"`

	rules         []Rule
	zones         map[string]*Zone
	organisations map[string]*Organisation
	keys          map[dfpkey.Digest]*Key
	services      map[string]*Service
	drains        map[string]bool
	methods       map[string]*segment
	// hosts holds the routes by host and prefix.
	hosts map[string]map[string]*Route
	// ranks numbers the pairs of ranks that can come, from the most important.
	ranks map[rankPair]int
}

// Rules returns all rules in the file's order.
func (s *Ruleset) Rules() []Rule { return s.rules }

// Zone returns the availability zone of a name.
func (s *Ruleset) Zone(name string) (*Zone, bool) {
	z, found := s.zones[name]
	return z, found
}

// Organisation returns the organisation of a name.
func (s *Ruleset) Organisation(name string) (*Organisation, bool) {
	o, found := s.organisations[name]
	return o, found
}

// Service returns the service of a name.
func (s *Ruleset) Service(name string) (*Service, bool) {
	v, found := s.services[name]
	return v, found
}

// OrganisationOf returns the name of the organisation that a key was issued to.
func (s *Ruleset) OrganisationOf(key dfpkey.Digest) (string, bool) {
	k, found := s.keys[key]
	if !found {
		return "", false
	}
	return k.Organisation, true
}

// Drained reports whether a rule drains the backend server at an address, which is an
// IP address and a port.
func (s *Ruleset) Drained(address string) bool { return s.drains[address] }
