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

// Parse parses the text of a rules file; its errors give name as the file. If the text is invalid, Parse
// returns no Ruleset and an ErrorList with every error.
func Parse(name string, text []byte) (*Ruleset, error) {
	p := &parser{name: name, set: newRuleset(), declared: map[string]int{}}
	text = bytes.TrimPrefix(text, []byte(byteOrderMark))
	if len(text) > MaxTextBytes {
		p.errorf(1, 1, "the file has %d bytes: write at most %d", len(text), MaxTextBytes)
		return nil, p.errs
	}
	number := 0
	for raw := range bytes.Lines(text) {
		number++
		p.line(number, strings.TrimRight(string(raw), "\r\n"))
	}
	p.checkFile()
	if len(p.errs) > 0 {
		slices.SortStableFunc(p.errs, func(a, b Error) int {
			return cmp.Or(a.Line-b.Line, a.Col-b.Col)
		})
		return nil, p.errs
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
		methods:       map[string]*patternNode{},
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
	name string
	errs ErrorList
	set  *Ruleset
	// declared holds the line of each rule by ID, also of rules with errors.
	declared map[string]int
	// references holds the names that must be declared by other rules.
	references []reference
	// patternWords holds the word of each route's pattern, in the order of set.Routes.
	patternWords []word
}

// reference is a name in a rule that must be declared by another rule.
type reference struct {
	line int
	word word
	kind string
	name string
}

func (p *parser) errorf(line, col int, format string, args ...any) {
	switch {
	case len(p.errs) < maxErrors:
		p.errs = append(p.errs, Error{p.name, line, col, fmt.Sprintf(format, args...)})
	case len(p.errs) == maxErrors:
		p.errs = append(p.errs, Error{p.name, line, col, "there are more errors: correct those above first"})
	}
}

// line parses one line without its line end.
func (p *parser) line(number int, text string) {
	if !p.checkText(number, text) {
		return
	}
	rule, comment, commentCol := splitComment(text)
	words := splitWords(rule)
	if len(words) == 0 {
		return
	}
	l := &lineParser{parser: p, number: number, keyword: words[0]}
	l.origin = Origin{Line: number, Comment: comment, Text: strings.TrimSpace(text)}
	if comment == "" {
		col := cmp.Or(commentCol, utf8.RuneCountInString(rule)+1)
		l.errorf(col, "the comment is missing: write # and who asked for the rule at the end of the line")
	}
	l.split(words[1:])
	l.parse()
}

// checkText reports whether a line is valid UTF-8 without control characters and without a key in clear
// text. A line that fails this check is not parsed.
func (p *parser) checkText(number int, text string) bool {
	col := 1
	for i := 0; i < len(text); col++ {
		r, size := utf8.DecodeRuneInString(text[i:])
		if r == utf8.RuneError && size == 1 {
			p.errorf(number, col, "the byte 0x%02x is not UTF-8: save the file as UTF-8", text[i])
			return false
		}
		if r < ' ' && r != '\t' || r == 0x7f {
			p.errorf(number, col, "control character U+%04X: write a space", r)
			return false
		}
		i += size
	}
	if i := strings.Index(text, dfpkey.Prefix); i >= 0 {
		p.errorf(number, utf8.RuneCountInString(text[:i])+1,
			"a key in clear text: withdraw that key, make another with `dragonflyport key new` and write its sha256: form")
		return false
	}
	return true
}

// splitComment returns the rule and the comment of a line, and the column of the #, which is 0 if there
// is no comment. A # starts a comment only at the start of a word.
func splitComment(text string) (rule, comment string, col int) {
	for i := range len(text) {
		if text[i] != '#' || i > 0 && text[i-1] != ' ' && text[i-1] != '\t' {
			continue
		}
		return text[:i], strings.TrimSpace(text[i+1:]), utf8.RuneCountInString(text[:i]) + 1
	}
	return strings.TrimRight(text, " \t"), "", 0
}

// word is a part of a line between spaces or tabs; col counts characters from 1.
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

// checkFile reports the errors that need the whole file: undeclared names, ambiguous routes and missing
// zones.
func (p *parser) checkFile() {
	if len(p.declared) == 0 && len(p.errs) == 0 {
		p.errorf(1, 1, "the file holds no rule: write at least one availability_zone")
		return
	}
	for _, ref := range p.references {
		if _, found := p.declared[ref.kind+" "+ref.name]; !found {
			p.errorf(ref.line, ref.word.col, "the %s %q is not declared: add a line `%s %s ...` or correct the name",
				ref.kind, ref.name, ref.kind, ref.name)
		}
	}
	p.checkRoutes()
	p.setFractions()
}

// setFractions sets each zone's fraction of the rates.
func (p *parser) setFractions() {
	var sum float64
	for _, z := range p.set.Zones {
		sum += z.Share
	}
	for _, z := range p.set.Zones {
		z.Fraction = z.Share / sum
	}
	if len(p.set.Zones) == 0 && len(p.set.Organisations) > 0 {
		o := p.set.Organisations[0]
		p.errorf(o.Line, 1, "no valid availability_zone is declared: add a line `availability_zone NAME region=NAME share=1`")
	}
}
