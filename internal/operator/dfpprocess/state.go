package dfpprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"dragonflyport/internal/proto/dfpoperatorpb"
	"dragonflyport/internal/vm/dfpnode"
)

const operatorTimeout = 5 * time.Second

func newOperatorClient(address string) dfpoperatorpb.OperatorServiceClient {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return dfpoperatorpb.NewOperatorServiceClient(&http.Client{Timeout: operatorTimeout}, address)
}

// StateCommand is the command state, which prints a dump of a running node's state.
type StateCommand struct {
	address string
	json    bool
}

// Name implements subcommands.Command.
func (*StateCommand) Name() string { return "state" }

// Synopsis implements subcommands.Command.
func (*StateCommand) Synopsis() string { return "print the state of a running node" }

// Usage implements subcommands.Command.
func (*StateCommand) Usage() string {
	return `state [--address HOST:PORT] [--json]: print a dump of a running node's state,
without secrets.

  dragonflyport state --address 10.0.3.7:9003

Exit status: 0 done, 1 if the node cannot be reached, 2 on wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (c *StateCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.address, "address", "127.0.0.1:9003", "the node's operator address")
	fs.BoolVar(&c.json, "json", false, "print one JSON object")
}

// Execute prints the dump.
func (c *StateCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	resp, err := newOperatorClient(c.address).State(ctx, connect.NewRequest(&dfpoperatorpb.StateRequest{}))
	if err != nil {
		fmt.Fprintf(os.Stderr, "state of %s: %v\n", c.address, err)
		return exitFailed
	}
	if err := c.print(os.Stdout, resp.Msg.GetStateJson()); err != nil {
		fmt.Fprintf(os.Stderr, "state of %s: %v\n", c.address, err)
		return exitFailed
	}
	return subcommands.ExitSuccess
}

func (c *StateCommand) print(w io.Writer, dump []byte) error {
	if c.json {
		var indented bytes.Buffer
		if err := json.Indent(&indented, dump, "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(w, indented.String())
		return err
	}
	var state dfpnode.State
	if err := json.Unmarshal(dump, &state); err != nil {
		return err
	}
	return printState(w, &state)
}

// printState prints the parts of a dump that an operator needs most often, as a table.
func printState(w io.Writer, state *dfpnode.State) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "vm\t%s\tzone %s, region %s\n", state.VM.Address, state.VM.Zone, state.VM.Region)
	fmt.Fprintf(tw, "rules\tversion %d\t\n", state.RulesVersion)
	fmt.Fprintf(tw, "backend server\t%s\tservice %s, %d slots\n", state.Backend.Address, state.Backend.Service, state.Backend.Slots)
	fmt.Fprintf(tw, "load\t%d running, %d waiting\tlimit %d, admits from %s on\n",
		state.Load.InFlight, state.Load.Queued, state.Load.Limit, state.Load.AdmitImportance)
	fmt.Fprintf(tw, "draining\t%t\tstopping %t\n", state.VM.Draining, state.Stopping)
	for _, member := range state.Roster {
		fmt.Fprintf(tw, "member\t%s\t%s %s %s\n", member.VM.Address, member.VM.Zone, member.VM.Service, member.State)
	}
	var metrics map[string]any
	if err := json.Unmarshal(state.Metrics, &metrics); err != nil {
		return err
	}
	printMetrics(tw, "", metrics)
	return tw.Flush()
}

// printMetrics prints each metric with its path of names, sorted by name. Maps without metrics are
// omitted.
func printMetrics(w io.Writer, path string, metrics map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(metrics)) {
		if nested, ok := metrics[name].(map[string]any); ok {
			printMetrics(w, path+name+".", nested)
			continue
		}
		fmt.Fprintf(w, "metric\t%s%s\t%v\n", path, name, metrics[name])
	}
}

// DrainCommand is the command drain, which takes the backend server of a node's VM out of service.
type DrainCommand struct{ address string }

// Name implements subcommands.Command.
func (*DrainCommand) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*DrainCommand) Synopsis() string { return "take a VM's backend server out of service" }

// Usage implements subcommands.Command.
func (*DrainCommand) Usage() string {
	return `drain [--address HOST:PORT]: take the backend server of a node's VM out of
service: it gets no new requests, and running ones continue. It lasts until the node is
restarted; a drain rule in the rules file lasts until the rule is removed.

  dragonflyport drain --address 10.0.3.7:9003

Exit status: 0 done, 1 if the node cannot be reached, 2 on wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (c *DrainCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.address, "address", "127.0.0.1:9003", "the node's operator address")
}

// Execute sends a drain request to the node.
func (c *DrainCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitUsage
	}
	if _, err := newOperatorClient(c.address).Drain(ctx, connect.NewRequest(&dfpoperatorpb.DrainRequest{})); err != nil {
		fmt.Fprintf(os.Stderr, "drain of %s: %v\n", c.address, err)
		return exitFailed
	}
	fmt.Println("draining")
	return subcommands.ExitSuccess
}
