package dfpconfig

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrMessage is wrapped by the errors of DecodeMessage.
var ErrMessage = errors.New("not a configuration message")

// Message is a message between nodes: *VersionQuery, *VersionReport, *Pull or *Update.
type Message interface{ message() }

// Send is a message to the node at an address.
type Send struct {
	To      string
	Message Message
}

// VersionQuery asks for the receiver's version. The receiver answers with a VersionReport.
type VersionQuery struct {
	Version uint64 `cbor:"version"`
	// Nonce identifies the query and is copied to the answer; it is not 0.
	Nonce uint64 `cbor:"nonce"`
	// Era is the platform's latest era that the sender knows; 0 if it knows none.
	Era uint64 `cbor:"era,omitempty"`
}

// VersionReport says which version the sender has. It answers a VersionQuery or announces a new version.
type VersionReport struct {
	Version uint64 `cbor:"version"`
	// Nonce is the nonce of the query; 0 in an announcement.
	Nonce uint64 `cbor:"nonce"`
	// Age is the time since Version was known to be the platform's newest; negative
	// if it never was.
	Age time.Duration `cbor:"age"`
	// Era is the platform's latest era that the sender knows; 0 if it knows none.
	Era uint64 `cbor:"era,omitempty"`
}

// Pull asks for what the sender lacks. The receiver answers with an Update if it has a newer version.
type Pull struct {
	// Version is the sender's version; 0 if it has none.
	Version uint64 `cbor:"version"`
}

// Update carries a version of the rules.
type Update struct {
	Head Head `cbor:"head"`
	// Text is nil if the receiver can produce it by applying the head's patches to its own text.
	Text []byte `cbor:"text,omitempty"`
}

func (*VersionQuery) message()  {}
func (*VersionReport) message() {}
func (*Pull) message()          {}
func (*Update) message()        {}

// envelope holds exactly one message.
type envelope struct {
	Query  *VersionQuery  `cbor:"ask,omitempty"`
	Report *VersionReport `cbor:"told,omitempty"`
	Pull   *Pull          `cbor:"pull,omitempty"`
	Update *Update        `cbor:"update,omitempty"`
}

// EncodeMessage returns a message in CBOR.
func EncodeMessage(m Message) []byte {
	var e envelope
	switch m := m.(type) {
	case *VersionQuery:
		e.Query = m
	case *VersionReport:
		e.Report = m
	case *Pull:
		e.Pull = m
	case *Update:
		e.Update = m
	}
	return mustEncode(e)
}

// DecodeMessage decodes a message. Errors wrap ErrMessage.
func DecodeMessage(b []byte) (Message, error) {
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	switch {
	case e.Query != nil:
		return e.Query, nil
	case e.Report != nil:
		return e.Report, nil
	case e.Pull != nil:
		return e.Pull, nil
	case e.Update != nil:
		if err := e.Update.Head.check(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMessage, err)
		}
		return e.Update, nil
	}
	return nil, fmt.Errorf("%w: the envelope is empty", ErrMessage)
}
