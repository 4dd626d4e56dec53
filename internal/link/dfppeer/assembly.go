package dfppeer

import "fmt"

// assembly puts the pieces of long frames together. It belongs to one
// connection's reader.
type assembly struct {
	open  map[uint64]*partial
	bytes int
}

type partial struct {
	total int
	data  []byte
}

// add takes a piece and returns the frame once it is whole.
func (a *assembly) add(sequence uint64, p *part) ([]byte, error) {
	b, ok := a.open[sequence]
	if !ok {
		if p.Total > MaxFrameBytes || p.Total <= 0 || a.bytes+p.Total > maxAssembly || len(a.open) >= maxAssemblies {
			return nil, fmt.Errorf("%w: a long frame of %d bytes is too much", ErrInvalidFrame, p.Total)
		}
		// The memory grows with what arrives, not with what was announced.
		b = &partial{total: p.Total, data: make([]byte, 0, min(p.Total, 4*partSize))}
		a.bytes += p.Total
		if a.open == nil {
			a.open = make(map[uint64]*partial)
		}
		a.open[sequence] = b
	}
	if p.Total != b.total || p.Offset != len(b.data) || len(p.Data) == 0 || len(b.data)+len(p.Data) > b.total {
		return nil, fmt.Errorf("%w: a piece at %d of %d bytes does not fit", ErrInvalidFrame, p.Offset, p.Total)
	}
	b.data = append(b.data, p.Data...)
	if len(b.data) < b.total {
		return nil, nil
	}
	delete(a.open, sequence)
	a.bytes -= b.total
	return b.data, nil
}
