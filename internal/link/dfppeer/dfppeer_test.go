package dfppeer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfppeer"
)

// node is a mesh with a server on a loopback address.
type node struct {
	mesh    *dfppeer.Mesh
	address string
	server  *httptest.Server
	// replace replaces the mesh by one with another incarnation, as a restart does. refuse closes
	// the listener.
	replace, refuse func()
	mu              sync.Mutex
	ran             map[dfpcall.RequestID]int
}

func (n *node) runs(id dfpcall.RequestID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ran[id]
}

// start starts a node. edit, if not nil, changes its configuration.
func start(t testing.TB, incarnation uint64, edit func(*dfppeer.Config)) *node {
	t.Helper()
	var mesh atomic.Pointer[dfppeer.Mesh]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mesh.Load().Handler().ServeHTTP(w, r)
	}))
	n := &node{server: server, address: server.Listener.Addr().String(), ran: make(map[dfpcall.RequestID]int)}
	group := new(errgroup.Group)
	cfg := dfppeer.Config{
		Self: n.address, Incarnation: incarnation, Secret: []byte("secret"), Group: group,
		Run: func(_ context.Context, _ string, req *dfpcall.Request) dfpcall.Outcome {
			return &dfpcall.Answer{Status: 200, Body: req.Body}
		},
	}
	if edit != nil {
		edit(&cfg)
	}
	run := cfg.Run
	cfg.Run = func(ctx context.Context, from string, req *dfpcall.Request) dfpcall.Outcome {
		n.mu.Lock()
		n.ran[req.ID]++
		n.mu.Unlock()
		return run(ctx, from, req)
	}
	n.mesh = dfppeer.New(cfg)
	mesh.Store(n.mesh)
	n.replace = func() {
		cfg.Incarnation += 100
		next := dfppeer.New(cfg)
		mesh.Store(next)
		t.Cleanup(func() { next.Close(context.Background()) })
	}
	n.refuse = func() { _ = server.Listener.Close() }
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		n.mesh.Close(ctx)
		server.Close()
		assert.NilError(t, group.Wait())
	})
	return n
}

func request(counter uint64, body []byte) *dfpcall.Request {
	return &dfpcall.Request{
		ID: dfpcall.RequestID{Incarnation: 1, Counter: counter}, Service: "ordering",
		Method: "POST", Path: "/order", Body: body, Timeout: 10 * time.Second,
	}
}

func TestRunManyAtOnce(t *testing.T) {
	a, b := start(t, 1, nil), start(t, 2, nil)
	var group errgroup.Group
	for i := range uint64(200) {
		group.Go(func() error {
			size := 10 + int(i)*int(i)*int(i)/100
			body := make([]byte, size)
			copy(body, fmt.Sprintf("body %d", i))
			outcome := a.mesh.Run(context.Background(), b.address, request(i, body))
			answer, ok := outcome.(*dfpcall.Answer)
			if !ok {
				return fmt.Errorf("request %d: %#v", i, outcome)
			}
			if string(answer.Body) != string(body) {
				return fmt.Errorf("request %d: answer of %d bytes differs from the request body", i, len(answer.Body))
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	assert.Equal(t, a.mesh.Stats().Connections, int64(1))
}

func TestControl(t *testing.T) {
	notified := make(chan string, 1)
	b := start(t, 2, func(cfg *dfppeer.Config) {
		cfg.Control = func(_ context.Context, from string, msg dfppeer.Control) (dfppeer.Control, error) {
			text, err := dfppeer.Decode[string](msg)
			if err != nil {
				return dfppeer.Control{}, err
			}
			if msg.Topic == dfppeer.TopicShare {
				notified <- fmt.Sprintf("%s %d", text, msg.Version)
			}
			return dfppeer.Encode(msg.Topic, text+" back")
		}
	})
	a := start(t, 1, func(cfg *dfppeer.Config) { cfg.Version = func() uint64 { return 7 } })
	msg, err := dfppeer.Encode(dfppeer.TopicOnce, "hello")
	assert.NilError(t, err)
	reply, err := a.mesh.Call(context.Background(), b.address, msg)
	assert.NilError(t, err)
	text, err := dfppeer.Decode[string](reply)
	assert.NilError(t, err)
	assert.Equal(t, text, "hello back")

	msg, err = dfppeer.Encode(dfppeer.TopicShare, "news")
	assert.NilError(t, err)
	a.mesh.Notify(b.address, msg)
	assert.Equal(t, <-notified, "news 7")

	bad, err := dfppeer.Encode(dfppeer.TopicRules, 5)
	assert.NilError(t, err)
	_, err = a.mesh.Call(context.Background(), b.address, bad)
	assert.ErrorIs(t, err, dfppeer.ErrRemote)
}

func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	a := start(t, 1, nil)
	outcome := a.mesh.Run(context.Background(), address, request(1, nil))
	assert.DeepEqual(t, outcome, &dfpcall.NotRun{Reason: dfpcall.ReasonLinkLost})
	_, err = a.mesh.Call(context.Background(), address, dfppeer.Control{Topic: dfppeer.TopicOnce})
	assert.ErrorIs(t, err, dfppeer.ErrUnreachable)
}
