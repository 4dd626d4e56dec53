package dfprules

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpkey"
)

// Defaults and bounds of options.
const (
	defaultCallersShare = 0.25
	defaultRetries      = 2
	defaultMaxBody      = 1_000_000 // bytes
	defaultDeadline     = 5 * time.Second

	maxRate     = 1e7 // requests a second
	maxBurst    = 1e8 // requests
	maxShare    = 1e6
	maxSlots    = 100_000
	maxRetries  = 100
	maxMaxBody  = 64_000_000 // bytes
	maxDeadline = 10 * time.Minute
	maxName     = 63 // characters
)

// line is one rule on its way from words to a Rule.
type line struct {
	parser  *parser
	number  int
	origin  Origin
	verb    word
	args    []word
	options []option
	// failed says that the line has a fault, so its rule is not kept.
	failed bool
}

type option struct {
	name  string
	value string
	col   int
	used  bool
}

func (l *line) fault(col int, format string, args ...any) {
	l.failed = true
	l.parser.fault(l.number, col, format, args...)
}

// split sorts words into arguments and options, which hold a =.
func (l *line) split(words []word) {
	for _, w := range words {
		name, value, found := strings.Cut(w.text, "=")
		if !found || strings.HasPrefix(w.text, "/") {
			l.args = append(l.args, w)
			continue
		}
		if slices.ContainsFunc(l.options, func(o option) bool { return o.name == name }) {
			l.fault(w.col, "%s= stands twice: keep one of the two", name)
			continue
		}
		l.options = append(l.options, option{name: name, value: value, col: w.col})
	}
}

func (l *line) parse() {
	switch l.verb.text {
	case "availability_zone":
		l.zone()
	case "organisation":
		l.organisation()
	case "key":
		l.key()
	case "service":
		l.service()
	case "route":
		l.route()
	case "drain":
		l.drain()
	default:
		l.fault(l.verb.col, "unknown word %q: write availability_zone, organisation, key, service, route or drain", l.verb.text)
	}
}

func (l *line) zone() {
	args, ok := l.arguments("availability_zone NAME region=NAME share=1")
	z := &Zone{Origin: l.origin, Share: 1}
	if ok {
		z.Name = l.name(args[0])
	}
	if o, found := l.require("region", "the region's name"); found {
		z.Region = l.name(word{o.value, o.col})
	}
	if o, found := l.option("share"); found {
		z.Share = l.number64(o, o.value, "a number above 0, such as share=1", maxShare)
	}
	l.finish(z, z.Name != "", args, "region, share")
}

func (l *line) organisation() {
	args, ok := l.arguments("organisation NAME rate=120/s burst=240")
	v := &Organisation{Origin: l.origin, CallersShare: defaultCallersShare}
	if ok {
		v.Name = l.name(args[0])
	}
	if o, found := l.require("rate", "requests a second, such as rate=120/s"); found {
		v.Rate = l.rate(o)
	}
	if o, found := l.require("burst", "requests, such as burst=240"); found {
		v.Burst = float64(l.whole(o, 1, maxBurst))
	}
	if o, found := l.option("callers"); found {
		v.CallersShare = l.percent(o)
	}
	l.finish(v, v.Name != "", args, "rate, burst, callers")
}

func (l *line) key() {
	args, ok := l.arguments("key ORGANISATION sha256:HASH")
	k := &Key{Origin: l.origin}
	if ok {
		k.Organisation = l.name(args[0])
		digest, err := dfpkey.ParseDigest(args[1].text)
		if err != nil {
			l.fault(args[1].col, "%v: write the sha256: form that `dragonflyport key new` prints", err)
		}
		k.Digest = digest
		l.refer("organisation", args[0], k.Organisation)
	}
	l.finish(k, k.Digest != dfpkey.Digest{}, args, "")
}

func (l *line) service() {
	args, ok := l.arguments("service NAME slots=120")
	v := &Service{Origin: l.origin, Slots: 1, Retries: defaultRetries, MaxBody: defaultMaxBody}
	if ok {
		v.Name = l.name(args[0])
	}
	if o, found := l.option("slots"); found {
		v.Slots = l.whole(o, 1, maxSlots)
	}
	v.Connections = v.Slots
	if o, found := l.option("connections"); found {
		v.Connections = l.whole(o, 1, maxSlots)
	}
	if o, found := l.option("retries"); found {
		v.Retries = l.whole(o, 0, maxRetries)
	}
	if o, found := l.option("max_body"); found {
		v.MaxBody = l.size(o)
	}
	l.finish(v, v.Name != "", args, "slots, connections, retries, max_body")
}

func (l *line) route() {
	args, ok := l.arguments("route METHOD /PATH service=NAME importance=normal")
	v := &Route{Origin: l.origin, Deadline: defaultDeadline}
	if ok {
		v.Method = l.method(args[0])
		v.Pattern = l.pattern(args[1])
	}
	if o, found := l.require("service", "the service's name"); found {
		v.Service = l.name(word{o.value, o.col})
		l.refer("service", word{o.value, o.col}, v.Service)
	}
	if o, found := l.require("importance", "low, normal, high or critical"); found {
		importance, err := dfpcall.ParseImportance(o.value)
		if err != nil {
			l.fault(o.col, "%v", err)
		}
		v.Importance = importance
	}
	l.routeOptions(v)
	const options = "service, importance, idempotent, open, deadline, when_stale"
	if l.finish(v, v.Method != "" && v.Pattern != "", args, options) {
		l.parser.patterns = append(l.parser.patterns, args[1])
	}
}

func (l *line) routeOptions(v *Route) {
	v.Idempotent = v.Method == "GET" || v.Method == "HEAD" || v.Method == "OPTIONS"
	if o, found := l.option("idempotent"); found {
		v.Idempotent = l.choice(o, "yes", "no")
	}
	if o, found := l.option("open"); found {
		v.Open = l.choice(o, "yes", "no")
	}
	if o, found := l.option("deadline"); found {
		v.Deadline = l.duration(o)
	}
	if o, found := l.option("when_stale"); found && l.choice(o, "refuse", "serve") {
		v.WhenStale = Refuse
	}
}

func (l *line) drain() {
	args, ok := l.arguments("drain IP:PORT")
	d := &Drain{Origin: l.origin}
	if ok {
		address, err := netip.ParseAddrPort(args[0].text)
		if err != nil || address.Port() == 0 {
			l.fault(args[0].col, "%q is no address: write the backend server's IP address and port, such as 10.0.3.7:9001", args[0].text)
		}
		d.Address = address
	}
	l.finish(d, d.Address.IsValid(), args, "")
}

// arguments returns the words that are no options, if there are as many as the
// form has.
func (l *line) arguments(form string) ([]word, bool) {
	n := 0
	for _, w := range strings.Fields(form)[1:] {
		if !strings.Contains(w, "=") {
			n++
		}
	}
	if len(l.args) == n {
		return l.args, true
	}
	col := l.verb.col
	if len(l.args) > n {
		col = l.args[n].col
	}
	l.fault(col, "%d words after %s in place of %d: write `%s`", len(l.args), l.verb.text, n, form)
	return nil, false
}

func (l *line) option(name string) (option, bool) {
	for i := range l.options {
		if o := &l.options[i]; o.name == name && !o.used {
			o.used = true
			return *o, true
		}
	}
	return option{}, false
}

func (l *line) require(name, value string) (option, bool) {
	o, found := l.option(name)
	if !found {
		l.fault(l.verb.col, "%s= is missing: write %s= and %s", name, name, value)
	}
	return o, found
}

// finish reports unknown options and, for a rule with a valid name, a repeated name. It
// reports whether the line is without a fault; then the rule is kept. The name of a
// faulty rule counts as declared, so that rules that refer to it cause no further fault.
func (l *line) finish(r Rule, isNamed bool, args []word, options string) bool {
	for _, o := range l.options {
		if o.used {
			continue
		}
		if options == "" {
			l.fault(o.col, "%s has no option %q: remove it", l.verb.text, o.name)
		} else {
			l.fault(o.col, "%s has no option %q: its options are %s", l.verb.text, o.name, options)
		}
	}
	if !isNamed {
		return false
	}
	p, id := l.parser, r.ID()
	if before, found := p.seen[id]; found {
		l.fault(args[len(args)-1].col, "%s stands already in line %d: keep one of the two", id, before)
	} else {
		p.seen[id] = l.number
	}
	if !l.failed {
		p.set.add(r)
	}
	return !l.failed
}

func (l *line) refer(kind string, w word, name string) {
	if name != "" {
		l.parser.references = append(l.parser.references, reference{l.number, w, kind, name})
	}
}

func (l *line) name(w word) string {
	ok := w.text != "" && len(w.text) <= maxName
	for i, r := range w.text {
		isAlphanumeric := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		ok = ok && (isAlphanumeric || i > 0 && (r == '-' || r == '_'))
	}
	if !ok {
		l.fault(w.col, "%q is no name: write up to %d of a-z, 0-9, - and _, starting with a letter or digit", w.text, maxName)
		return ""
	}
	return w.text
}

func (l *line) method(w word) string {
	switch w.text {
	case "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE":
		return w.text
	}
	l.fault(w.col, "unknown method %q: write GET, HEAD, OPTIONS, POST, PUT, PATCH or DELETE", w.text)
	return ""
}

func (l *line) pattern(w word) string {
	segments, isPath := strings.CutPrefix(w.text, "/")
	if !isPath || !isCanonical(w.text) || strings.ContainsAny(w.text, "?#") {
		l.fault(w.col, "%q is no path: write it from / on without query, escapes of plain characters, empty segments, . and ..", w.text)
		return ""
	}
	for part := range strings.SplitSeq(segments, "/") {
		if part != "*" && strings.Contains(part, "*") {
			l.fault(w.col, "* stands for a whole segment: write /* in place of %q", part)
			return ""
		}
	}
	return w.text
}
