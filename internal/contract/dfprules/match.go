package dfprules

import "strings"

// patternNode is a node of the tree of one method's patterns. Each level is a segment of the path.
type patternNode struct {
	literals map[string]*patternNode
	// wildcard is the child for a * that is not the last segment.
	wildcard *patternNode
	// route is the route whose pattern ends at this node; catchAll is the one whose pattern goes on
	// with a * as its last segment.
	route, catchAll *Route
}

// RouteOf returns the most specific route for a method and an escaped path without its query. HEAD
// falls back to the route of GET. A path that a backend server could read as another one (because of
// empty or dot segments, an escaped slash, or escapes of plain characters) matches no route.
func (s *Ruleset) RouteOf(method, path string) (*Route, bool) {
	if len(path) == 0 || path[0] != '/' || !isCanonical(path) {
		return nil, false
	}
	if r := s.methods[method].find(path[1:]); r != nil {
		return r, true
	}
	if method == "HEAD" {
		r := s.methods["GET"].find(path[1:])
		return r, r != nil
	}
	return nil, false
}

// find returns the most specific route of a path without its first slash, or nil. Of two routes that
// match a path, one matches all paths of the other, so trying literals first finds the most specific.
// Each node is reached by only one sequence of segments, so none is visited twice.
func (n *patternNode) find(path string) *Route {
	if n == nil {
		return nil
	}
	part, rest, more := strings.Cut(path, "/")
	for _, child := range [2]*patternNode{n.literals[part], n.wildcard} {
		if child == nil || child == n.wildcard && part == "" {
			continue
		}
		if more {
			if r := child.find(rest); r != nil {
				return r
			}
		} else if child.route != nil {
			return child.route
		}
	}
	return n.catchAll
}

// insert adds a route below the node by its pattern without the first slash.
func (n *patternNode) insert(path string, r *Route) {
	part, rest, more := strings.Cut(path, "/")
	if part == "*" && !more {
		n.catchAll = r
		return
	}
	child := n.child(part)
	if more {
		child.insert(rest, r)
	} else {
		child.route = r
	}
}

// child returns the child for a segment of a pattern and creates it if needed.
func (n *patternNode) child(part string) *patternNode {
	if part == "*" {
		if n.wildcard == nil {
			n.wildcard = &patternNode{}
		}
		return n.wildcard
	}
	if n.literals == nil {
		n.literals = map[string]*patternNode{}
	}
	if n.literals[part] == nil {
		n.literals[part] = &patternNode{}
	}
	return n.literals[part]
}

// isCanonical reports whether an escaped path can be read in only one way.
func isCanonical(path string) bool {
	if strings.Contains(path, "//") || strings.Contains(path, "/./") || strings.Contains(path, "/../") ||
		strings.HasSuffix(path, "/.") || strings.HasSuffix(path, "/..") || strings.ContainsAny(path, "\\;") {
		return false
	}
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			continue
		}
		if i+2 >= len(path) || !isEscapeNeeded(path[i+1], path[i+2]) {
			return false
		}
		i += 2
	}
	return true
}

// isEscapeNeeded reports whether two hexadecimal digits encode a byte that must be escaped within a
// segment and that a path may contain: not a slash, a backslash, a semicolon or a control character.
func isEscapeNeeded(high, low byte) bool {
	h, l := hexValue(high), hexValue(low)
	if h < 0 || l < 0 {
		return false
	}
	c := byte(h<<4 | l)
	isPlain := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		strings.IndexByte("-._~/\\;", c) >= 0
	return !isPlain && c >= ' ' && c != 0x7f
}

func hexValue(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
