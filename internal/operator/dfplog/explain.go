package dfplog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"time"

	"dragonflyport/internal/vm/dfpevent"
)

// ErrNoRequest is wrapped by the error of Explain if no log contains the request.
var ErrNoRequest = errors.New("no line contains request")

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Source is the log of a node. Its name is printed with each of its lines.
type Source struct {
	Name string
	Log  io.Reader
}

// logLine is the part of a log line that is needed to explain a request.
type logLine struct {
	Timestamp time.Time `json:"timestamp"`
	Fields    struct {
		Event  string          `json:"event"`
		Detail json.RawMessage `json:"detail"`
	} `json:"fields"`

	source string
	event  dfpevent.Event
}

// decode decodes the line's event and reports whether it is an event of the request with the given id.
func (l *logLine) decode(id string) bool {
	var found *string
	switch l.Fields.Event {
	case new(dfpevent.Request).Name():
		e := new(dfpevent.Request)
		l.event, found = e, &e.ID
	case new(dfpevent.Repeated).Name():
		e := new(dfpevent.Repeated)
		l.event, found = e, &e.ID
	case new(dfpevent.Guard).Name():
		e := new(dfpevent.Guard)
		l.event, found = e, &e.ID
	default:
		return false
	}
	return json.Unmarshal(l.Fields.Detail, l.event) == nil && *found == id
}

// Explain writes to w, ordered by time, what the nodes' logs contain about the request with the given id.
// The error wraps ErrNoRequest if no log contains the request.
func Explain(w io.Writer, id string, sources []Source) error {
	var found []*logLine
	for _, source := range sources {
		lines, err := linesOf(id, source)
		if err != nil {
			return fmt.Errorf("%s: %w", source.Name, err)
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return fmt.Errorf("%w %s: it succeeded, reached another node, or its line was left out", ErrNoRequest, id)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Timestamp.Before(found[j].Timestamp) })
	for _, line := range found {
		if err := line.explain(w); err != nil {
			return err
		}
	}
	return nil
}

func linesOf(id string, source Source) ([]*logLine, error) {
	var found []*logLine
	scanner := bufio.NewScanner(source.Log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(id)) {
			continue
		}
		line := new(logLine)
		if json.Unmarshal(scanner.Bytes(), line) != nil {
			continue // Other programs may write to the same log.
		}
		if line.decode(id) {
			line.source = source.Name
			found = append(found, line)
		}
	}
	return found, scanner.Err()
}

func (l *logLine) explain(w io.Writer) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s: ", l.Timestamp.Format(time.RFC3339Nano), l.source)
	switch event := l.event.(type) {
	case *dfpevent.Request:
		explainRequest(&out, event)
	case *dfpevent.Repeated:
		explainRequest(&out, &event.Request)
	case *dfpevent.Guard:
		explainGuard(&out, event)
	}
	_, err := w.Write(out.Bytes())
	return err
}

func explainGuard(out *bytes.Buffer, g *dfpevent.Guard) {
	fmt.Fprintf(out, "attempt of request %s here, for service %s, sent by %s\n", g.ID, g.Service, g.From)
	fmt.Fprintf(out, "  ended as %s %s after %d ms\n", g.Outcome, describe(g.Reason, g.Status), g.TookMs)
	fmt.Fprintf(out, "  the backend server then ran %d of at most %d requests, %d waited, admission level %d\n", g.InFlight, g.Limit, g.Queued, g.Level)
}

func explainRequest(out *bytes.Buffer, r *dfpevent.Request) {
	fmt.Fprintf(out, "request %s of %q on %s for service %s\n", r.ID, r.Organisation, r.Route, r.Service)
	fmt.Fprintf(out, "  decided by rules version %d, known to be the newest %d ms before\n", r.RulesVersion, r.RulesAgeMs)
	for i, a := range r.Attempts {
		at := a.VM
		if at == "" {
			at = "no VM could be chosen"
		}
		fmt.Fprintf(out, "  attempt %d: %s: %s %s after %d ms\n", i+1, at, a.Outcome, describe(a.Reason, a.Status), a.TookMs)
	}
	if rate := r.Rate; rate != nil {
		fmt.Fprintf(out, "  without the allocator this node may run %.1f requests a second of the organisation's rate; demand was %.1f a second and %.1f tokens were left\n",
			rate.PerSecond, rate.Demand, rate.Tokens)
		fmt.Fprintf(out, "  %s grants the tokens of the rates; its confirmation is valid here for %d ms\n", rate.Allocator, rate.ValidMs)
	}
	fmt.Fprintf(out, "  ended as %s %s after %d ms", r.Outcome, describe(r.Reason, r.Status), r.DurationMs)
	if r.RetryAfterMs > 0 {
		fmt.Fprintf(out, ", retry after %d ms", r.RetryAfterMs)
	}
	fmt.Fprintln(out)
}

func describe(reason string, status int) string {
	if status > 0 {
		return fmt.Sprintf("with status %d", status)
	}
	return "because of " + reason
}
