package dfprules

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"dragonflyport/internal/contract/dfpkey"
)

const byteOrderMark = "\xef\xbb\xbf"

// Parse reads a rules file. The name stands in the faults. The error is an
// ErrorList with every fault; then there is no Ruleset.
func Parse(name string, text []byte) (*Ruleset, error) {
	p := &parser{name: name, set: newRuleset(), seen: map[string]int{}}
	text = bytes.TrimPrefix(text, []byte(byteOrderMark))
	if len(text) > MaxTextBytes {
		p.fault(1, 1, "the file has %d bytes: write at most %d", len(text), MaxTextBytes)
		return nil, p.faults
	}
	number := 0
	for raw := range bytes.Lines(text) {
		number++
		p.line(number, strings.TrimRight(string(raw), "\r\n"))
	}
	p.checkWhole()
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Error) int {
			return cmp.Or(a.Line-b.Line, a.Col-b.Col)
		})
		return nil, p.faults
	}
	return p.set, nil
}

func newRuleset() *Ruleset {
	return &Ruleset{
		zones:         map[string]*Zone{},
		organisations: map[string]*Organisation{},
		keys:          map[dfpkey.Digest]*Key{},
		services:      map[string]*Service{},
		drains:        map[string]bool{},
		methods:       map[string]*segment{},
	}
}

// add adds a rule to the lists and indexes of its kind.
func (s *Ruleset) add(rule Rule) {
	s.rules = append(s.rules, rule)
	switch r := rule.(type) {
	case *Zone:
		s.Zones = append(s.Zones, r)
		s.zones[r.Name] = r
	case *Organisation:
		s.Organisations = append(s.Organisations, r)
		s.organisations[r.Name] = r
	case *Key:
		s.Keys = append(s.Keys, r)
		s.keys[r.Digest] = r
	case *Service:
		s.Services = append(s.Services, r)
		s.services[r.Name] = r
	case *Route:
		s.Routes = append(s.Routes, r)
	case *Drain:
		s.Drains = append(s.Drains, r)
		s.drains[r.Address.String()] = true
	default:
		panic(fmt.Sprintf("dfprules: unknown kind of rule %T", rule))
	}
}

type parser struct {
	name   string
	faults ErrorList
	set    *Ruleset
	// seen holds the line of each rule's ID.
	seen map[string]int
	// references are the names that other rules must declare.
	references []reference
	// patterns holds the position of each route's pattern, as in set.Routes.
	patterns []word
}

// reference is a name that stands in a rule and must be declared by another.
type reference struct {
	line int
	word word
	kind string
	name string
}

func (p *parser) fault(line, col int, format string, args ...any) {
	switch {
	case len(p.faults) < maxFaults:
		p.faults = append(p.faults, Error{p.name, line, col, fmt.Sprintf(format, args...)})
	case len(p.faults) == maxFaults:
		p.faults = append(p.faults, Error{p.name, line, col, "there are more faults: mend those above first"})
	}
}

// line reads one line without its end.
func (p *parser) line(number int, text string) {
	if !p.checkText(number, text) {
		return
	}
	rule, comment, commentCol := splitComment(text)
	words := splitWords(rule)
	if len(words) == 0 {
		return
	}
	l := &line{parser: p, number: number, verb: words[0]}
	l.origin = Origin{Line: number, Comment: comment, Text: strings.TrimSpace(text)}
	if comment == "" {
		col := cmp.Or(commentCol, utf8.RuneCountInString(rule)+1)
		l.fault(col, "the comment is missing: write # and who asked for the rule at the end of the line")
	}
	l.split(words[1:])
	l.parse()
}

// checkText reports whether a line can be read further.
func (p *parser) checkText(number int, text string) bool {
	col := 1
	for i := 0; i < len(text); col++ {
		r, size := utf8.DecodeRuneInString(text[i:])
		if r == utf8.RuneError && size == 1 {
			p.fault(number, col, "the byte 0x%02x is not UTF-8: save the file as UTF-8", text[i])
			return false
		}
		if r < ' ' && r != '\t' || r == 0x7f {
			p.fault(number, col, "control character U+%04X: write a space", r)
			return false
		}
		i += size
	}
	if i := strings.Index(text, dfpkey.Prefix); i >= 0 {
		p.fault(number, utf8.RuneCountInString(text[:i])+1,
			"a key in clear text: withdraw that key, make another with `dragonflyport key new` and write its sha256: form")
		return false
	}
	return true
}

// splitComment returns the rule and the comment of a line, and the column of the #,
// which is 0 if there is none. A # starts a comment at the start of a word only.
func splitComment(text string) (rule, comment string, col int) {
	for i := range len(text) {
		if text[i] != '#' || i > 0 && text[i-1] != ' ' && text[i-1] != '\t' {
			continue
		}
		return text[:i], strings.TrimSpace(text[i+1:]), utf8.RuneCountInString(text[:i]) + 1
	}
	return strings.TrimRight(text, " \t"), "", 0
}

// word is a part of a line between spaces; col counts characters from 1.
type word struct {
	text string
	col  int
}

func splitWords(text string) []word {
	var words []word
	col, start, startCol := 1, -1, 0
	for i, r := range text {
		isSpace := r == ' ' || r == '\t'
		if !isSpace && start < 0 {
			start, startCol = i, col
		}
		if isSpace && start >= 0 {
			words = append(words, word{text[start:i], startCol})
			start = -1
		}
		col++
	}
	if start >= 0 {
		words = append(words, word{text[start:], startCol})
	}
	return words
}

// checkWhole finds the faults that only the whole file shows.
func (p *parser) checkWhole() {
	if len(p.seen) == 0 && len(p.faults) == 0 {
		p.fault(1, 1, "the file holds no rule: write at least one availability_zone")
		return
	}
	for _, ref := range p.references {
		if _, found := p.seen[ref.kind+" "+ref.name]; !found {
			p.fault(ref.line, ref.word.col, "no rule names the %s %q: add a line `%s %s ...` or correct the name",
				ref.kind, ref.name, ref.kind, ref.name)
		}
	}
	p.checkRoutes()
	p.divide()
}

// divide works out each zone's part of the rates.
func (p *parser) divide() {
	var sum float64
	for _, z := range p.set.Zones {
		sum += z.Share
	}
	for _, z := range p.set.Zones {
		z.Fraction = z.Share / sum
	}
	if len(p.set.Zones) == 0 && len(p.set.Organisations) > 0 {
		o := p.set.Organisations[0]
		p.fault(o.Line, 1, "no availability_zone has a part of the rate: add a line `availability_zone NAME region=NAME share=1`")
	}
}
