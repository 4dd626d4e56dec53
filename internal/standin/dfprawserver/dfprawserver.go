// Package dfprawserver is a stand-in for a server whose answers are given as bytes, whether they are valid or not.
//
// It has the answers that every reader of answers is tested with: Broken lists those that are no answers in
// HTTP/1.1 (RFC 9110 and RFC 9112), or not whole, and Valid those that must be passed on as they are.
//
// # Usage
//
//	for _, answer := range dfprawserver.Broken("X-Own: 1\r\n") {
//		server, err := dfprawserver.Start(answer.Script())
//		...                    // Send requests to server.Address.
//		server.Close()
//	}
package dfprawserver

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// End says what a server does with the connection after an answer.
type End int

// The ends of an answer.
const (
	// Keep keeps the connection open, reads the rest of the request and waits for the next request.
	Keep End = iota
	// Finish ends the sending direction, reads the rest of the request and closes the connection.
	Finish
	// Reset resets the connection.
	Reset
)

// Script is what a server does for each request.
type Script struct {
	// Raw is sent after the request's head has been read, and Then, if it is not empty, in its place from the second
	// request of a connection on.
	Raw, Then string
	// ReadFirst reads the request's body before Raw is sent.
	ReadFirst bool
	// Pause is the time between Raw and End.
	Pause time.Duration
	End   End
}

// Server is a running server.
type Server struct {
	Address  string
	listener net.Listener
	group    errgroup.Group
}

// Start starts a server on a free port of the loopback interface.
func Start(script Script) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("raw server: %w", err)
	}
	s := &Server{Address: listener.Addr().String(), listener: listener}
	s.group.Go(func() error { return s.accept(script) })
	return s, nil
}

func (s *Server) accept(script Script) error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("raw server: %w", err)
		}
		s.group.Go(func() error {
			script.serve(conn)
			return nil
		})
	}
}

// Close stops the server and waits until its connections have ended, which clients must close.
func (s *Server) Close() error {
	_ = s.listener.Close() // It fails only if the listener is closed already.
	return s.group.Wait()
}

// serve serves a connection until the client closes it or the script ends it.
func (s Script) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.ReadFirst {
			_, _ = io.Copy(io.Discard, r.Body) // The script goes on if the client gives up.
		}
		if _, err := io.WriteString(conn, s.Raw); err != nil {
			return
		}
		s.Raw = cmp.Or(s.Then, s.Raw)
		time.Sleep(s.Pause)
		switch s.End {
		case Reset:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case Finish:
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, reader)
			return
		case Keep:
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
}

// Answer is an answer as bytes. For a valid one, Status, Header and Body are what it says.
type Answer struct {
	Name, Raw string
	// UntilEnd says that the answer ends with its connection.
	UntilEnd bool

	Status int
	Body   string
	// Name and value of a field in the answer's head; empty for none.
	FieldName, FieldValue string
}

// Script returns a script that reads the whole request and sends the answer.
func (a Answer) Script() Script {
	script := Script{Raw: a.Raw, ReadFirst: true}
	if a.UntilEnd {
		script.End = Finish
	}
	return script
}

// untilEnd returns an answer that ends with its connection.
func untilEnd(a Answer) Answer {
	a.UntilEnd = true
	return a
}

// fourBytes is the length of the body "done".
const fourBytes = "Content-Length: 4\r\n"

// Broken returns bytes that are no answer. The given field lines, each with its line end, are part of each head.
func Broken(fields string) []Answer {
	lines := func(name, statusLine, more, body string) Answer {
		return Answer{Name: name, Raw: statusLine + "\r\n" + fields + more + "\r\n" + body}
	}
	status := func(status string) Answer {
		return lines("status "+status, "HTTP/1.1 "+status+" X", fourBytes, "done")
	}
	ok := func(name, more, body string) Answer { return lines(name, "HTTP/1.1 200 OK", more, body) }
	field := func(name, line string) Answer { return ok(name, line+"\r\n"+fourBytes, "done") }
	const chunks = "4\r\ndone\r\n0\r\n\r\n"
	return []Answer{
		status("000"), status("001"), status("042"), status("099"), status("+20"), status("-20"), status("20"),
		status("0200"), status("2xx"), status("600"), status("999"),
		{Name: "status 101 unasked", Raw: "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: other\r\n" + fields + "\r\ndone"},
		lines("version 0.9", "HTTP/0.9 200 OK", fourBytes, "done"),
		lines("version 2.0", "HTTP/2.0 200 OK", fourBytes, "done"),
		lines("no HTTP", "what", fourBytes, "done"),
		lines("two blanks before the status", "HTTP/1.1  200 OK", fourBytes, "done"),
		lines("control byte in the reason", "HTTP/1.1 200 O\x01K", fourBytes, "done"),

		field("blank in a field name", "X Bad: 1"),
		field("blank after a field name", "X-Bad : 1"),
		field("blank before a field name", "X-Other: 1\r\n X-Bad: 1"),
		{Name: "blank before the first field name", Raw: "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n" + fields + fourBytes + "\r\ndone"},
		field("control byte in a field name", "X\x01Bad: 1"),
		field("tab in a field name", "X\tBad: 1"),
		field("tab after a field name", "X-Bad\t: 1"),
		field("field name that is not ASCII", "X-B\xe4d: 1"),
		field("separator in a field name", "X@Bad: 1"),
		field("no field name", ": 1"),
		field("no colon", "X-Bad"),
		field("control byte in a field value", "X-Bad: 1\x012"),
		field("null byte in a field value", "X-Bad: 1\x002"),
		field("carriage return in a field value", "X-Bad: 1\r2"),

		ok("blank after Content-Length", "Content-Length : 4\r\n", "done, more"),
		ok("blank after Transfer-Encoding", "Transfer-Encoding : chunked\r\n", chunks),
		ok("two lengths", fourBytes+"Content-Length: 6\r\n", "done, more"),
		ok("length with a sign", "Content-Length: +4\r\n", "done"),
		ok("length and chunks", fourBytes+"Transfer-Encoding: chunked\r\n", chunks),
		lines("chunks in HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", chunks),
		ok("unknown transfer encoding", "Transfer-Encoding: other\r\n", "done"),
		lines("204 with a body", "HTTP/1.1 204 No Content", fourBytes, "done"),
		lines("204 in chunks", "HTTP/1.1 204 No Content", "Transfer-Encoding: chunked\r\n", chunks),
		{
			Name: "blank in a field name of an informational answer",
			Raw:  "HTTP/1.1 103 Early\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + fourBytes + "\r\ndone",
		},

		untilEnd(ok("body cut short", "Content-Length: 9\r\n", "done")),
		untilEnd(ok("chunk cut short", "Transfer-Encoding: chunked\r\n", "9\r\ndone")),
		untilEnd(ok("last chunk missing", "Transfer-Encoding: chunked\r\n", "4\r\ndone\r\n")),
		ok("chunk without a length", "Transfer-Encoding: chunked\r\n", "x\r\ndone\r\n0\r\n\r\n"),
		{Name: "head cut short", Raw: "HTTP/1.1 200 OK\r\n" + fields, UntilEnd: true},
	}
}

// BrokenTrailer returns an answer whose trailer is invalid. Where it ends is known, so its connection may serve the next
// request.
func BrokenTrailer() Answer {
	return Answer{
		Name: "blank in a trailer's name",
		Raw:  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX Bad: 1\r\n\r\n",
	}
}

// Valid returns answers that are valid and whole. The given field lines, each with its line end, are part of each
// head.
func Valid(fields string) []Answer {
	answer := func(name, statusLine, more, raw string) Answer {
		return Answer{Name: name, Raw: statusLine + "\r\n" + fields + more + "\r\n" + raw, Status: http.StatusOK, Body: "done"}
	}
	ok := func(name, more, raw string) Answer { return answer(name, "HTTP/1.1 200 OK", more, raw) }
	with := func(name, fieldName, fieldValue string) Answer {
		a := ok(name, fieldName+": "+fieldValue+"\r\n"+fourBytes, "done")
		a.FieldName, a.FieldValue = fieldName, fieldValue
		return a
	}
	failure := answer("failure", "HTTP/1.1 599 Own", fourBytes, "done")
	failure.Status = 599
	empty := answer("204", "HTTP/1.1 204 No Content", "", "")
	empty.Status, empty.Body = http.StatusNoContent, ""
	informed := ok("after informational answers", fourBytes, "done")
	informed.Raw = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n" + informed.Raw
	return []Answer{
		ok("length", fourBytes, "done"),
		failure, empty, informed,
		answer("no reason", "HTTP/1.1 200 ", fourBytes, "done"),
		answer("reason that is not ASCII", "HTTP/1.1 200 gr\xfcn", fourBytes, "done"),
		with("field name of all kinds of bytes", "A!#$%&'*+-.^_`|~9", "1"),
		with("field value with a tab", "X-Value", "a\tb"),
		with("field value in UTF-8", "X-Value", "gr\u00fcn"),
		with("field value that is not UTF-8", "X-Value", "gr\xfcn \xff\x80"),
		with("empty field value", "X-Value", ""),
		ok("length twice", fourBytes+fourBytes, "done"),
		ok("chunks", "Transfer-Encoding: chunked\r\n", "2\r\ndo\r\n2;a=b\r\nne\r\n0\r\n\r\n"),
		ok("chunks and a trailer", "Transfer-Encoding: chunked\r\n", "4\r\ndone\r\n0\r\nX-Sum: 1\r\n\r\n"),
		untilEnd(ok("until the connection ends", "Connection: close\r\n", "done")),
		untilEnd(answer("until the connection ends, HTTP/1.0", "HTTP/1.0 200 OK", "", "done")),
		untilEnd(answer("length, HTTP/1.0", "HTTP/1.0 200 OK", fourBytes, "done")),
	}
}
