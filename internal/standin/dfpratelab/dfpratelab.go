// Package dfpratelab compares schemes that keep organisations within their rates. It simulates a fleet in
// virtual time: the nodes run the production code of package dfpshare over a fake message channel and a
// fake platform.
//
// Three schemes get the same requests:
//
//   - static division: each node has a fixed fraction of each rate;
//   - one owner: one node decides for the whole fleet;
//   - home batches: dfpshare, with home buckets and token batches.
//
// Exact token buckets check each scheme. One is charged with every granted request and shows whether any
// window exceeded the bound, rate*window+burst. The other, the central bucket, decides on every request at
// its arrival. A request is wrongly refused if a scheme refuses it and the central bucket admitted it.
//
// The randomised tests of dfpshare use [Fleet], the simulated fleet, too.
//
// # Usage
//
//	report := dfpratelab.Run(dfpratelab.Config{Seed: 1})
//	fmt.Print(report)
//	if report.BoundExceeded { os.Exit(1) }
package dfpratelab
