package dfprules

import (
	"errors"
	"fmt"
	"strings"
)

// ErrBuild is wrapped by the errors of Build.
var ErrBuild = errors.New("invalid rules")

// Source holds rules that were read from another format than the rules file.
type Source struct {
	Zones         []*Zone
	Organisations []*Organisation
	Keys          []*Key
	Services      []*Service
	// Routes are selected by Host and Prefix.
	Routes []*Route
}

// Build makes a Ruleset from rules that were read from another format than the rules file. If the
// rules are invalid, it returns no Ruleset and an error that wraps ErrBuild and lists every error found.
func Build(src Source) (*Ruleset, error) {
	b := builder{set: newRuleset(), seen: map[string]bool{}}
	addAll(&b, src.Zones)
	addAll(&b, src.Organisations)
	addAll(&b, src.Keys)
	addAll(&b, src.Services)
	for _, r := range src.Routes {
		b.route(r)
	}
	if len(b.errs) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrBuild, errors.Join(b.errs...))
	}
	b.set.orderRanks()
	return b.set, nil
}

type builder struct {
	set  *Ruleset
	seen map[string]bool
	errs []error
}

func (b *builder) errorf(format string, args ...any) {
	b.errs = append(b.errs, fmt.Errorf(format, args...))
}

func addAll[R Rule](b *builder, rules []R) {
	for _, rule := range rules {
		b.add(rule)
	}
}

func (b *builder) add(rule Rule) {
	if b.seen[rule.ID()] {
		b.errorf("%s is declared twice", rule.ID())
	}
	b.seen[rule.ID()] = true
	b.set.add(rule)
}

func (b *builder) route(r *Route) {
	b.add(r)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		b.errorf("%s: the prefix must begin and end with a slash", r.ID())
	}
	parts := r.Split
	if len(parts) == 0 {
		parts = []WeightedService{{Service: r.Service, Weight: 1}}
	}
	var weight float64
	for _, part := range parts {
		if _, found := b.set.services[part.Service]; !found {
			b.errorf("%s: the service %q does not exist", r.ID(), part.Service)
		}
		if part.Weight < 0 {
			b.errorf("%s: the weight of %q is negative", r.ID(), part.Service)
		}
		weight += part.Weight
	}
	if weight <= 0 {
		b.errorf("%s: no service has a weight above 0", r.ID())
	}
	if b.set.hosts == nil {
		b.set.hosts = map[string]map[string]*Route{}
	}
	if b.set.hosts[r.Host] == nil {
		b.set.hosts[r.Host] = map[string]*Route{}
	}
	b.set.hosts[r.Host][r.Prefix] = r
}

// FindRoute returns the route of a request. If the rules name hosts, the route is found by the host
// and the longest prefix of the escaped path; otherwise as by RouteOf.
func (s *Ruleset) FindRoute(method, host, path string) (*Route, bool) {
	if s.hosts == nil {
		return s.RouteOf(method, path)
	}
	prefixes := s.hosts[hostName(host)]
	if prefixes == nil {
		return nil, false
	}
	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil, false
		}
		if r, found := prefixes[path[:i+1]]; found {
			return r, true
		}
		end = i
	}
	return nil, false
}

// hostName returns the name in a Host header, without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// ServiceAt returns the service of a route for a point in [0, 1). Evenly distributed points divide the
// requests by the weights of Split.
func (r *Route) ServiceAt(point float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	var sum float64
	for _, part := range r.Split {
		sum += part.Weight
	}
	point *= sum
	for _, part := range r.Split {
		if point < part.Weight {
			return part.Service
		}
		point -= part.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
