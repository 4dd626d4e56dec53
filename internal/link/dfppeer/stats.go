package dfppeer

import "sync/atomic"

// stats holds the counters behind Stats.
type stats struct {
	connections, opened, lost       atomic.Int64
	badHandshakes, badFrames        atomic.Int64
	bytesSent                       atomic.Int64
	resolved, unknown, silent       atomic.Int64
	duplicates, barred, lateDropped atomic.Int64
}

// Stats holds a mesh's counters since its start, and the number of connections.
type Stats struct {
	// Connections is the number of connections open now.
	Connections int64 `json:"connections"`
	Opened      int64 `json:"opened"`
	// Lost is the number of connections that failed, rather than being closed when idle or by Close.
	Lost          int64 `json:"lost"`
	BadHandshakes int64 `json:"bad_handshakes"`
	BadFrames     int64 `json:"bad_frames"`
	BytesSent     int64 `json:"bytes_sent"`
	// Silent is the number of connections closed because a write, a probe or the next message took
	// too long.
	Silent int64 `json:"silent"`
	// Resolved is the number of attempts to resolve a request on another connection.
	Resolved int64 `json:"resolved"`
	// Unknown is the number of requests that this side ended as unknown.
	Unknown int64 `json:"unknown"`
	// Duplicates is the number of run frames that were not run because their ID had run before, was
	// barred or had expired.
	Duplicates int64 `json:"duplicates"`
	// Barred is the number of times that another node asked for the outcome of a request that is
	// barred here.
	Barred int64 `json:"barred"`
	// LateDropped is the number of outcomes and replies that were dropped because nothing waited for
	// them any more.
	LateDropped int64 `json:"late_dropped"`
}

// Stats returns the mesh's counters.
func (m *Mesh) Stats() Stats {
	s := &m.stats
	return Stats{
		Connections: s.connections.Load(), Opened: s.opened.Load(), Lost: s.lost.Load(),
		BadHandshakes: s.badHandshakes.Load(), BadFrames: s.badFrames.Load(),
		BytesSent: s.bytesSent.Load(), Silent: s.silent.Load(), Resolved: s.resolved.Load(),
		Unknown: s.unknown.Load(), Duplicates: s.duplicates.Load(), Barred: s.barred.Load(),
		LateDropped: s.lateDropped.Load(),
	}
}
