// Package dfptry implements the command try. It runs a whole deployment in one process under load from
// several organisations, and checks the promises of dragonflyport against the requests that ran.
//
// The deployment has a platform stand-in, two regions of two zones each, and nodes and backend servers of
// three services. Orders make a nested call. One organisation offers more than its rate, and in the middle
// third of the run all organisations together offer more than the capacity of the backend servers.
//
// # Usage
//
//	commander.Register(&dfptry.Command{}, "running")
package dfptry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"
	"golang.org/x/term"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/standin/dfpaudit"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
	"dragonflyport/internal/standin/dfpload"
)

const (
	defaultSeconds   = 10
	maxSeconds       = 600
	progressInterval = time.Second
	surgeFactor      = 3
)

// Command is the command try.
type Command struct {
	seconds int
	seed    uint64
	json    bool
}

// Name returns the command's name.
func (*Command) Name() string { return "try" }

// Synopsis returns a line about the command.
func (*Command) Synopsis() string {
	return "run a whole deployment in one process and check its promises"
}

// Usage returns the command's help.
func (*Command) Usage() string {
	return `try [--seconds N] [--seed N] [--json]: start a platform stand-in, two regions of two
availability zones, nodes, backend servers and load from several organisations in one
process over loopback; show what is served, shed and refused.

  dragonflyport try --seconds 5 --json

Exit status: 0 done, 1 the run failed or a promise was broken, 2 on wrong usage.
`
}

// SetFlags registers the command's flags.
func (c *Command) SetFlags(fs *flag.FlagSet) {
	fs.IntVar(&c.seconds, "seconds", defaultSeconds, fmt.Sprintf("how long to send load, 1 to %d seconds", maxSeconds))
	fs.Uint64Var(&c.seed, "seed", 1, "seed of the load and of the stand-ins")
	fs.BoolVar(&c.json, "json", false, "print one JSON object on standard output")
}

// Execute runs the deployment.
func (c *Command) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 || c.seconds < 1 || c.seconds > maxSeconds {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	// Progress goes to standard error, so that standard output holds only the result.
	report, err := Run(ctx, Config{
		Duration: time.Duration(c.seconds) * time.Second,
		Seed:     c.seed,
		Progress: os.Stderr,
		Terminal: term.IsTerminal(int(os.Stderr.Fd())),
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "try:", err)
		return subcommands.ExitFailure
	}
	if c.json {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.Print(os.Stdout)
	}
	if err != nil || len(report.Violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// Config configures a run.
type Config struct {
	Duration time.Duration
	Seed     uint64
	// Progress receives a line or a table every second.
	Progress io.Writer
	// Terminal says that Progress is a terminal. On a terminal, a table is redrawn in place.
	Terminal bool
}

// Run starts the deployment, sends the load and checks the promises. Broken promises are in the report; an
// error means that the run itself failed.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	organisations, err := newOrganisations()
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(cfg.Progress, "starting a platform stand-in, 12 nodes and 12 backend servers in 4 availability zones")
	deployment, err := dfpdeployment.Start(deploymentConfig(cfg, organisations))
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	load := dfpload.New(loadConfig(cfg, organisations, deployment))
	started := time.Now()
	result, err := runWithProgress(ctx, cfg, load)
	if err != nil {
		return nil, err
	}
	violations := dfpaudit.Check(dfpaudit.Evidence{
		Ledgers: deployment.Ledgers(), Result: result, Limits: limitsOf(organisations), Elapsed: time.Since(started),
	})
	return newReport(cfg, result, violations), nil
}

// runWithProgress sends the load and shows interim results meanwhile.
func runWithProgress(ctx context.Context, cfg Config, load *dfpload.Load) (*dfpload.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		view := progress{w: cfg.Progress, terminal: cfg.Terminal}
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				view.show(load.Snapshot())
			}
		}
	})
	result, err := load.Run(ctx)
	cancel()
	_ = group.Wait()
	return result, err
}

// organisation is an organisation of the run.
type organisation struct {
	limit dfpaudit.Limit
	key   string
	// offered is the load before the surge, in whole requests per second.
	offered float64
}

func newOrganisations() ([]organisation, error) {
	organisations := []organisation{
		{limit: dfpaudit.Limit{Organisation: "waldspiel", Rate: 400, Burst: 800}, offered: 110},
		{limit: dfpaudit.Limit{Organisation: "nordlicht", Rate: 200, Burst: 400}, offered: 55},
		{limit: dfpaudit.Limit{Organisation: "kinderfest", Rate: 40, Burst: 40}, offered: 80},
	}
	for i := range organisations {
		key, err := dfpkey.New(rand.Reader)
		if err != nil {
			return nil, err
		}
		organisations[i].key = key
	}
	return organisations, nil
}

func limitsOf(organisations []organisation) []dfpaudit.Limit {
	limits := make([]dfpaudit.Limit, 0, len(organisations))
	for _, o := range organisations {
		limits = append(limits, o.limit)
	}
	return limits
}

func rulesText(zones []dfpdeployment.Zone, organisations []organisation) []byte {
	var text []byte
	for _, z := range zones {
		text = fmt.Appendf(text, "availability_zone %s region=%s share=1  # try\n", z.Name, z.Region)
	}
	for _, o := range organisations {
		text = fmt.Appendf(text, "organisation %s rate=%g/s burst=%g  # try\n", o.limit.Organisation, o.limit.Rate, o.limit.Burst)
		text = fmt.Appendf(text, "key %s %s  # try\n", o.limit.Organisation, dfpkey.Hash(o.key))
	}
	return append(text, `service catalogue slots=8  # try
service ordering slots=8   # try
service stock slots=8      # try
route GET /catalogue/* service=catalogue importance=low deadline=1s  # browsing is shed first
route POST /order/* service=ordering importance=critical deadline=2s # orders are shed last
`...)
}

func deploymentConfig(cfg Config, organisations []organisation) dfpdeployment.Config {
	zones := []dfpdeployment.Zone{
		{Name: "ost-1", Region: "ost"}, {Name: "ost-2", Region: "ost"},
		{Name: "west-1", Region: "west"}, {Name: "west-2", Region: "west"},
	}
	backend := func(service string, nested ...dfpbackendserver.NestedCall) dfpdeployment.Service {
		return dfpdeployment.Service{PerZone: 1, Backend: dfpbackendserver.Config{
			Service: service, Slots: 8, QueueLimit: 64, NestedCalls: nested,
			ServiceTime: dfpbackendserver.Distribution{Median: 80 * time.Millisecond, Sigma: 0.3},
		}}
	}
	return dfpdeployment.Config{
		Zones: zones,
		Services: []dfpdeployment.Service{
			backend("catalogue"),
			backend("ordering", dfpbackendserver.NestedCall{PathPrefix: "/order/", Method: "GET", Service: "stock", Path: "/stock/1"}),
			backend("stock"),
		},
		Rules:       rulesText(zones, organisations),
		Seed:        cfg.Seed,
		ZoneDelay:   time.Millisecond,
		RegionDelay: 20 * time.Millisecond,
		Secrets:     keysOf(organisations),
	}
}

func keysOf(organisations []organisation) []string {
	keys := make([]string, 0, len(organisations))
	for _, o := range organisations {
		keys = append(keys, o.key)
	}
	return keys
}

func loadConfig(cfg Config, organisations []organisation, deployment *dfpdeployment.Deployment) dfpload.Config {
	load := dfpload.Config{
		Duration:       cfg.Duration,
		Seed:           cfg.Seed,
		KeepOperations: true,
		Phases: []dfpload.Phase{
			{From: 0, Factor: 1},
			{From: cfg.Duration / 3, Factor: surgeFactor},
			{From: 2 * cfg.Duration / 3, Factor: 1},
		},
	}
	for _, o := range organisations {
		load.Organisations = append(load.Organisations, dfpload.Organisation{
			Name: o.limit.Organisation, Key: o.key, Rate: o.offered,
			Targets: deployment.CallerURLs(""),
			Retry:   dfpload.Retry{MaxRetries: 2, Backoff: 200 * time.Millisecond, HonourRetryAfter: true},
			Routes: []dfpload.Route{
				{Method: "GET", Path: "/catalogue/1", Importance: dfpcall.Low, Idempotent: true, Weight: 3},
				{Method: "POST", Path: "/order/1", Importance: dfpcall.Critical, Weight: 1},
			},
		})
	}
	return load
}
