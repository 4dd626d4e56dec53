package dfprules

import (
	"iter"
	"slices"
	"strings"
)

// checkRoutes builds the trees of patterns and reports each overlap of two patterns of which neither is
// more specific. Such an overlap needs a * before the last segment: without one, two patterns are
// disjoint or one contains the other.
func (p *parser) checkRoutes() {
	for _, r := range p.set.Routes {
		if p.set.methods[r.Method] == nil {
			p.set.methods[r.Method] = &patternNode{}
		}
		p.set.methods[r.Method].insert(r.Pattern[1:], r)
	}
	reported := map[int]bool{}
	for _, r := range p.set.Routes {
		if !strings.Contains(r.Pattern, "/*/") {
			continue
		}
		p.set.methods[r.Method].overlapping(r.Pattern[1:], func(other *Route) {
			if contains(r.Pattern, other.Pattern) || contains(other.Pattern, r.Pattern) {
				return
			}
			first, second := r, other
			if second.Line < first.Line {
				first, second = second, first
			}
			if !reported[second.Line] {
				reported[second.Line] = true
				p.reportOverlap(first, second)
			}
		})
	}
}

func (p *parser) reportOverlap(first, second *Route) {
	i := slices.Index(p.set.Routes, second)
	p.errorf(second.Line, p.patternWords[i].col,
		"%s and %s of line %d both match some paths and neither is more specific: replace one by a route whose pattern matches only those paths",
		second.Pattern, first.Pattern, first.Line)
}

// overlapping calls visit for each route that matches some path that a pattern matches. The pattern
// is without its first slash.
func (n *patternNode) overlapping(pattern string, visit func(*Route)) {
	part, rest, more := strings.Cut(pattern, "/")
	if n.catchAll != nil {
		visit(n.catchAll)
	}
	if part == "*" && !more {
		n.each(visit)
		return
	}
	for name, child := range n.matching(part) {
		if name == "" && part == "*" || name == "*" && part == "" {
			continue // A * does not match an empty segment.
		}
		if more {
			child.overlapping(rest, visit)
		} else if child.route != nil {
			visit(child.route)
		}
	}
}

// matching yields the children that match some segment that a segment of a pattern matches.
func (n *patternNode) matching(part string) iter.Seq2[string, *patternNode] {
	if part == "*" {
		return n.children()
	}
	return func(yield func(string, *patternNode) bool) {
		if child := n.literals[part]; child != nil && !yield(part, child) {
			return
		}
		if n.wildcard != nil {
			yield("*", n.wildcard)
		}
	}
}

// each calls visit for all routes below the node except its own catchAll.
func (n *patternNode) each(visit func(*Route)) {
	for _, child := range n.children() {
		if child.route != nil {
			visit(child.route)
		}
		if child.catchAll != nil {
			visit(child.catchAll)
		}
		child.each(visit)
	}
}

// children yields the children by segment: the literals in sorted order, then the wildcard as *.
func (n *patternNode) children() iter.Seq2[string, *patternNode] {
	return func(yield func(string, *patternNode) bool) {
		names := make([]string, 0, len(n.literals))
		for name := range n.literals {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if !yield(name, n.literals[name]) {
				return
			}
		}
		if n.wildcard != nil {
			yield("*", n.wildcard)
		}
	}
}

// contains reports whether the outer pattern matches every path that the inner pattern matches.
func contains(outer, inner string) bool {
	outerPart, outerRest, outerMore := strings.Cut(outer[1:], "/")
	innerPart, innerRest, innerMore := strings.Cut(inner[1:], "/")
	if outerPart == "*" && !outerMore {
		return true
	}
	if innerPart == "*" && !innerMore || outerMore != innerMore {
		return false
	}
	if outerPart != innerPart && (outerPart != "*" || innerPart == "") {
		return false
	}
	return !outerMore || contains("/"+outerRest, "/"+innerRest)
}
