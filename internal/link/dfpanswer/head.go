package dfpanswer

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Check returns an error that wraps ErrInvalid if no answer can have this status, or these names and values of fields.
func Check(status int, header map[string][]string) error {
	if !finalStatus(status) {
		return fmt.Errorf("%w: status %03d", ErrInvalid, status)
	}
	for name, values := range header {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// finalStatus reports whether an answer to a request that asks for no other protocol may have the status.
func finalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("%w: field name %.80q", ErrInvalid, name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return fmt.Errorf("%w: value of field %.80q has control bytes", ErrInvalid, name)
	}
	return nil
}

// owner is the request that an answer must belong to.
type owner struct {
	// field is the canonical name of the field that names a request; empty if none does. id is its value.
	field, id string
	// required says that an answer without the field is not the request's.
	required bool
}

// head checks the heads of the answers to one request, up to that of the final answer, as their bytes arrive (RFC 9112,
// sections 4 to 6). It accepts lines that end without a carriage return. What it does not check, net/http does.
type head struct {
	// upgrade says that the request asks for another protocol.
	upgrade bool
	// owner is how the answer names its request.
	owner owner
	// named says that the answer names a request, and foreign that it names another one.
	named, foreign bool
	// begun is set by the first byte, and done after the final head.
	begun, done bool
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// status and minor are those of the status line, HTTP/1.minor; status is 0 before it.
	status int
	minor  byte
	// length is the last Content-Length, and chunked is set by Transfer-Encoding.
	length  string
	chunked bool
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

// add checks a line without its end. A line that begins with a blank, to continue the one before it, is invalid: senders
// must not use them (RFC 9112, section 5.2).
func (h *head) add(line string) error {
	switch {
	case h.status == 0:
		return h.addStatus(line)
	case line == "":
		return h.end()
	}
	name, value, found := strings.Cut(line, ":")
	if !found {
		return fmt.Errorf("%w: line %.80q in the head", ErrInvalid, line)
	}
	value = strings.Trim(value, " \t")
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length":
		h.length = value
	case "Transfer-Encoding":
		h.chunked = true
	case h.owner.field:
		h.named, h.foreign = true, h.foreign || value != h.owner.id
	}
	return checkField(name, value)
}

// addStatus checks a line like "HTTP/1.1 200 OK". The reason may be missing.
func (h *head) addStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	digits := func(s string) bool { return strings.Trim(s, "0123456789") == "" }
	minor, isHTTP := strings.CutPrefix(version, "HTTP/1.")
	valid := isHTTP && len(minor) == 1 && digits(minor) && len(code) == 3 && digits(code) && httpguts.ValidHeaderFieldValue(reason)
	if valid {
		h.minor, h.status = minor[0], 100*int(code[0]-'0')+10*int(code[1]-'0')+int(code[2]-'0')
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

// end checks at the end of a head how it says where its body ends.
func (h *head) end() error {
	bodyless := h.status < 200 || h.status == http.StatusNoContent
	switch {
	case h.chunked && (h.length != "" || h.minor == '0' || bodyless):
		return fmt.Errorf("%w: Transfer-Encoding with Content-Length, in HTTP/1.0 or with status %d", ErrInvalid, h.status)
	case bodyless && strings.Trim(h.length, "0") != "":
		return fmt.Errorf("%w: Content-Length %.80q with status %d", ErrInvalid, h.length, h.status)
	case h.informational():
		*h = head{upgrade: h.upgrade, owner: h.owner, begun: true}
	case h.foreign, h.owner.required && !h.named:
		return fmt.Errorf("%w: it does not name its request in the field %s", ErrInvalid, h.owner.field)
	default:
		h.done, h.line = true, nil
	}
	return nil
}

// checkTrailer returns an error that wraps ErrInvalid if a field name in the trailer of an answer is invalid. net/http
// checks the values.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if err := checkField(name, ""); err != nil {
			return err
		}
	}
	return nil
}
