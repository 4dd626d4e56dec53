package dfppeer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Topic is the component of the node that a control message is for.
type Topic string

// The topics of control messages.
const (
	TopicRoster Topic = "roster"
	TopicRules  Topic = "rules"
	TopicShare  Topic = "share"
	TopicOnce   Topic = "once"
	// TopicQuarantine is for the requests that crash backend servers.
	TopicQuarantine Topic = "quarantine"
)

// Control is a message between the same component on two nodes. Version is the sender's version of
// the rules, which Call and Notify set.
type Control struct {
	Topic   Topic           `cbor:"topic"`
	Version uint64          `cbor:"version"`
	Body    cbor.RawMessage `cbor:"body,omitempty"`
}

// Encode returns a control message with body v, or an error that wraps ErrInvalidFrame.
func Encode[T any](topic Topic, v T) (Control, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return Control{}, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	return Control{Topic: topic, Body: body}, nil
}

// Decode returns the body of a control message, or an error that wraps ErrInvalidFrame.
func Decode[T any](msg Control) (T, error) {
	var v T
	if err := decMode.Unmarshal(msg.Body, &v); err != nil {
		return v, fmt.Errorf("%w: topic %s: %w", ErrInvalidFrame, msg.Topic, err)
	}
	return v, nil
}
