package dfpnode

import (
	"fmt"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/zone/dfpquarantine"
)

// summaryInterval is how often a node tells another one, chosen at random, which requests it suspects.
const summaryInterval = time.Second

// quarantineLoop keeps this node's registry of requests that crash backend servers, and exchanges it with the
// other nodes.
type quarantineLoop struct {
	n *Node

	mu       sync.Mutex
	registry dfpquarantine.Registry
	// crashes counts the crashes that this node has reported.
	crashes int
}

// refuse returns the refusal of a request that is quarantined, or nil.
func (q *quarantineLoop) refuse(req *dfpcall.Request) *dfpcall.NotRun {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.registry.Empty() {
		return nil
	}
	left, blocked := q.registry.Blocked(time.Now(), dfpquarantine.FingerprintOf(req))
	if !blocked {
		return nil
	}
	return &dfpcall.NotRun{Reason: dfpcall.ReasonQuarantined, RetryAfter: left, Budget: req.Budget}
}

// recordCrash records a crash of this VM's backend server and tells all other nodes.
func (q *quarantineLoop) recordCrash(suspects []dfpquarantine.Fingerprint) {
	q.mu.Lock()
	q.crashes++
	instance := fmt.Sprintf("%016x/%d", q.n.cfg.VM.Incarnation, q.crashes)
	msg := q.registry.RecordCrash(time.Now(), instance, suspects)
	q.mu.Unlock()
	q.announce(msg)
}

// recordAnswer records that this VM's backend server has answered a request. Other nodes are told if they may
// suspect it.
func (q *quarantineLoop) recordAnswer(f dfpquarantine.Fingerprint) {
	q.mu.Lock()
	msg, changed := q.registry.RecordAnswer(time.Now(), f)
	q.mu.Unlock()
	if changed {
		q.announce(msg)
	}
}

func (q *quarantineLoop) announce(msg dfpquarantine.Message) {
	q.logQuarantined(msg.Quarantined())
	for _, vm := range q.n.roster.vms() {
		if vm.Address != q.n.cfg.VM.Address && !vm.Left {
			q.n.notify(vm.Address, dfppeer.TopicQuarantine, msg)
		}
	}
}

// handle processes what another node knows.
func (q *quarantineLoop) handle(msg dfppeer.Control) (dfppeer.Control, error) {
	body, err := dfppeer.Decode[dfpquarantine.Message](msg)
	if err != nil {
		return dfppeer.Control{}, err
	}
	q.mu.Lock()
	quarantined := q.registry.Merge(time.Now(), body)
	q.mu.Unlock()
	q.logQuarantined(quarantined)
	return dfppeer.Control{Topic: msg.Topic}, nil
}

func (q *quarantineLoop) logQuarantined(quarantined []dfpquarantine.Fingerprint) {
	for _, f := range quarantined {
		dfpevent.Write(q.n.journal, time.Now(), func() *dfpevent.Quarantine {
			return &dfpevent.Quarantine{Fingerprint: f.String()}
		})
	}
}

// run tells another node from time to time what this one knows, so that nodes that were cut off or restarted
// learn it.
func (q *quarantineLoop) run() error {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-q.n.runCtx.Done():
			return nil
		case now := <-ticker.C:
			q.mu.Lock()
			msg, some := q.registry.Summary(now)
			q.mu.Unlock()
			if vms := q.n.roster.vms(); some && len(vms) > 0 {
				if vm := vms[q.n.requestRand().IntN(len(vms))]; vm.Address != q.n.cfg.VM.Address {
					q.n.notify(vm.Address, dfppeer.TopicQuarantine, msg)
				}
			}
		}
	}
}
