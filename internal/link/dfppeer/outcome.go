package dfppeer

import (
	"bytes"

	"dragonflyport/internal/contract/dfpcall"
)

// encodeOutcome returns the encoded frame of an outcome and its size in bytes. An outcome that does
// not encode, such as an answer that is too long, is replaced by Unknown in *outcome: the request
// ran, but its caller cannot get the answer.
func encodeOutcome(m *Mesh, id dfpcall.RequestID, outcome *dfpcall.Outcome) (*bytes.Buffer, int) {
	load := m.cfg.Load()
	f := &frame{Kind: kindOutcome, ID: &id, Version: m.cfg.Version(), Load: &load}
	f.setOutcome(*outcome)
	buf, err := encode(f)
	if err != nil {
		*outcome = &dfpcall.Unknown{Reason: dfpcall.ReasonBackendFailed}
		f = &frame{Kind: kindOutcome, ID: &id, Version: f.Version, Load: &load}
		f.setOutcome(*outcome)
		buf, err = encode(f)
	}
	if err != nil {
		panic("dfppeer: cannot encode outcome: " + err.Error())
	}
	return buf, buf.Len()
}
