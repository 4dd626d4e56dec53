package dfppeer

import "fmt"

// assembler reassembles long frames from their parts. Only the read loop of one connection uses it.
type assembler struct {
	open  map[uint64]*partialFrame
	bytes int // Total size of the open frames.
}

type partialFrame struct {
	total int
	data  []byte
}

// add adds a part of the long frame with this sequence. It returns the encoded frame once it is
// complete, and nil before.
func (a *assembler) add(sequence uint64, p *part) ([]byte, error) {
	b, ok := a.open[sequence]
	if !ok {
		if p.Total > MaxFrameBytes || p.Total <= 0 || a.bytes+p.Total > maxAssemblyBytes || len(a.open) >= maxAssemblies {
			return nil, fmt.Errorf("%w: a long frame of %d bytes exceeds the limits", ErrInvalidFrame, p.Total)
		}
		// The buffer grows with the bytes received, so that a large Total alone reserves no memory.
		b = &partialFrame{total: p.Total, data: make([]byte, 0, min(p.Total, 4*partSize))}
		a.bytes += p.Total
		if a.open == nil {
			a.open = make(map[uint64]*partialFrame)
		}
		a.open[sequence] = b
	}
	if p.Total != b.total || p.Offset != len(b.data) || len(p.Data) == 0 || len(b.data)+len(p.Data) > b.total {
		return nil, fmt.Errorf("%w: unexpected part at offset %d of a frame of %d bytes", ErrInvalidFrame, p.Offset, p.Total)
	}
	b.data = append(b.data, p.Data...)
	if len(b.data) < b.total {
		return nil, nil
	}
	delete(a.open, sequence)
	a.bytes -= b.total
	return b.data, nil
}
