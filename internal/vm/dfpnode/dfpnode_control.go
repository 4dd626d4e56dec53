package dfpnode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/zone/dfproster"
)

// errTopic is returned for a control message of a topic that this node doesn't know.
var errTopic = errors.New("unknown topic")

// The streams of random numbers that a node draws from its seed.
const (
	streamGuard uint64 = iota + 1
	streamRoster
	streamConfig
	streamRates
)

// handleControl takes a control message of a peer.
func (n *Node) handleControl(_ context.Context, from string, msg dfppeer.Control) (dfppeer.Control, error) {
	n.config.heard(from, msg.Version)
	switch msg.Topic {
	case dfppeer.TopicRoster:
		return n.roster.handle(from, msg)
	case dfppeer.TopicRules:
		return n.config.handle(from, msg)
	case dfppeer.TopicShare:
		return n.rates.handle(from, msg)
	case dfppeer.TopicOnce:
		return n.claims.handle(from, msg)
	default:
		return dfppeer.Control{}, fmt.Errorf("%w %q", errTopic, msg.Topic)
	}
}

func (l *rosterLoop) handle(from string, msg dfppeer.Control) (dfppeer.Control, error) {
	body, err := dfppeer.Decode[dfproster.Message](msg)
	if err != nil {
		return dfppeer.Control{}, err
	}
	l.do(func(r *dfproster.Roster) dfproster.Effects { return r.Handle(time.Now(), from, body) })
	return dfppeer.Control{Topic: msg.Topic}, nil
}

// tell sends a message of our own types, which always encode.
func (n *Node) tell(to string, topic dfppeer.Topic, body any) {
	msg, err := dfppeer.Encode(topic, body)
	if err != nil {
		panic(fmt.Sprintf("dfpnode: %T cannot be encoded: %v", body, err))
	}
	n.mesh.Notify(to, msg)
}

// pause waits, unless the node ends before.
func (n *Node) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.life.Done():
	}
}

// requestRand returns a source of random numbers for the path of one request.
// The runtime's generator serves it without a lock.
func (n *Node) requestRand() *rand.Rand { return rand.New(runtimeSource{}) }

// runtimeSource draws from the runtime's generator of each thread.
type runtimeSource struct{}

func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

func discardLog() log.Interface {
	return &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
}
