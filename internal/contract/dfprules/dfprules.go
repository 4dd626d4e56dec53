// Package dfprules parses the operators' rules file into an immutable Ruleset.
//
// The file has one rule a line. Each rule ends with a comment that says who asked for it. Blank
// lines and lines with only a comment are allowed between rules:
//
//	availability_zone ost-1 region=ost share=1                # Marija, opening 2026-12
//	organisation waldspiel rate=120/s burst=240 callers=25%   # contract 2026-11, Petra
//	key waldspiel sha256:9f2c...                              # issued to the Graz shops
//	service ordering slots=120 connections=800 retries=2 max_body=1MB   # Ivo
//	route POST /order service=ordering importance=critical deadline=2s  # Petra
//	route GET /catalogue/* service=catalogue importance=low open=yes    # web shop
//	drain 10.0.3.7:9001                                       # kernel update, Ivo
//
// The options and their defaults are: share=1; callers=25%; slots=1 and connections=slots, for
// backend servers that announce no numbers; retries=2; max_body=1MB; idempotent=yes for GET, HEAD
// and OPTIONS and no for other methods; open=no; deadline=5s; when_stale=serve.
//
// In a route's pattern, * matches one whole segment of the path. As the last segment, * matches the
// rest of the path, which may be empty. Where the patterns of two routes of a method overlap, the more
// specific route wins: the one all of whose paths the other route matches, too. If neither is more
// specific, Parse rejects the file.
//
// Lines and columns in errors count from 1. Columns count characters (runes), as editors do; a tab
// counts as one, and a byte order mark at the start is not counted.
//
// A Ruleset is immutable and safe for concurrent use. Its look-ups do not allocate, so that they can
// run for each request.
//
// # Usage
//
//	set, err := dfprules.Parse("shop.rules", text)
//	if err != nil { // A dfprules.ErrorList with every error of the file.
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

// MaxTextBytes is the maximum size of a rules file. A value in the platform's store holds one
// megabyte and carries, besides the text, the IDs of recent applies.
const MaxTextBytes = 960_000

// Origin is a rule's line in the rules file and the comment that says who asked for the rule.
type Origin struct {
	// Line counts from 1.
	Line int `json:"line"`
	// Comment is the text after the #, without surrounding space.
	Comment string `json:"comment"`
	// Text is the whole line, without surrounding space.
	Text string `json:"-"`
}

// Rule is one line: *Zone, *Organisation, *Key, *Service, *Route or *Drain.
type Rule interface {
	// ID identifies what the rule configures; it is unique within a Ruleset.
	ID() string
	origin() Origin
}

// Zone is an availability zone.
type Zone struct {
	Origin
	Name   string `json:"name"`
	Region string `json:"region"`
	// Share is the zone's weight in the division of each organisation's rate and burst among zones.
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
	// CallersShare is the largest fraction of one node's caller connections and requests in progress
	// that the organisation may hold, above 0 and at most 1.
	CallersShare float64 `json:"callers_share"`
	// Rank, if not nil, takes precedence over the ranks of routes; 0 is the most important.
	Rank *int `json:"rank,omitempty"`
}

// Key is a key that an organisation's callers may present, stored as a digest.
type Key struct {
	Origin
	Organisation string        `json:"organisation"`
	Digest       dfpkey.Digest `json:"-"`
}

// Service is a target of routes.
type Service struct {
	Origin
	Name string `json:"name"`
	// Slots is the number of requests that a backend server runs at once, unless the backend server
	// announces its own number.
	Slots int `json:"slots"`
	// Connections is the number of connections that a backend server accepts, unless the backend
	// server announces its own number.
	Connections int `json:"connections"`
	// Retries is the retry budget of a caller's request to this service, shared by the whole chain
	// of calls made for the request.
	Retries int `json:"retries"`
	// MaxBody is the maximum size of a request's body, in bytes.
	MaxBody int64 `json:"max_body"`
}

// WhenStale is what a node does with a request while the node cannot tell whether its rules are
// still in force.
type WhenStale uint8

// The values of when_stale.
const (
	Serve WhenStale = iota
	Refuse
)

// String returns the value as in the rules file.
func (w WhenStale) String() string {
	if w == Refuse {
		return "refuse"
	}
	return "serve"
}

// WeightedService is a service that gets a fraction of a route's requests.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is relative to the weights of the route's other services.
	Weight float64 `json:"weight"`
}

// Route sends requests with a method and a path pattern, or with a host and a path prefix, to a
// service.
type Route struct {
	Origin
	// Name is empty if the rules do not name their routes.
	Name    string `json:"name,omitempty"`
	Method  string `json:"method,omitempty"`
	Pattern string `json:"pattern,omitempty"`
	// Host and Prefix select requests of all methods if Pattern is empty. Prefix begins and ends
	// with a slash.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Split, if not empty, divides the requests among several services and replaces Service.
	Split []WeightedService `json:"split,omitempty"`
	// Attempts is the maximum number of backend servers that a request is sent to; 0 sets no bound
	// besides the retry budget.
	Attempts int `json:"attempts,omitempty"`
	// Rank, if not nil, orders routes more finely than Importance; 0 is the most important.
	Rank *int `json:"rank,omitempty"`
	// Objective is the latency within which an answer has its full value to the caller; 0 sets none.
	Objective  time.Duration      `json:"objective,omitempty"`
	Service    string             `json:"service"`
	Importance dfpcall.Importance `json:"importance"`
	Idempotent bool               `json:"idempotent"`
	// Open means that callers need no key.
	Open bool `json:"open"`
	// Deadline is the maximum duration of a request from its arrival.
	Deadline  time.Duration `json:"deadline"`
	WhenStale WhenStale     `json:"when_stale"`
}

// Drain means that a backend server gets no new requests because it is going out of service.
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

// ID returns the kind, method and pattern of the route, or its kind, host and prefix.
func (r *Route) ID() string {
	if r.Pattern == "" {
		return "route " + r.Host + r.Prefix
	}
	return "route " + r.Method + " " + r.Pattern
}

// ID returns the kind and address of the drained backend server.
func (d *Drain) ID() string { return "drain " + d.Address.String() }

func (o Origin) origin() Origin { return o }

// Ruleset is a set of rules, as parsed from a rules file. Its lists are in the order of the file.
// Callers must not change it.
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
	// methods holds the tree of route patterns of each method.
	methods map[string]*patternNode
	// hosts holds the routes by host and prefix.
	hosts map[string]map[string]*Route
	// ranks numbers the pairs of ranks that can occur, from the most important.
	ranks map[rankPair]int
}

// Rules returns all rules in the order of the file.
func (s *Ruleset) Rules() []Rule { return s.rules }

// Zone returns the availability zone with the given name.
func (s *Ruleset) Zone(name string) (*Zone, bool) {
	z, found := s.zones[name]
	return z, found
}

// Organisation returns the organisation with the given name.
func (s *Ruleset) Organisation(name string) (*Organisation, bool) {
	o, found := s.organisations[name]
	return o, found
}

// Service returns the service with the given name.
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

// Drained reports whether a rule drains the backend server at an address of the form IP:PORT.
func (s *Ruleset) Drained(address string) bool { return s.drains[address] }
