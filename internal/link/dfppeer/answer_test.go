package dfppeer_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfppeer"
)

// manyFields returns as many fields as the head of an answer has room for, which is 64 KiB.
func manyFields() map[string][]string {
	fields := make(map[string][]string)
	for i := range 8000 {
		fields[fmt.Sprintf("F%d", i)] = []string{""}
	}
	fields["Many"] = make([]string, 8000)
	return fields
}

// runOnce runs a request that a node with the given handler answers, and checks that the link between the two nodes
// holds.
func runOnce(t *testing.T, req *dfpcall.Request, run func(*dfpcall.Request) dfpcall.Outcome) dfpcall.Outcome {
	t.Helper()
	b := start(t, 2, func(cfg *dfppeer.Config) {
		cfg.Run = func(_ context.Context, _ string, req *dfpcall.Request) dfpcall.Outcome { return run(req) }
	})
	a := start(t, 1, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	out := a.mesh.Run(ctx, b.address, req)
	for _, n := range []*node{a, b} {
		assert.Equal(t, n.mesh.Stats().Lost, int64(0))
		assert.Equal(t, n.mesh.Stats().BadFrames, int64(0))
	}
	return out
}

// TestHeadsOverLink passes requests and answers with all that HTTP allows in a head over a link: they arrive unchanged.
func TestHeadsOverLink(t *testing.T) {
	const notUTF8 = "gr\xfcn \xff\x80"
	for _, tc := range []struct {
		name   string
		path   string
		header map[string][]string
	}{
		{"field value that is not UTF-8", "/order", map[string][]string{"X-Value": {notUTF8}}},
		{"path that is not UTF-8", "/order/" + notUTF8, nil},
		{"many fields", "/order", manyFields()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req := request(1, nil)
			req.Path, req.Header = tc.path, tc.header
			out := runOnce(t, req, func(got *dfpcall.Request) dfpcall.Outcome {
				return &dfpcall.Answer{Status: 200, Header: got.Header, Body: []byte(got.Path)}
			})
			assert.DeepEqual(t, out, &dfpcall.Answer{Status: 200, Header: tc.header, Body: []byte(tc.path)})
		})
	}
}

// TestBrokenAnswersOverLink has the other node send an answer that HTTP does not allow: the outcome of the request is
// unknown.
func TestBrokenAnswersOverLink(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer dfpcall.Answer
	}{
		{"no status", dfpcall.Answer{}},
		{"status 99", dfpcall.Answer{Status: 99}},
		{"status 101", dfpcall.Answer{Status: 101}},
		{"status 1000", dfpcall.Answer{Status: 1000}},
		{"blank in a field name", dfpcall.Answer{Status: 200, Header: map[string][]string{"X Bad": {"1"}}}},
		{"line end in a field value", dfpcall.Answer{Status: 200, Header: map[string][]string{"X-Bad": {"a\r\nb"}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.answer.Body, tc.answer.Budget = []byte(strings.Repeat("x", 64<<10)), 2
			out := runOnce(t, request(1, nil), func(*dfpcall.Request) dfpcall.Outcome { return &tc.answer })
			assert.DeepEqual(t, out, &dfpcall.Unknown{Reason: dfpcall.ReasonBackendFailed, Budget: 2})
		})
	}
}

// TestAnswerThatBreaksEachLink has each link fail while the answer arrives: until the request is given up, links are
// not opened faster than a dial is retried.
func TestAnswerThatBreaksEachLink(t *testing.T) {
	p := newPair(t, make([]byte, 1<<20))
	p.prepare = func(c *faultConn) { c.readLimit = 16 << 10 }
	close(p.finish)
	out := p.caller.mesh.Run(t.Context(), p.guard.address, request(1, nil))
	_, unknown := out.(*dfpcall.Unknown)
	assert.Assert(t, unknown, "%#v", out)
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Assert(t, p.dials > 2 && p.dials <= 100, "%d dials in 2 s", p.dials)
}
