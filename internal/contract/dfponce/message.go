package dfponce

import (
	"errors"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// ErrEmptyEnvelope is returned for an Envelope without a message.
var ErrEmptyEnvelope = errors.New("claim envelope holds no message")

// Message is a message between the ClaimManagers of two nodes: *VoteRequest, *Vote, *Finish,
// *FinishAck, *Redirect, *Copy or *CopyAck.
type Message interface{ claimMessage() }

// VoteRequest asks a member to vote for an attempt. With Epoch 0 it asks only for the row of the
// slot, which is sent in a Redirect.
type VoteRequest struct {
	Zone        string            `cbor:"zone"`
	Epoch       uint64            `cbor:"epoch"`
	ID          ClaimID           `cbor:"id"`
	Attempt     dfpcall.RequestID `cbor:"attempt"`
	Fingerprint uint64            `cbor:"fingerprint"`
	// KeyTime is the creation time of the key in milliseconds since 1970, or 0 if unknown.
	KeyTime int64 `cbor:"key_time,omitempty"`
}

// VoteResult is the result of a member's vote on an attempt. Of several refusals the one with the
// highest value is reported to the caller.
type VoteResult uint8

// The results of a vote.
const (
	// Granted means that the member has recorded the attempt. The attempt may run with a quorum of
	// grants.
	Granted VoteResult = iota + 1
	// ClaimsFull means that the member has no room for more claims.
	ClaimsFull
	// ClaimsLost means that claims from the time when the key was created were lost.
	ClaimsLost
	// KeyTooOld means that the claim of the key may have expired.
	KeyTooOld
	// InProgress means that another attempt may still be running.
	InProgress
	// OutcomeUnknown means that another attempt may have run.
	OutcomeUnknown
	// KeyReused means that the key was used before with a different request.
	KeyReused
	// AlreadyRan means that another attempt ran. The vote holds its answer if that was kept.
	AlreadyRan
)

// Vote answers a VoteRequest.
type Vote struct {
	ID      ClaimID           `cbor:"id"`
	Epoch   uint64            `cbor:"epoch"`
	Attempt dfpcall.RequestID `cbor:"attempt"`
	Result  VoteResult        `cbor:"ruling"`
	// Unsynced is set by a member that is not synced as far as it knows. Such a vote does not count
	// as that of a synced member, since the member has yet to copy the claims of the others.
	Unsynced   bool            `cbor:"unsynced,omitempty"`
	Answer     *dfpcall.Answer `cbor:"answer,omitempty"`
	RetryAfter time.Duration   `cbor:"retry_after,omitempty"`
}

// Finish tells a member how a granted attempt ended, or that an attempt was withdrawn and will never
// run. It is valid in every epoch.
type Finish struct {
	Zone        string            `cbor:"zone"`
	ID          ClaimID           `cbor:"id"`
	Attempt     dfpcall.RequestID `cbor:"attempt"`
	Fingerprint uint64            `cbor:"fingerprint"`
	State       ClaimState        `cbor:"state"`
	Answer      *dfpcall.Answer   `cbor:"answer,omitempty"`
}

// FinishAck acknowledges a Finish.
type FinishAck struct {
	ID      ClaimID           `cbor:"id"`
	Attempt dfpcall.RequestID `cbor:"attempt"`
}

// Redirect answers a message to a node that is not a member of the slot in the requested epoch. Its
// Row lists the members that keep the claim.
type Redirect struct {
	ID      ClaimID           `cbor:"id"`
	Attempt dfpcall.RequestID `cbor:"attempt"`
	Zone    string            `cbor:"zone"`
	// Version is the version of the slot table that holds Row. Slot is the index of Row, and Slots
	// the number of rows.
	Version uint64 `cbor:"version"`
	Slot    int    `cbor:"slot"`
	Slots   int    `cbor:"slots"`
	Row     Slot   `cbor:"line"`
}

// ClaimState is the recorded state of the latest attempt of a claim. A state is never replaced by
// a lower one of the same attempt.
type ClaimState uint8

// The states of a claim, from the least to the most certain that the attempt ran.
const (
	// ClaimRunning means that the attempt was granted and may be running.
	ClaimRunning ClaimState = iota + 1
	// ClaimNotRun means that the attempt did not run and never will. Another attempt may run.
	ClaimNotRun
	// ClaimUnknown means that the attempt may have run.
	ClaimUnknown
	// ClaimRan means that the attempt ran.
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

// Copy sends one part of the claims of a slot to a new member.
type Copy struct {
	Slot   int           `cbor:"slot"`
	Epoch  uint64        `cbor:"epoch"`
	Part   int           `cbor:"part"`
	Last   bool          `cbor:"last"`
	Claims []ClaimRecord `cbor:"claims"`
}

// CopyAck acknowledges a Copy.
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

// Envelope is the encoded form of a Message. Exactly one field is set.
type Envelope struct {
	VoteRequest *VoteRequest `cbor:"begin,omitempty"`
	Vote        *Vote        `cbor:"vote,omitempty"`
	Finish      *Finish      `cbor:"finish,omitempty"`
	FinishAck   *FinishAck   `cbor:"finished,omitempty"`
	Redirect    *Redirect    `cbor:"redirect,omitempty"`
	Copy        *Copy        `cbor:"copy,omitempty"`
	CopyAck     *CopyAck     `cbor:"copy_taken,omitempty"`
}

// NewEnvelope returns an Envelope that holds m.
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

// Message returns the message in the envelope, or ErrEmptyEnvelope if there is none.
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
