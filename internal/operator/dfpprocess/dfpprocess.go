// Package dfpprocess implements the commands that run a node, query or drain a running one, and print the
// program's version: node, state, drain and version.
//
// # Usage
//
//	commander.Register(&dfpprocess.NodeCommand{}, "running")
//	commander.Register(&dfpprocess.StateCommand{}, "operating")
package dfpprocess

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/subcommands"

	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/vm/dfpnode"
	"dragonflyport/internal/vm/dfpsettings"
	"dragonflyport/internal/vm/dfpvm"
)

// Exit statuses besides subcommands.ExitSuccess, which is 0.
const (
	exitFailed = subcommands.ExitFailure
	exitUsage  = subcommands.ExitUsageError
)

// NodeCommand is the command node, which runs a node.
type NodeCommand struct{ settings *dfpsettings.Settings }

// Name implements subcommands.Command.
func (*NodeCommand) Name() string { return "node" }

// Synopsis implements subcommands.Command.
func (*NodeCommand) Synopsis() string { return "run the node of this VM" }

// Usage implements subcommands.Command.
func (*NodeCommand) Usage() string {
	return `node [flags]: run the node of this backend server VM until SIGTERM or SIGINT,
then shut down gracefully. Each flag can also be set by a variable DRAGONFLYPORT_NAME.

  DRAGONFLYPORT_SECRET=... dragonflyport node --zone ost-1 --region ost \
    --link-address 10.0.3.7:9000 --platform-url http://10.0.0.2:7000

Exit status: 0 after a graceful shutdown, 1 on failure, 2 on wrong usage.
`
}

// SetFlags registers the settings.
func (c *NodeCommand) SetFlags(fs *flag.FlagSet) { c.settings = dfpsettings.Register(fs) }

// Execute runs the node.
func (c *NodeCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "node takes no arguments, only flags: %q\n", fs.Args())
		return exitUsage
	}
	if err := c.settings.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	logger := NewLogger(json.New(os.Stderr), c.settings.LogLevel)
	cfg, err := nodeConfig(c.settings, logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	TuneGC(defaultMemoryBytes)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := dfpnode.New(cfg).Run(ctx); err != nil {
		logger.WithError(err).Error("node failed")
		return exitFailed
	}
	return subcommands.ExitSuccess
}

const (
	// gcPercent is the growth of the heap between two garbage collections, in percent of the live heap.
	// A node's live heap is one or two megabytes, and memory costs more than the collections;
	// docs/measures-platform.md compares both at 30, 100 and 400.
	gcPercent = 30
	// defaultMemoryBytes is the memory that a node may use with default settings.
	defaultMemoryBytes = 64 << 20
)

// memoryLimitFraction is the fraction of a process's memory at which the garbage collector starts to run
// more often than gcPercent requires.
const memoryLimitFraction = 0.7

// TuneGC sets the garbage collector for short pauses in a process that may use the given number of bytes.
// The environment variables GOGC and GOMEMLIMIT take precedence.
func TuneGC(memory int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory)))
	}
}

// NewLogger returns a logger that passes lines of the given level and above to handler. If there is no
// level of that name, it is info.
func NewLogger(handler log.Handler, level string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return &log.Logger{Handler: handler, Level: parsed}
}

// nodeConfig opens the listeners and returns the node's configuration according to the settings.
func nodeConfig(settings *dfpsettings.Settings, logger log.Interface) (dfpnode.Config, error) {
	cfg := dfpnode.Config{
		Secret:       []byte(settings.Secret),
		Seeds:        settings.Seeds,
		Log:          logger,
		DrainTimeout: settings.DrainTimeout,
		MaxCallers:   settings.MaxCallers,
		MaxRequests:  settings.MaxRequests,
		StaleAfter:   settings.StaleAfter,
	}
	for _, l := range []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{"link-address", settings.LinkAddress, &cfg.Link},
		{"caller-address", settings.CallerAddress, &cfg.Callers},
		{"egress-address", settings.EgressAddress, &cfg.Egress},
		{"operator-address", settings.OperatorAddress, &cfg.Operator},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return dfpnode.Config{}, fmt.Errorf("%s: %w", l.name, err)
		}
		*l.listener = listener
	}
	address := settings.LinkAdvertise
	if address == "" {
		address = cfg.Link.Addr().String()
	}
	cfg.VM = dfpvm.VM{Address: address, Zone: settings.Zone, Region: settings.Region}
	if settings.PlatformURL != "" {
		cfg.Platform = dfpplatform.New(dfpplatform.Config{URL: settings.PlatformURL})
	}
	return cfg, nil
}

// VersionCommand is the command version, which prints the program's version.
type VersionCommand struct{}

// Name implements subcommands.Command.
func (*VersionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*VersionCommand) Synopsis() string { return "print the program's version" }

// Usage implements subcommands.Command.
func (*VersionCommand) Usage() string {
	return "version: print the module's version, the revision and Go's version.\n"
}

// SetFlags implements subcommands.Command.
func (*VersionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the version.
func (*VersionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(os.Stderr, "the program contains no build information")
		return exitFailed
	}
	revision := "unknown"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	fmt.Printf("dragonflyport %s revision %s %s\n", info.Main.Version, revision, info.GoVersion)
	return subcommands.ExitSuccess
}
