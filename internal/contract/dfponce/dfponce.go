// Package dfponce decides that work which must not happen twice does not.
//
// It has two halves. A Ledger stands at a guard and settles request ids: a
// request id that ran, or of which it was said that it did not run, never runs
// again. A Claims stands at each node and settles callers' repeats: of all
// requests with the same organisation and Idempotency-Key one runs, wherever in
// the fleet the others arrive.
//
// All of it is pure: time and messages are passed in, messages to send are
// returned. Neither type is locked inside; the caller holds a lock around each call.
//
// # Usage
//
//	ledger := dfponce.NewLedger(dfponce.LedgerConfig{})
//	switch state, outcome := ledger.Start(now, req.ID); state {
//	case dfponce.Started: // Run it, then call ledger.Finish.
//	case dfponce.Running: // A duplicate: drop it.
//	case dfponce.Done: // Send outcome again; a nil outcome was not kept.
//	case dfponce.Barred: // It did not run and will not: answer NotRun.
//	case dfponce.Expired: // Too old to tell: answer Unknown.
//	}
package dfponce
