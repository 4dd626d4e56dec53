package dfpanswer

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// finalStatus reports whether an answer to a request that asks for no other protocol may have the status.
func finalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

// head checks the heads of the answers to one request, up to that of the final answer, as their bytes arrive (RFC 9112,
// section 4). It accepts lines that end without a carriage return. The rest of a head is net/http's to check.
type head struct {
	// upgrade says that the request asks for another protocol.
	upgrade bool
	// begun is set by the first byte, and done after the final head.
	begun, done bool
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// status is that of the status line; it is 0 before it.
	status int
}

// feed checks the next bytes of the connection. Errors wrap ErrInvalid. Bytes after the final head are ignored.
func (h *head) feed(p []byte) error {
	for len(p) > 0 && !h.done {
		h.begun = true
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		if !ended {
			h.line = append(h.line, p...)
			return nil
		}
		if len(h.line) > 0 {
			line = append(h.line, line...)
		}
		if err := h.add(string(bytes.TrimSuffix(line, []byte("\r")))); err != nil {
			return err
		}
		h.line, p = h.line[:0], rest
	}
	return nil
}

// add checks a line without its end.
func (h *head) add(line string) error {
	switch {
	case h.status == 0:
		return h.addStatus(line)
	case line == "":
		h.end()
		return nil
	}
	return nil
}

// addStatus checks a line like "HTTP/1.1 200 OK". The reason may be missing.
func (h *head) addStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	digits := func(s string) bool { return strings.Trim(s, "0123456789") == "" }
	minor, isHTTP := strings.CutPrefix(version, "HTTP/1.")
	valid := isHTTP && len(minor) == 1 && digits(minor) && len(code) == 3 && digits(code) && httpguts.ValidHeaderFieldValue(reason)
	if valid {
		h.status = 100*int(code[0]-'0') + 10*int(code[1]-'0') + int(code[2]-'0')
		valid = finalStatus(h.status) || h.informational() || h.status == http.StatusSwitchingProtocols && h.upgrade
	}
	if !valid {
		return fmt.Errorf("%w: status line %.80q", ErrInvalid, line)
	}
	return nil
}

// informational reports whether another head follows this one.
func (h *head) informational() bool {
	return h.status >= 100 && h.status < 200 && h.status != http.StatusSwitchingProtocols
}

// end ends a head.
func (h *head) end() {
	if h.informational() {
		*h = head{upgrade: h.upgrade, begun: true}
		return
	}
	h.done, h.line = true, nil
}
