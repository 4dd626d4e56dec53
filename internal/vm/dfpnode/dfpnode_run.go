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

// Limits of the link, egress and operator listeners.
const (
	// maxHeaderBytes exceeds the callers' limit because nested calls carry additional headers.
	maxHeaderBytes = 64 << 10
	readTimeout    = 5 * time.Second
	idleTimeout    = 60 * time.Second
	writeTimeout   = 60 * time.Second
)

// Run serves until ctx ends or a listener fails, then shuts down gracefully. It returns the first error of a
// listener, or nil. If the egress listens on an address that is not a loopback address, it serves nothing and
// returns an error that wraps ErrNotLoopback.
func (n *Node) Run(ctx context.Context) error {
	if err := checkLoopback(n.cfg.Egress); err != nil {
		return err
	}
	callers := n.callers.NewServer()
	egress := n.newEgressServer()
	operator := n.newOperatorServer()
	return n.serveUntil(ctx, servers{
		callers: []boundServer{{"callers", callers, n.open.callers.limit(callers, n.cfg.Callers, n.cfg.MaxCallers)}},
		others: []boundServer{
			{"egress", egress, n.open.egress.limit(egress, n.cfg.Egress, maxLocalConnections)},
			{"operator", operator, n.open.operator.limit(operator, n.cfg.Operator, maxLocalConnections)},
		},
		onShutdown: n.callers.DisableKeepAlives,
	})
}

// CustomServers replaces the node's own servers for callers, the backend server and operators.
type CustomServers struct {
	// Callers serves callers' requests. It is the first server that a graceful shutdown stops.
	Callers Server
	// Others are all other servers. They run until the end of the shutdown.
	Others []Server
	// OnShutdown is called at the start of the close notice. From then on each answer must be the last on
	// its connection.
	OnShutdown func()
}

// Server is an HTTP server and its listener.
type Server struct {
	// Name is the log field for the listener's address when the node starts.
	Name     string
	HTTP     *http.Server
	Listener net.Listener
}

// RunWith is like Run but serves custom instead of the node's own servers. It ignores Config.Callers,
// Config.Egress and Config.Operator.
func (n *Node) RunWith(ctx context.Context, custom CustomServers) error {
	all := servers{onShutdown: custom.OnShutdown}
	all.callers = []boundServer{{custom.Callers.Name, custom.Callers.HTTP, n.open.callers.limit(custom.Callers.HTTP, custom.Callers.Listener, n.cfg.MaxCallers)}}
	for _, s := range custom.Others {
		all.others = append(all.others, boundServer{s.Name, s.HTTP, s.Listener})
	}
	return n.serveUntil(ctx, all)
}

// servers are the servers of one run except the link server.
type servers struct {
	callers    []boundServer
	others     []boundServer
	onShutdown func()
}

// boundServer is a server and its listener.
type boundServer struct {
	name     string
	http     *http.Server
	listener net.Listener
}

func (n *Node) serveUntil(ctx context.Context, all servers) error {
	link := n.newLinkServer()
	all.others = append(all.others, boundServer{"link", link, n.open.link.limit(link, n.cfg.Link, maxLinkConnections)})
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

// newLocalServer returns a server for the egress or for operators, with timeouts that keep clients from
// holding connections.
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

// newLinkServer returns the server for links from other nodes.
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
	if n.cfg.Platform != nil {
		n.group.Go(n.departures.run)
	}
	n.group.Go(n.runAdmissionLog)
	n.group.Go(n.quarantine.run)
}

// shutdown stops the node without interrupting requests in progress, unless they outlast Config.DrainTimeout:
//
//  1. It drains the VM: peers are informed, and the guard admits no new requests. With
//     DrainAfterCloseNotice, this step follows the next one.
//  2. It gives callers notice: each answer announces that its connection closes. Connections without a
//     request during the notice are closed afterwards. A request whose body is complete only after the notice
//     is refused if it could outlast the shutdown.
//  3. It waits until the callers' requests and all requests on the backend server have ended. The egress
//     still serves nested calls.
//  4. It hands slots of rates and claims over to other nodes.
//  5. It announces that the VM has left and closes the links.
func (n *Node) shutdown(all servers) {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainTimeout)
	defer cancel()
	n.cfg.Log.Info("graceful shutdown begins")
	n.stopping.Store(true)
	if !n.cfg.DrainAfterCloseNotice {
		n.Drain()
	}
	n.giveCloseNotice(ctx, all.onShutdown)
	cutAt, _ := ctx.Deadline()
	n.cutAt.Store(&cutAt)
	n.Drain()
	for _, s := range all.callers {
		if err := s.http.Shutdown(ctx); err != nil {
			n.cfg.Log.WithError(err).Warn("callers' requests in progress were cut")
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
		// Connections that are still open are idle or have requests beyond the drain timeout.
		_ = s.http.Close()
	}
	n.backend.Close()
	n.cancelRun()
	n.cfg.Log.Info("graceful shutdown ended")
}

// giveCloseNotice keeps serving for CloseNoticeTime while answers announce that their connections close.
func (n *Node) giveCloseNotice(ctx context.Context, onShutdown func()) {
	if n.cfg.NoCloseNotice {
		return
	}
	onShutdown()
	select {
	case <-ctx.Done():
	case <-time.After(n.cfg.CloseNoticeTime):
	}
}
