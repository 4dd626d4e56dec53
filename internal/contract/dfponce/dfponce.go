// Package dfponce implements at-most-once execution of requests.
//
// It has two independent parts. A Ledger, on the node that runs requests for others, deduplicates
// request IDs: a request ID that has run, or that was reported as not run, never runs again. A
// ClaimManager, on each node, deduplicates callers' repeats: of all requests with the same
// organisation and Idempotency-Key only one runs, whichever nodes of the fleet the others reach.
//
// # Claims
//
// An attempt is one request with an Idempotency-Key, at the node that received it (its entry node).
// A claim is the record of a key's latest attempt. Claims are kept in the key's home zone (HomeZone).
// The claims of a zone are divided by hash into slots, and each slot is kept by up to MembersPerSlot
// nodes of the zone, its members. The zone's slot table has one row per slot, which lists the members.
// Each change of a slot's members begins a new epoch of that slot. The entry node asks the members to
// vote for the attempt and runs it once a quorum of one epoch has granted it. A new member copies the
// claims of the other members and then counts as synced.
//
// Both types do no I/O and read no clock: time and messages are passed in, and messages to send are
// returned. Neither type is safe for concurrent use; the caller must hold a lock around each call.
//
// # Usage
//
//	ledger := dfponce.NewLedger(dfponce.LedgerConfig{})
//	switch state, outcome := ledger.Start(now, req.ID); state {
//	case dfponce.Started: // Run it, then call ledger.Finish.
//	case dfponce.Running: // A duplicate: drop it.
//	case dfponce.Done: // Send outcome again; a nil outcome was not kept.
//	case dfponce.Barred: // It did not run and never will: answer NotRun.
//	case dfponce.Expired: // Too old to tell whether it ran: answer Unknown.
//	}
package dfponce
