package dfprules

import (
	"errors"
	"fmt"
	"strings"
)

// ErrBuild is wrapped by the errors of Build.
var ErrBuild = errors.New("invalid rules")

// Source holds the rules of an operator who does not write them as a rules file.
type Source struct {
	Zones         []*Zone
	Organisations []*Organisation
	Keys          []*Key
	Services      []*Service
	// Routes go by host and prefix.
	Routes []*Route
}

// Build makes a Ruleset of rules that were read from another format than the rules
// file. The error wraps ErrBuild and names every fault; then there is no Ruleset.
func Build(src Source) (*Ruleset, error) {
	b := builder{set: newRuleset(), seen: map[string]bool{}}
	addAll(&b, src.Zones)
	addAll(&b, src.Organisations)
	addAll(&b, src.Keys)
	addAll(&b, src.Services)
	for _, r := range src.Routes {
		b.route(r)
	}
	if len(b.faults) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrBuild, errors.Join(b.faults...))
	}
	b.set.rankAll()
	return b.set, nil
}

type builder struct {
	set    *Ruleset
	seen   map[string]bool
	faults []error
}

func (b *builder) fault(format string, args ...any) {
	b.faults = append(b.faults, fmt.Errorf(format, args...))
}

func addAll[R Rule](b *builder, rules []R) {
	for _, rule := range rules {
		b.add(rule)
	}
}

func (b *builder) add(rule Rule) {
	if b.seen[rule.ID()] {
		b.fault("%s is given twice", rule.ID())
	}
	b.seen[rule.ID()] = true
	b.set.add(rule)
}

func (b *builder) route(r *Route) {
	b.add(r)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		b.fault("%s: the prefix must begin and end with a slash", r.ID())
	}
	parts := r.Split
	if len(parts) == 0 {
		parts = []WeightedService{{Service: r.Service, Weight: 1}}
	}
	var weight float64
	for _, part := range parts {
		if _, found := b.set.services[part.Service]; !found {
			b.fault("%s: the service %q does not exist", r.ID(), part.Service)
		}
		if part.Weight < 0 {
			b.fault("%s: the weight of %q is negative", r.ID(), part.Service)
		}
		weight += part.Weight
	}
	if weight <= 0 {
		b.fault("%s: no service has a weight above 0", r.ID())
	}
	if b.set.hosts == nil {
		b.set.hosts = map[string]map[string]*Route{}
	}
	if b.set.hosts[r.Host] == nil {
		b.set.hosts[r.Host] = map[string]*Route{}
	}
	b.set.hosts[r.Host][r.Prefix] = r
}

// FindRoute returns the route of a request: by host and the longest prefix of the escaped path
// where the rules name hosts, else as RouteOf does.
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

// hostName returns a Host header's name without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// ServiceAt returns the service of a route for a number evenly spread over [0, 1).
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
