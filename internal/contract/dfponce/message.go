package dfponce

import (
	"errors"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// ErrEmptyEnvelope is returned for an envelope that holds no message.
var ErrEmptyEnvelope = errors.New("bad claim message")

// Message is what Claims of two nodes say to each other: *VoteRequest, *Vote,
// *Finish, *FinishAck, *Redirect, *Copy or *CopyAck.
type Message interface{ claimMessage() }

// Begin asks a member to vote for an attempt. Epoch 0 asks for the slot's line.
type VoteRequest struct {
	Zone        string            `cbor:"zone"`
	Epoch       uint64            `cbor:"epoch"`
	ID          ClaimID           `cbor:"id"`
	Attempt     dfpcall.RequestID `cbor:"attempt"`
	Fingerprint uint64            `cbor:"fingerprint"`
	// KeyTime is when the key was made, in milliseconds since 1970, or 0.
	KeyTime int64 `cbor:"key_time,omitempty"`
}

// Result is a member's vote on an attempt. Higher ones say more of the key.
type VoteResult uint8

// The rulings.
const (
	// Granted votes are recorded; with a quorum of them the attempt may run.
	Granted VoteResult = iota + 1
	// ClaimsFull says that no more claims can be kept now.
	ClaimsFull
	// ClaimsLost says that the claims of the time when the key was made were lost.
	ClaimsLost
	// KeyTooOld says that the key's claim may have been forgotten.
	KeyTooOld
	// InProgress says that another attempt may still be running.
	InProgress
	// OutcomeUnknown says that another attempt may have run or not.
	OutcomeUnknown
	// KeyReused says that the key came with another request before.
	KeyReused
	// AlreadyRan goes with the recorded answer, if that was kept.
	AlreadyRan
)

// Vote answers Begin.
type Vote struct {
	ID      ClaimID           `cbor:"id"`
	Epoch   uint64            `cbor:"epoch"`
	Attempt dfpcall.RequestID `cbor:"attempt"`
	Result  VoteResult        `cbor:"ruling"`
	// Unsynced votes come from a member that knows itself as not synced. They do
	// not count as those of a synced one, since it has yet to copy what others hold.
	Unsynced   bool            `cbor:"unsynced,omitempty"`
	Answer     *dfpcall.Answer `cbor:"answer,omitempty"`
	RetryAfter time.Duration   `cbor:"retry_after,omitempty"`
}

// Finish tells a member how a granted attempt ended, or that an attempt was
// given up and will never run. It is true in every epoch.
type Finish struct {
	Zone        string            `cbor:"zone"`
	ID          ClaimID           `cbor:"id"`
	Attempt     dfpcall.RequestID `cbor:"attempt"`
	Fingerprint uint64            `cbor:"fingerprint"`
	State       ClaimState        `cbor:"state"`
	Answer      *dfpcall.Answer   `cbor:"answer,omitempty"`
}

// FinishAck answers Finish.
type FinishAck struct {
	ID      ClaimID           `cbor:"id"`
	Attempt dfpcall.RequestID `cbor:"attempt"`
}

// Redirect tells an attempt who keeps its claim.
type Redirect struct {
	ID      ClaimID           `cbor:"id"`
	Attempt dfpcall.RequestID `cbor:"attempt"`
	Zone    string            `cbor:"zone"`
	// Version is that of the table from which Line of Slot, one of Slots, was read.
	Version uint64 `cbor:"version"`
	Slot    int    `cbor:"slot"`
	Slots   int    `cbor:"slots"`
	Row     Slot   `cbor:"line"`
}

// ClaimState is what is recorded of a claim's latest attempt.
type ClaimState uint8

// The states of a claim, from the one that says least to the one that says most.
const (
	// ClaimRunning attempts may run.
	ClaimRunning ClaimState = iota + 1
	// ClaimNotRun attempts did not run and will not; another may.
	ClaimNotRun
	// ClaimUnknown attempts may have run.
	ClaimUnknown
	// ClaimRan attempts ran.
	ClaimRan
)

// ClaimRecord is a claim as it is copied to a new member.
type ClaimRecord struct {
	ID          ClaimID           `cbor:"id"`
	Attempt     dfpcall.RequestID `cbor:"attempt"`
	Fingerprint uint64            `cbor:"fingerprint"`
	State       ClaimState        `cbor:"state"`
	Answer      *dfpcall.Answer   `cbor:"answer,omitempty"`
	// Age is the time since the attempt began.
	Age time.Duration `cbor:"age"`
}

// Copy sends a new member a part of the slot's claims.
type Copy struct {
	Slot   int           `cbor:"slot"`
	Epoch  uint64        `cbor:"epoch"`
	Part   int           `cbor:"part"`
	Last   bool          `cbor:"last"`
	Claims []ClaimRecord `cbor:"claims"`
}

// CopyAck answers Copy.
type CopyAck struct {
	Slot  int    `cbor:"slot"`
	Epoch uint64 `cbor:"epoch"`
	Part  int    `cbor:"part"`
}

func (*VoteRequest) claimMessage() {}
func (*Vote) claimMessage()        {}
func (*Finish) claimMessage()      {}
func (*FinishAck) claimMessage()   {}
func (*Redirect) claimMessage()    {}
func (*Copy) claimMessage()        {}
func (*CopyAck) claimMessage()     {}

// Envelope carries one Message on a link.
type Envelope struct {
	VoteRequest *VoteRequest `cbor:"begin,omitempty"`
	Vote        *Vote        `cbor:"vote,omitempty"`
	Finish      *Finish      `cbor:"finish,omitempty"`
	FinishAck   *FinishAck   `cbor:"finished,omitempty"`
	Redirect    *Redirect    `cbor:"redirect,omitempty"`
	Copy        *Copy        `cbor:"copy,omitempty"`
	CopyAck     *CopyAck     `cbor:"copy_taken,omitempty"`
}

// NewEnvelope returns the envelope of a message.
func NewEnvelope(m Message) Envelope {
	var e Envelope
	switch m := m.(type) {
	case *VoteRequest:
		e.VoteRequest = m
	case *Vote:
		e.Vote = m
	case *Finish:
		e.Finish = m
	case *FinishAck:
		e.FinishAck = m
	case *Redirect:
		e.Redirect = m
	case *Copy:
		e.Copy = m
	case *CopyAck:
		e.CopyAck = m
	}
	return e
}

// Open returns the message in an envelope, or ErrEmptyEnvelope if there isn't one.
func (e Envelope) Message() (Message, error) {
	switch {
	case e.VoteRequest != nil:
		return e.VoteRequest, nil
	case e.Vote != nil:
		return e.Vote, nil
	case e.Finish != nil:
		return e.Finish, nil
	case e.FinishAck != nil:
		return e.FinishAck, nil
	case e.Redirect != nil:
		return e.Redirect, nil
	case e.Copy != nil:
		return e.Copy, nil
	case e.CopyAck != nil:
		return e.CopyAck, nil
	}
	return nil, ErrEmptyEnvelope
}
