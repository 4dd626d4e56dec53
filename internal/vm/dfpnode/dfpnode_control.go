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

// errUnknownTopic is returned for a control message whose topic this node does not know.
var errUnknownTopic = errors.New("unknown topic")

// Streams of the random number generators that derive from the node's seed.
const (
	streamGuard uint64 = iota + 1
	streamRoster
	streamConfig
	streamRates
)

// handleControl passes a peer's control message to the component of its topic.
func (n *Node) handleControl(_ context.Context, from string, msg dfppeer.Control) (dfppeer.Control, error) {
	n.config.observeVersion(from, msg.Version)
	switch msg.Topic {
	case dfppeer.TopicRoster:
		return n.roster.handle(from, msg)
	case dfppeer.TopicRules:
		return n.config.handle(from, msg)
	case dfppeer.TopicShare:
		return n.rates.handle(from, msg)
	case dfppeer.TopicOnce:
		return n.claims.handle(from, msg)
	case dfppeer.TopicQuarantine:
		return n.quarantine.handle(msg)
	default:
		return dfppeer.Control{}, fmt.Errorf("%w %q", errUnknownTopic, msg.Topic)
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

// notify sends a control message without waiting for a reply. body must be of a type that always encodes.
func (n *Node) notify(to string, topic dfppeer.Topic, body any) {
	msg, err := dfppeer.Encode(topic, body)
	if err != nil {
		panic(fmt.Sprintf("dfpnode: %T cannot be encoded: %v", body, err))
	}
	n.mesh.Notify(to, msg)
}

// sleep waits for d or until the node ends.
func (n *Node) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.runCtx.Done():
	}
}

// requestRand returns a random number generator for one request. It uses the runtime's generator, which
// needs no lock.
func (n *Node) requestRand() *rand.Rand { return rand.New(runtimeSource{}) }

// runtimeSource is a rand.Source of the runtime's per-thread generator.
type runtimeSource struct{}

func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

func discardLog() log.Interface {
	return &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
}
