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

// lineParser parses one line into a Rule.
type lineParser struct {
	parser  *parser
	number  int
	origin  Origin
	keyword word
	args    []word
	options []option
	// failed is true if the line has an error; then its rule is not added to the Ruleset.
	failed bool
}

// option is a word of the form NAME=VALUE.
type option struct {
	name  string
	value string
	col   int
	// used is true once the option has been read. Options left unused are unknown to the rule.
	used bool
}

func (l *lineParser) errorf(col int, format string, args ...any) {
	l.failed = true
	l.parser.errorf(l.number, col, format, args...)
}

// split sorts words into options, which contain a = and are not paths, and arguments, all others.
func (l *lineParser) split(words []word) {
	for _, w := range words {
		name, value, found := strings.Cut(w.text, "=")
		if !found || strings.HasPrefix(w.text, "/") {
			l.args = append(l.args, w)
			continue
		}
		if slices.ContainsFunc(l.options, func(o option) bool { return o.name == name }) {
			l.errorf(w.col, "%s= is given twice: remove one of the two", name)
			continue
		}
		l.options = append(l.options, option{name: name, value: value, col: w.col})
	}
}

func (l *lineParser) parse() {
	switch l.keyword.text {
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
		l.errorf(l.keyword.col, "unknown rule %q: write availability_zone, organisation, key, service, route or drain", l.keyword.text)
	}
}

func (l *lineParser) zone() {
	args, ok := l.arguments("availability_zone NAME region=NAME share=1")
	z := &Zone{Origin: l.origin, Share: 1}
	if ok {
		z.Name = l.name(args[0])
	}
	if o, found := l.requiredOption("region", "the region's name"); found {
		z.Region = l.name(word{o.value, o.col})
	}
	if o, found := l.option("share"); found {
		z.Share = l.float(o, o.value, "a number above 0, such as share=1", maxShare)
	}
	l.finish(z, z.Name != "", args, "region, share")
}

func (l *lineParser) organisation() {
	args, ok := l.arguments("organisation NAME rate=120/s burst=240")
	v := &Organisation{Origin: l.origin, CallersShare: defaultCallersShare}
	if ok {
		v.Name = l.name(args[0])
	}
	if o, found := l.requiredOption("rate", "requests a second, such as rate=120/s"); found {
		v.Rate = l.rate(o)
	}
	if o, found := l.requiredOption("burst", "requests, such as burst=240"); found {
		v.Burst = float64(l.integer(o, 1, maxBurst))
	}
	if o, found := l.option("callers"); found {
		v.CallersShare = l.percent(o)
	}
	l.finish(v, v.Name != "", args, "rate, burst, callers")
}

func (l *lineParser) key() {
	args, ok := l.arguments("key ORGANISATION sha256:HASH")
	k := &Key{Origin: l.origin}
	if ok {
		k.Organisation = l.name(args[0])
		digest, err := dfpkey.ParseDigest(args[1].text)
		if err != nil {
			l.errorf(args[1].col, "%v: write the sha256: form that `dragonflyport key new` prints", err)
		}
		k.Digest = digest
		l.addReference("organisation", args[0], k.Organisation)
	}
	l.finish(k, k.Digest != dfpkey.Digest{}, args, "")
}

func (l *lineParser) service() {
	args, ok := l.arguments("service NAME slots=120")
	v := &Service{Origin: l.origin, Slots: 1, Retries: defaultRetries, MaxBody: defaultMaxBody}
	if ok {
		v.Name = l.name(args[0])
	}
	if o, found := l.option("slots"); found {
		v.Slots = l.integer(o, 1, maxSlots)
	}
	v.Connections = v.Slots
	if o, found := l.option("connections"); found {
		v.Connections = l.integer(o, 1, maxSlots)
	}
	if o, found := l.option("retries"); found {
		v.Retries = l.integer(o, 0, maxRetries)
	}
	if o, found := l.option("max_body"); found {
		v.MaxBody = l.size(o)
	}
	l.finish(v, v.Name != "", args, "slots, connections, retries, max_body")
}

func (l *lineParser) route() {
	args, ok := l.arguments("route METHOD /PATH service=NAME importance=normal")
	v := &Route{Origin: l.origin, Deadline: defaultDeadline}
	if ok {
		v.Method = l.method(args[0])
		v.Pattern = l.pattern(args[1])
	}
	if o, found := l.requiredOption("service", "the service's name"); found {
		v.Service = l.name(word{o.value, o.col})
		l.addReference("service", word{o.value, o.col}, v.Service)
	}
	if o, found := l.requiredOption("importance", "low, normal, high or critical"); found {
		importance, err := dfpcall.ParseImportance(o.value)
		if err != nil {
			l.errorf(o.col, "%v", err)
		}
		v.Importance = importance
	}
	l.routeOptions(v)
	const options = "service, importance, idempotent, open, deadline, when_stale"
	if l.finish(v, v.Method != "" && v.Pattern != "", args, options) {
		l.parser.patternWords = append(l.parser.patternWords, args[1])
	}
}

func (l *lineParser) routeOptions(v *Route) {
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

func (l *lineParser) drain() {
	args, ok := l.arguments("drain IP:PORT")
	d := &Drain{Origin: l.origin}
	if ok {
		address, err := netip.ParseAddrPort(args[0].text)
		if err != nil || address.Port() == 0 {
			l.errorf(args[0].col, "%q is not a valid address: write the backend server's IP address and port, such as 10.0.3.7:9001", args[0].text)
		}
		d.Address = address
	}
	l.finish(d, d.Address.IsValid(), args, "")
}

// arguments returns the arguments of the line. It reports an error and returns false if their number
// differs from that in form, an example of the rule.
func (l *lineParser) arguments(form string) ([]word, bool) {
	n := 0
	for _, w := range strings.Fields(form)[1:] {
		if !strings.Contains(w, "=") {
			n++
		}
	}
	if len(l.args) == n {
		return l.args, true
	}
	col := l.keyword.col
	if len(l.args) > n {
		col = l.args[n].col
	}
	l.errorf(col, "%d words after %s, want %d: write `%s`", len(l.args), l.keyword.text, n, form)
	return nil, false
}

// option returns an option of the line and marks it as used; false if the line does not have it.
func (l *lineParser) option(name string) (option, bool) {
	for i := range l.options {
		if o := &l.options[i]; o.name == name && !o.used {
			o.used = true
			return *o, true
		}
	}
	return option{}, false
}

// requiredOption is like option but reports an error if the option is missing; value says what to write.
func (l *lineParser) requiredOption(name, value string) (option, bool) {
	o, found := l.option(name)
	if !found {
		l.errorf(l.keyword.col, "%s= is missing: write %s= and %s", name, name, value)
	}
	return o, found
}

// finish checks for unknown options and, if the rule has an ID, for a repeated one. It adds
// the rule to the Ruleset and returns true if the line has no error. The ID of a rule with an error
// counts as declared, so that rules that refer to it cause no further error.
func (l *lineParser) finish(r Rule, hasID bool, args []word, options string) bool {
	for _, o := range l.options {
		if o.used {
			continue
		}
		if options == "" {
			l.errorf(o.col, "%s has no option %q: remove it", l.keyword.text, o.name)
		} else {
			l.errorf(o.col, "%s has no option %q: its options are %s", l.keyword.text, o.name, options)
		}
	}
	if !hasID {
		return false
	}
	p, id := l.parser, r.ID()
	if before, found := p.declared[id]; found {
		l.errorf(args[len(args)-1].col, "%s is already declared in line %d: remove one of the two", id, before)
	} else {
		p.declared[id] = l.number
	}
	if !l.failed {
		p.set.add(r)
	}
	return !l.failed
}

// addReference records that the rule refers to another one, which checkFile looks up.
func (l *lineParser) addReference(kind string, w word, name string) {
	if name != "" {
		l.parser.references = append(l.parser.references, reference{l.number, w, kind, name})
	}
}

// name returns a word that must be a name; empty after an error.
func (l *lineParser) name(w word) string {
	ok := w.text != "" && len(w.text) <= maxName
	for i, r := range w.text {
		isAlphanumeric := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		ok = ok && (isAlphanumeric || i > 0 && (r == '-' || r == '_'))
	}
	if !ok {
		l.errorf(w.col, "%q is no name: write up to %d of a-z, 0-9, - and _, starting with a letter or digit", w.text, maxName)
		return ""
	}
	return w.text
}

func (l *lineParser) method(w word) string {
	switch w.text {
	case "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE":
		return w.text
	}
	l.errorf(w.col, "unknown method %q: write GET, HEAD, OPTIONS, POST, PUT, PATCH or DELETE", w.text)
	return ""
}

// pattern returns a word that must be the pattern of a route; empty after an error.
func (l *lineParser) pattern(w word) string {
	segments, isPath := strings.CutPrefix(w.text, "/")
	if !isPath || !isCanonical(w.text) || strings.ContainsAny(w.text, "?#") {
		l.errorf(w.col, "%q is not a valid path: start with / and leave out a query, escapes of plain characters, empty segments, . and ..", w.text)
		return ""
	}
	for part := range strings.SplitSeq(segments, "/") {
		if part != "*" && strings.Contains(part, "*") {
			l.errorf(w.col, "* matches a whole segment: write /* instead of %q", part)
			return ""
		}
	}
	return w.text
}
