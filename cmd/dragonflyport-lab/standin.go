package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpstore"
)

// drainTime is how long a backend server keeps serving after it has told its node
// that it is leaving.
const drainTime = 2 * time.Second

// platformCommand runs the stand-in for the platform's key-value service.
type platformCommand struct{ listen string }

// Name implements subcommands.Command.
func (*platformCommand) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCommand) Synopsis() string { return "run the platform's key-value service" }

// Usage implements subcommands.Command.
func (*platformCommand) Usage() string {
	return "standin platform [--listen ADDRESS]\n\nRuns the key-value service until it is stopped. Its first line on standard\noutput names the address. GET /counts shows the calls counted; POST /fault, /lapse\nand /silence cause faults.\n\nExample:\n  dragonflyport-lab standin platform --listen 127.0.0.1:7000\n"
}

// SetFlags implements subcommands.Command.
func (c *platformCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port to listen on; port 0 takes a free one")
}

// Execute implements subcommands.Command.
func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listener, err := listen(c.listen)
	if err != nil {
		return exitStatus(err)
	}
	server := &http.Server{Handler: dfpstore.New(dfpstore.Config{}).Handler(), ReadHeaderTimeout: 10 * time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close() // A graceful shutdown would wait for watches, which do not end.
	})
	return exitStatus(group.Wait())
}

// listen opens a listener and prints its address to standard output as a line of JSON.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	fmt.Printf("{\"listening\":%q}\n", listener.Addr().String())
	return listener, nil
}

// backendCommand runs a stand-in backend server.
type backendCommand struct {
	listen string
	cfg    dfpbackendserver.Config
	nested stringList
}

// Name implements subcommands.Command.
func (*backendCommand) Name() string { return "backend" }

// Synopsis implements subcommands.Command.
func (*backendCommand) Synopsis() string { return "run a backend server" }

// Usage implements subcommands.Command.
func (*backendCommand) Usage() string {
	return "standin backend --service NAME --egress URL [flags]\n\nRuns a backend server that announces itself to the node at URL. On SIGTERM it\ntells the node that it is leaving, serves on for 2 s, and ends when its requests\nin progress have ended. GET /ledger shows what it ran; POST /fault sets a fault.\n\nExample:\n  dragonflyport-lab standin backend --service ordering --egress http://127.0.0.1:9002 \\\n    --slots 120 --service-time 20ms --nested \"/order GET catalogue /catalogue/1\"\n"
}

// SetFlags implements subcommands.Command.
func (c *backendCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port to listen on; port 0 takes a free one")
	flags.StringVar(&c.cfg.Service, "service", "", "name of the service")
	flags.StringVar(&c.cfg.EgressURL, "egress", "", "base URL of the node's local listener")
	flags.IntVar(&c.cfg.Slots, "slots", 120, "requests run at once")
	flags.IntVar(&c.cfg.QueueLimit, "queue", 0, "requests that may wait for a slot")
	flags.IntVar(&c.cfg.MaxConnections, "connections", 0, "limit of open connections; 0 for none")
	flags.DurationVar(&c.cfg.ServiceTime.Median, "service-time", 10*time.Millisecond, "median service time")
	flags.Float64Var(&c.cfg.ServiceTime.Sigma, "sigma", 0, "standard deviation of the service time's logarithm")
	flags.DurationVar(&c.cfg.ColdStart, "cold-start", 0, "how long after the start it is slower")
	flags.Float64Var(&c.cfg.ColdFactor, "cold-factor", 5, "how many times slower it is during the cold start")
	flags.IntVar(&c.cfg.PayloadBytes, "payload", 0, "bytes of filling in each answer")
	flags.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of the service times")
	flags.Var(&c.nested, "nested", "nested call as \"PREFIX METHOD SERVICE PATH\"; may be repeated")
}

// errNested is wrapped by the errors of invalid --nested flags.
var errNested = errors.New("--nested must be \"PREFIX METHOD SERVICE PATH\"")

// Execute implements subcommands.Command.
func (c *backendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.cfg.Service == "" || c.cfg.EgressURL == "" || c.cfg.Slots <= 0 {
		return usageError(errors.New("--service, --egress and --slots above 0 are required"))
	}
	for _, text := range c.nested {
		words := strings.Fields(text)
		if len(words) != 4 {
			return usageError(fmt.Errorf("%w, not %q", errNested, text))
		}
		c.cfg.NestedCalls = append(c.cfg.NestedCalls, dfpbackendserver.NestedCall{PathPrefix: words[0], Method: words[1], Service: words[2], Path: words[3]})
	}
	listener, err := listen(c.listen)
	if err != nil {
		return exitStatus(err)
	}
	return exitStatus(runBackend(ctx, dfpbackendserver.New(c.cfg), listener))
}

// runBackend serves until ctx ends. It then tells the node that the backend server is leaving, serves
// for drainTime and shuts down.
func runBackend(ctx context.Context, server *dfpbackendserver.Server, listener net.Listener) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return server.Serve(groupCtx, listener) })
	group.Go(func() error { return server.Announce(ctx, listener.Addr().String()) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
			return nil
		}
		if err := server.Drain(groupCtx); err != nil {
			log.WithError(err).Warn("cannot tell the node that the backend server is leaving")
		}
		select {
		case <-time.After(drainTime):
		case <-groupCtx.Done():
		}
		stop()
		return nil
	})
	return group.Wait()
}
