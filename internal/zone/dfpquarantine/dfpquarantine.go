// Package dfpquarantine finds requests that crash the backend servers that run them, and refuses them.
//
// A backend server that crashes takes all its requests with it, and nothing tells which one was the cause. The
// node beside it, where a Watch follows the requests in progress, knows which ones got no answer. A Registry
// counts for each of these the crashes that it was in, over the whole fleet, by a fingerprint of what it asks
// for and on whose behalf: a caller's repeat has the same one. A request is quarantined after MaxCrashes
// crashes of different instances. An answer to it, of whatever status, proves that it does not crash its backend
// server, so the crashes before no longer count.
//
// The records of two nodes merge like two-phase sets (Shapiro et al., A comprehensive study of Convergent and
// Commutative Replicated Data Types, INRIA 2011): the crashes known, and those that an answer has refuted. So
// messages may be lost, repeated and reordered. A node tells all others at once what has changed, and one at
// random from time to time what it knows; in that way nodes that were cut off or restarted learn it.
//
// # Usage
//
//	watch.Start(instance, handle, dfpquarantine.FingerprintOf(req))
//	watch.Finish(now, handle, dfpquarantine.EndedUnanswered)
//	if suspects := watch.Crashed(now, instance); len(suspects) > 0 {
//		send(registry.RecordCrash(now, instance, suspects)) // To all nodes, which pass it to Merge.
//	}
//	if left, blocked := registry.Blocked(now, fingerprint); blocked {
//		// Refuse the request; it may be tried again after left.
//	}
//
// The types have no clock and do no I/O. They are not safe for concurrent use.
package dfpquarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxCrashes is the number of crashes from which a request is quarantined. Most requests in progress in a
	// crash are not its cause; few of them meet two more without an answer between.
	MaxCrashes = 3
	// QuarantineTime is how long a request is quarantined after its last crash. The next crash after it
	// quarantines the request again.
	QuarantineTime = 10 * time.Minute
	// retentionTime is how long a request is remembered after its last crash. A request may come seldom and crash a
	// server each time.
	retentionTime = time.Hour
	// repeatTime is how long nodes repeat to each other what has not led to a quarantine.
	repeatTime = 2 * time.Minute
	// maxRecords bounds the records of a Registry, and maxMessageRecords those that a message tells.
	maxRecords        = 16384
	maxMessageRecords = 1024
	// maxCrashesKept bounds the crashes in a record.
	maxCrashesKept = 64
)

// String returns the fingerprint as a hexadecimal number.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Record is what is known of one request.
type Record struct {
	Fingerprint Fingerprint `cbor:"fingerprint"`
	// Crashed are hashes of the instances that crashed while they ran the request. Refuted are those of them that
	// do not count, since the request was answered later.
	Crashed []uint64 `cbor:"crashed"`
	Refuted []uint64 `cbor:"refuted,omitempty"`
	// AgeMs is the time since the last crash in milliseconds.
	AgeMs int64 `cbor:"age_ms"`
}

// Message is what one node tells another.
type Message struct {
	Records []Record `cbor:"records"`
}

// Quarantined returns the requests that the message quarantines at a node that knows no more of them.
func (m Message) Quarantined() []Fingerprint {
	var quarantined []Fingerprint
	for _, r := range m.Records {
		if countCrashes(r.Crashed, r.Refuted) >= MaxCrashes {
			quarantined = append(quarantined, r.Fingerprint)
		}
	}
	return quarantined
}

// countCrashes returns the number of crashes that are not refuted.
func countCrashes(crashed, refuted []uint64) int {
	n := 0
	for _, instance := range crashed {
		if !slices.Contains(refuted, instance) {
			n++
		}
	}
	return n
}

// record is a Record in a Registry.
type record struct {
	crashed, refuted []uint64
	lastCrash        time.Time
}

// counted returns the number of crashes that count.
func (r *record) counted() int { return countCrashes(r.crashed, r.refuted) }

// Registry holds the records of one node. The zero value is empty.
type Registry struct{ records map[Fingerprint]*record }

// Empty reports whether nothing is known of any request.
func (r *Registry) Empty() bool { return len(r.records) == 0 }

// RecordCrash records that an instance has crashed while it ran the suspects, and returns what to tell all
// other nodes.
func (r *Registry) RecordCrash(now time.Time, instance string, suspects []Fingerprint) Message {
	crashed := []uint64{xxhash.Sum64String(instance)}
	var changed Message
	for _, f := range suspects[:min(len(suspects), maxMessageRecords)] {
		r.merge(now, Record{Fingerprint: f, Crashed: crashed})
		if rec, ok := r.records[f]; ok {
			changed.Records = append(changed.Records, rec.message(now, f))
		}
	}
	return changed
}

// RecordAnswer records that a request was answered, and returns what to tell all other nodes, if anything.
func (r *Registry) RecordAnswer(now time.Time, f Fingerprint) (Message, bool) {
	rec, ok := r.records[f]
	if !ok || rec.counted() == 0 {
		return Message{}, false
	}
	rec.refuted = slices.Clone(rec.crashed)
	return Message{Records: []Record{rec.message(now, f)}}, true
}

// Merge records what another node knows. It returns the requests that are quarantined by it.
func (r *Registry) Merge(now time.Time, msg Message) []Fingerprint {
	var quarantined []Fingerprint
	for _, told := range msg.Records[:min(len(msg.Records), maxMessageRecords)] {
		_, before := r.Blocked(now, told.Fingerprint)
		r.merge(now, told)
		if _, after := r.Blocked(now, told.Fingerprint); after && !before {
			quarantined = append(quarantined, told.Fingerprint)
		}
	}
	return quarantined
}

func (r *Registry) merge(now time.Time, told Record) {
	rec, ok := r.records[told.Fingerprint]
	if !ok {
		if !r.makeRoom(now) {
			return
		}
		rec = &record{}
		r.records[told.Fingerprint] = rec
	}
	known := len(rec.crashed)
	rec.crashed = union(rec.crashed, told.Crashed)
	rec.refuted = union(rec.refuted, told.Refuted)
	// A message on its way makes a crash look later than it was, so a crash that is known already changes nothing.
	if last := now.Add(-time.Duration(max(told.AgeMs, 0)) * time.Millisecond); len(rec.crashed) > known && last.After(rec.lastCrash) {
		rec.lastCrash = last
	}
	if now.Sub(rec.lastCrash) > retentionTime {
		delete(r.records, told.Fingerprint)
	}
}

// makeRoom makes room for one record: if there is none, it drops the older half of those that are not
// quarantined. It reports whether there is room.
func (r *Registry) makeRoom(now time.Time) bool {
	if r.records == nil {
		r.records = make(map[Fingerprint]*record)
	}
	if len(r.records) < maxRecords {
		return true
	}
	r.expire(now)
	var droppable []Fingerprint
	for f, rec := range r.records {
		if rec.counted() < MaxCrashes {
			droppable = append(droppable, f)
		}
	}
	slices.SortFunc(droppable, func(a, b Fingerprint) int { return r.records[a].lastCrash.Compare(r.records[b].lastCrash) })
	for _, f := range droppable[:(len(droppable)+1)/2] {
		delete(r.records, f)
	}
	return len(r.records) < maxRecords
}

func (r *Registry) expire(now time.Time) {
	for f, rec := range r.records {
		if now.Sub(rec.lastCrash) > retentionTime {
			delete(r.records, f)
		}
	}
}

// union returns the elements of both lists, at most maxCrashesKept.
func union(a, b []uint64) []uint64 {
	for _, x := range b {
		if len(a) < maxCrashesKept && !slices.Contains(a, x) {
			a = append(slices.Clip(a), x)
		}
	}
	return a
}

func (r *record) message(now time.Time, f Fingerprint) Record {
	return Record{Fingerprint: f, Crashed: r.crashed, Refuted: r.refuted, AgeMs: now.Sub(r.lastCrash).Milliseconds()}
}

// Blocked reports whether a request is quarantined, and for how long.
func (r *Registry) Blocked(now time.Time, f Fingerprint) (time.Duration, bool) {
	rec, ok := r.records[f]
	if !ok || rec.counted() < MaxCrashes {
		return 0, false
	}
	left := QuarantineTime - now.Sub(rec.lastCrash)
	return left, left > 0
}

// Summary returns what to tell a node that may not know it: the quarantined requests, and those with two crashes
// or more, also refuted ones, for some time after the last; of too many, the latest. It returns false if there are
// none.
func (r *Registry) Summary(now time.Time) (Message, bool) {
	r.expire(now)
	var msg Message
	for f, rec := range r.records {
		recent := len(rec.crashed) > 1 && now.Sub(rec.lastCrash) <= repeatTime
		if recent || rec.counted() >= MaxCrashes {
			msg.Records = append(msg.Records, rec.message(now, f))
		}
	}
	if len(msg.Records) > maxMessageRecords {
		slices.SortFunc(msg.Records, func(a, b Record) int {
			return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Fingerprint, b.Fingerprint))
		})
		msg.Records = msg.Records[:maxMessageRecords]
	}
	return msg, len(msg.Records) > 0
}
