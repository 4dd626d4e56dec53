package dfpnode

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"dragonflyport/internal/link/dfppeer"
)

// Limits of the listeners other than the callers'.
const (
	// maxHeaderBytes is above the callers' bound, as nested calls carry more.
	maxHeaderBytes = 64 << 10
	readTimeout    = 5 * time.Second
	idleTimeout    = 60 * time.Second
	writeTimeout   = 60 * time.Second
)

// Run serves until ctx ends, then shuts down gracefully. It returns the first
// error of a listener, or nil. It serves nothing and returns an error that wraps
// ErrNotLoopback if others could reach the egress.
func (n *Node) Run(ctx context.Context) error {
	if err := checkLoopback(n.cfg.Egress); err != nil {
		return err
	}
	callers := n.callers.NewServer()
	egress := n.newEgressServer()
	operator := n.newOperatorServer()
	return n.serveUntil(ctx, servers{
		callers: []bound{{"callers", callers, n.open.callers.bound(callers, n.cfg.Callers, n.cfg.MaxCallers)}},
		others: []bound{
			{"egress", egress, n.open.egress.bound(egress, n.cfg.Egress, maxLocalConnections)},
			{"operator", operator, n.open.operator.bound(operator, n.cfg.Operator, maxLocalConnections)},
		},
		leave: n.callers.DisableKeepAlives,
	})
}

// CustomServers is another interface than the node's own to callers, to the backend server and to
// those who look after the node.
type CustomServers struct {
	// Callers serves requests; at a graceful shutdown it ends first.
	Callers Server
	// Others serve all else, until the process ends.
	Others []Server
	// OnShutdown is called when the shutdown begins: from then on each answer has to be its
	// connection's last.
	OnShutdown func()
}

// Server is an HTTP server and where it listens.
type Server struct {
	// Name stands before the address in the line of the node's start.
	Name     string
	HTTP     *http.Server
	Listener net.Listener
}

// RunWith is Run with another interface in place of the node's own. Config.Callers, Egress and
// Operator are not used.
func (n *Node) RunWith(ctx context.Context, with CustomServers) error {
	all := servers{leave: with.OnShutdown}
	all.callers = []bound{{with.Callers.Name, with.Callers.HTTP, n.open.callers.bound(with.Callers.HTTP, with.Callers.Listener, n.cfg.MaxCallers)}}
	for _, s := range with.Others {
		all.others = append(all.others, bound{s.Name, s.HTTP, s.Listener})
	}
	return n.serveUntil(ctx, all)
}

// servers are those of one run, without the links'.
type servers struct {
	callers []bound
	others  []bound
	leave   func()
}

// bound is a server with its listener.
type bound struct {
	name     string
	http     *http.Server
	listener net.Listener
}

func (n *Node) serveUntil(ctx context.Context, all servers) error {
	link := n.newLinkServer()
	all.others = append(all.others, bound{"link", link, n.open.link.bound(link, n.cfg.Link, maxLinkConnections)})
	failed := make(chan struct{}, len(all.callers)+len(all.others))
	addresses := log.Fields{"address": n.cfg.VM.Address, "zone": n.cfg.VM.Zone, "region": n.cfg.VM.Region}
	for _, s := range slices.Concat(all.callers, all.others) {
		addresses[s.name] = s.listener.Addr().String()
		n.serve(failed, s.http, s.listener)
	}
	n.startLoops()
	n.cfg.Log.WithFields(addresses).Info("node started")

	select {
	case <-ctx.Done():
	case <-failed:
	}
	n.shutdown(all)
	return n.group.Wait()
}

// newLocalServer returns a server for the egress or the operators, with time limits
// on all that the other end could hold.
func newLocalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
	}
}

// newLinkServer serves the other nodes' links.
func (n *Node) newLinkServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(dfppeer.Path, n.mesh.Handler())
	return &http.Server{
		Handler:           mux,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       readTimeout,
	}
}

func (n *Node) serve(failed chan<- struct{}, server *http.Server, listener net.Listener) {
	server.ErrorLog = stdlog.New(&n.serverLog, "", 0)
	n.group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		failed <- struct{}{}
		return fmt.Errorf("listener %s: %w", listener.Addr(), err)
	})
}

func (n *Node) startLoops() {
	n.group.Go(n.roster.run)
	n.group.Go(n.config.run)
	n.group.Go(n.rates.run)
	if !n.cfg.NoClaims {
		n.group.Go(n.claims.run)
	}
	n.group.Go(n.guard.run)
}

// shutdown stops the node without cutting a request in progress:
//
//  1. The VM is announced as draining, and the guard admits no new request; with DrainAfterCloseNotice
//     after the next step.
//  2. The callers are told with their next answer that their connection closes. Those
//     on connections that stay idle until then find them closed.
//  3. What runs on the backend server ends; its nested calls still leave through
//     the egress, and the callers' requests in progress end.
//  4. What others need is handed over: slots of the rates and claims.
//  5. The VM is announced as gone, and the links are closed.
func (n *Node) shutdown(all servers) {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainTimeout)
	defer cancel()
	n.cfg.Log.Info("graceful shutdown begins")
	n.stopping.Store(true)
	if !n.cfg.DrainAfterCloseNotice {
		n.Drain()
	}
	n.sayGoodbye(ctx, all.leave)
	n.Drain()
	for _, s := range all.callers {
		if err := s.http.Shutdown(ctx); err != nil {
			n.cfg.Log.WithError(err).Warn("callers' requests were cut")
		}
	}
	n.guard.waitIdle(ctx)
	n.rates.stop(ctx)
	if !n.cfg.NoClaims {
		n.claims.stop(ctx)
	}
	n.roster.leave(ctx)
	n.mesh.Close(ctx)
	for _, s := range all.others {
		// What is still open now is idle or belongs to requests past the drain timeout.
		_ = s.http.Close()
	}
	n.backend.Close()
	n.end()
	n.cfg.Log.Info("graceful shutdown ended")
}

// sayGoodbye lets callers on kept-alive connections hear that this node stops.
func (n *Node) sayGoodbye(ctx context.Context, leave func()) {
	if n.cfg.NoCloseNotice {
		return
	}
	leave()
	select {
	case <-ctx.Done():
	case <-time.After(n.cfg.CloseNoticeTime):
	}
}
