package dfppeer

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfpanswer"
)

// kind is the type of a frame.
type kind uint8

const (
	// kindRun carries a request to the node that is to run it.
	kindRun kind = iota + 1
	// kindOutcome carries the outcome of a request to the node that sent the request.
	kindOutcome
	// kindCancel cancels a request, and bars the request if it has not arrived.
	kindCancel
	// kindResolve asks for the outcome of a request, and bars the request if it has not arrived.
	kindResolve
	// kindRunning says that a request runs and that its outcome will follow. It answers
	// kindResolve and a repeated kindRun.
	kindRunning
	// kindControlCall carries a control message that expects a reply.
	kindControlCall
	// kindControlReply answers kindControlCall.
	kindControlReply
	// kindNotification carries a control message that expects no reply.
	kindNotification
	// kindHeartbeat shows that the sender is alive.
	kindHeartbeat
	// kindPart carries a part of a frame of more than partSize bytes.
	kindPart
	// kindClosing says that the sender starts nothing new on this connection.
	kindClosing
	// kindAuth is the first frame of a connection. It carries the dialer's proof.
	kindAuth
)

// frame is the unit of transfer between two nodes. A WebSocket message holds one or more
// consecutive frames.
type frame struct {
	Kind kind               `cbor:"kind"`
	ID   *dfpcall.RequestID `cbor:"id,omitempty"`
	// Sequence matches a kindControlReply to its kindControlCall, and the parts of a long frame to
	// each other.
	Sequence uint64           `cbor:"sequence,omitempty"`
	Request  *dfpcall.Request `cbor:"request,omitempty"`
	Answer   *dfpcall.Answer  `cbor:"answer,omitempty"`
	NotRun   *dfpcall.NotRun  `cbor:"not_run,omitempty"`
	Unknown  *dfpcall.Unknown `cbor:"unknown,omitempty"`
	Control  *Control         `cbor:"control,omitempty"`
	Error    string           `cbor:"error,omitempty"`
	Version  uint64           `cbor:"version,omitempty"`
	Load     *dfpcall.Load    `cbor:"load,omitempty"`
	// Probe, in a heartbeat, asks the receiver for a heartbeat in return.
	Probe bool   `cbor:"probe,omitempty"`
	Part  *part  `cbor:"part,omitempty"`
	Proof []byte `cbor:"proof,omitempty"`
}

// part is a contiguous section of a long frame's encoding.
type part struct {
	// Offset is the position of Data in the frame, in bytes. Parts are sent in order.
	Offset int `cbor:"offset"`
	// Total is the size of the whole frame, in bytes.
	Total int    `cbor:"total"`
	Data  []byte `cbor:"data"`
}

var (
	encMode    = newEncMode()
	decMode    = newDecMode()
	bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

func newEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic("dfppeer: cannot create CBOR encoder: " + err.Error())
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  16,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8DecodeInvalid, // Paths and values of fields may have any bytes over 0x7f.
	}.DecMode()
	if err != nil {
		panic("dfppeer: cannot create CBOR decoder: " + err.Error())
	}
	return mode
}

// encode encodes a frame into a buffer from the pool.
func encode(f *frame) (*bytes.Buffer, error) {
	buf := bufferPool.Get().(*bytes.Buffer)
	buf.Reset()
	if err := encMode.MarshalToBuffer(f, buf); err != nil {
		release(buf)
		return nil, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	if buf.Len() > MaxFrameBytes {
		n := buf.Len()
		release(buf)
		return nil, fmt.Errorf("%w: %d bytes, maximum is %d", ErrFrameTooLong, n, MaxFrameBytes)
	}
	return buf, nil
}

// release returns a buffer to the pool, unless it has grown larger than maxMessageBytes.
func release(buf *bytes.Buffer) {
	if buf.Cap() <= maxMessageBytes {
		bufferPool.Put(buf)
	}
}

// decode decodes the first frame in data and returns it with the remaining data.
func decode(data []byte) (*frame, []byte, error) {
	f := new(frame)
	rest, err := decMode.UnmarshalFirst(data, f)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	if err := f.validate(); err != nil {
		return nil, nil, err
	}
	f.checkAnswer()
	return f, rest, nil
}

// checkAnswer replaces an answer that no backend server can have given by Unknown. The request's caller cannot get it,
// and an error would close the link, on whose successor the answer would arrive again.
func (f *frame) checkAnswer() {
	if f.Answer != nil && dfpanswer.Check(f.Answer.Status, f.Answer.Header) != nil {
		f.Unknown = &dfpcall.Unknown{Reason: dfpcall.ReasonBackendFailed, Budget: f.Answer.Budget}
		f.Answer = nil
	}
}

var errInvalidField = errors.New("a required field is missing or out of range")

func (f *frame) validate() error {
	valid := true
	switch f.Kind {
	case kindRun:
		valid = f.Request != nil && f.Request.Cohort < dfpcall.Cohorts && f.Request.Importance < dfpcall.ImportanceCount
	case kindOutcome:
		valid = f.ID != nil && f.outcome() != nil
	case kindCancel, kindResolve, kindRunning:
		valid = f.ID != nil
	case kindControlCall, kindNotification:
		valid = f.Control != nil
	case kindControlReply:
		valid = f.Control != nil || f.Error != ""
	case kindPart:
		valid = f.Part != nil
	case kindHeartbeat, kindClosing, kindAuth:
	default:
		return fmt.Errorf("%w: unknown kind %d", ErrInvalidFrame, f.Kind)
	}
	if !valid {
		return fmt.Errorf("%w: kind %d: %w", ErrInvalidFrame, f.Kind, errInvalidField)
	}
	return nil
}

func (f *frame) setOutcome(outcome dfpcall.Outcome) {
	switch o := outcome.(type) {
	case *dfpcall.Answer:
		f.Answer = o
	case *dfpcall.NotRun:
		f.NotRun = o
	case *dfpcall.Unknown:
		f.Unknown = o
	default:
		panic(fmt.Sprintf("dfppeer: unexpected outcome type %T", outcome))
	}
}

func (f *frame) outcome() dfpcall.Outcome {
	switch {
	case f.Answer != nil:
		return f.Answer
	case f.NotRun != nil:
		return f.NotRun
	case f.Unknown != nil:
		return f.Unknown
	}
	return nil
}
