package dfppeer

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"dragonflyport/internal/contract/dfpcall"
)

// kind says what a frame is for.
type kind uint8

const (
	// kindRun carries a request to the guard that shall run it.
	kindRun kind = iota + 1
	// kindOutcome carries the outcome of a request back.
	kindOutcome
	// kindCancel says that nobody waits for the request any more.
	kindCancel
	// kindResolve asks what became of a request, and bars it if it was not seen.
	kindResolve
	// kindRunning answers kindResolve: the outcome will follow.
	kindRunning
	// kindAsk carries a control message that wants a reply.
	kindAsk
	// kindReply answers kindAsk.
	kindReply
	// kindTell carries a control message that wants no reply.
	kindTell
	// kindHeartbeat shows that the sender lives.
	kindHeartbeat
	// kindPart carries a piece of a frame too long for one message.
	kindPart
	// kindClosing says that the sender starts nothing more on this connection.
	kindClosing
	// kindAuth is a connection's first frame, from its dialer.
	kindAuth
)

// frame is one message between two nodes. A WebSocket message holds one or more
// frames, one after the other.
type frame struct {
	Kind kind               `cbor:"kind"`
	ID   *dfpcall.RequestID `cbor:"id,omitempty"`
	// Sequence matches kindReply to kindAsk and the pieces of a long frame.
	Sequence uint64           `cbor:"sequence,omitempty"`
	Request  *dfpcall.Request `cbor:"request,omitempty"`
	Answer   *dfpcall.Answer  `cbor:"answer,omitempty"`
	NotRun   *dfpcall.NotRun  `cbor:"not_run,omitempty"`
	Unknown  *dfpcall.Unknown `cbor:"unknown,omitempty"`
	Control  *Control         `cbor:"control,omitempty"`
	Error    string           `cbor:"error,omitempty"`
	Version  uint64           `cbor:"version,omitempty"`
	Load     *dfpcall.Load    `cbor:"load,omitempty"`
	// Probe asks the receiver of a heartbeat for one in return.
	Probe bool   `cbor:"probe,omitempty"`
	Part  *part  `cbor:"part,omitempty"`
	Proof []byte `cbor:"proof,omitempty"`
}

// part is a piece of a long frame's encoding.
type part struct {
	// Offset is where Data stands in the frame, in bytes; parts come in order.
	Offset int    `cbor:"offset"`
	Total  int    `cbor:"total"`
	Data   []byte `cbor:"data"`
}

var (
	encMode = newEncMode()
	decMode = newDecMode()
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

func newEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic("dfppeer: " + err.Error())
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
	}.DecMode()
	if err != nil {
		panic("dfppeer: " + err.Error())
	}
	return mode
}

// encode returns the frame in a buffer from the pool.
func encode(f *frame) (*bytes.Buffer, error) {
	buf := buffers.Get().(*bytes.Buffer)
	buf.Reset()
	if err := encMode.MarshalToBuffer(f, buf); err != nil {
		release(buf)
		return nil, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	if buf.Len() > MaxFrameBytes {
		n := buf.Len()
		release(buf)
		return nil, fmt.Errorf("%w: %d bytes, at most %d are carried", ErrFrameTooLong, n, MaxFrameBytes)
	}
	return buf, nil
}

// release gives a buffer back to the pool, unless it has grown large.
func release(buf *bytes.Buffer) {
	if buf.Cap() <= maxMessage {
		buffers.Put(buf)
	}
}

// decode reads the first frame of data and returns what follows it.
func decode(data []byte) (*frame, []byte, error) {
	f := new(frame)
	rest, err := decMode.UnmarshalFirst(data, f)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	if err := f.check(); err != nil {
		return nil, nil, err
	}
	return f, rest, nil
}

var errIncomplete = errors.New("frame lacks a field that its kind needs")

func (f *frame) check() error {
	complete := true
	switch f.Kind {
	case kindRun:
		complete = f.Request != nil && f.Request.Cohort < dfpcall.Cohorts && f.Request.Importance < dfpcall.ImportanceCount
	case kindOutcome:
		complete = f.ID != nil && f.outcome() != nil
	case kindCancel, kindResolve, kindRunning:
		complete = f.ID != nil
	case kindAsk, kindTell:
		complete = f.Control != nil
	case kindReply:
		complete = f.Control != nil || f.Error != ""
	case kindPart:
		complete = f.Part != nil
	case kindHeartbeat, kindClosing, kindAuth:
	default:
		return fmt.Errorf("%w: unknown kind %d", ErrInvalidFrame, f.Kind)
	}
	if !complete {
		return fmt.Errorf("%w: kind %d: %w", ErrInvalidFrame, f.Kind, errIncomplete)
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
		panic(fmt.Sprintf("dfppeer: no outcome: %T", outcome))
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
