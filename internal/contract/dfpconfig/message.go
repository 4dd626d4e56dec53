package dfpconfig

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrMessage is wrapped by the errors of DecodeMessage.
var ErrMessage = errors.New("not a configuration message")

// Message is what nodes tell each other: *VersionQuery, *VersionReport, *Pull or *Update.
type Message interface{ message() }

// Send is a message to the node at an address.
type Send struct {
	To      string
	Message Message
}

// VersionQuery asks what the receiver has. A VersionReport answers it.
type VersionQuery struct {
	Version uint64 `cbor:"version"`
	// Nonce comes back in the answer; it is not 0.
	Nonce uint64 `cbor:"nonce"`
}

// VersionReport says what the sender has.
type VersionReport struct {
	Version uint64 `cbor:"version"`
	// Nonce is that of the ask; 0 if nobody asked.
	Nonce uint64 `cbor:"nonce"`
	// Age is the time since Version was known to be the platform's newest; negative
	// if that never was.
	Age time.Duration `cbor:"age"`
}

// Pull asks for what a node with a version lacks. An Update answers it.
type Pull struct {
	// Version is the sender's; 0 is none.
	Version uint64 `cbor:"version"`
}

// Update brings a version of the rules.
type Update struct {
	Head Head `cbor:"head"`
	// Text is nil if the head's patches make it from the text that the receiver has.
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

// DecodeMessage reads a message. Errors wrap ErrMessage.
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
	return nil, fmt.Errorf("%w: it is empty", ErrMessage)
}
