// Package dfptry is the command try: a whole deployment in one process, under
// load from several organisations, judged by what ran.
//
// It brings up a stand-in for the platform, two regions of two availability
// zones each, nodes and backend servers of three services. Orders make a nested call.
// One organisation offers more than its rate, and in the middle third of the run
// everyone offers more than the backend servers can do.
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
func (*Command) Synopsis() string { return "run a whole deployment in one process and judge it" }

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
	// Progress goes to standard error, so that standard output holds the result only.
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
	if err != nil || len(report.Broken) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// Config configures a run.
type Config struct {
	Duration time.Duration
	Seed     uint64
	// Progress takes a line or a table about every second.
	Progress io.Writer
	// Terminal says that Progress is a terminal, on which a table is redrawn in place.
	Terminal bool
}

// Run brings the deployment up, sends the load and judges the run.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	tenants, err := newTenants()
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(cfg.Progress, "starting a platform stand-in, 12 nodes and 12 backend servers in 4 availability zones")
	deployment, err := dfpdeployment.Start(deploymentConfig(cfg, tenants))
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	load := dfpload.New(loadConfig(cfg, tenants, deployment))
	started := time.Now()
	result, err := runWithProgress(ctx, cfg, load)
	if err != nil {
		return nil, err
	}
	broken := dfpaudit.Check(dfpaudit.Evidence{
		Ledgers: deployment.Ledgers(), Result: result, Limits: limitsOf(tenants), Elapsed: time.Since(started),
	})
	return newReport(cfg, result, broken), nil
}

// runWithProgress sends the load and shows meanwhile what has become of it.
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

// tenant is an organisation of the run.
type tenant struct {
	limit dfpaudit.Limit
	key   string
	// offered is in requests a second before the surge.
	offered float64
}

func newTenants() ([]tenant, error) {
	tenants := []tenant{
		{limit: dfpaudit.Limit{Organisation: "waldspiel", Rate: 400, Burst: 800}, offered: 110},
		{limit: dfpaudit.Limit{Organisation: "nordlicht", Rate: 200, Burst: 400}, offered: 55},
		{limit: dfpaudit.Limit{Organisation: "kinderfest", Rate: 40, Burst: 40}, offered: 80},
	}
	for i := range tenants {
		key, err := dfpkey.New(rand.Reader)
		if err != nil {
			return nil, err
		}
		tenants[i].key = key
	}
	return tenants, nil
}

func limitsOf(tenants []tenant) []dfpaudit.Limit {
	limits := make([]dfpaudit.Limit, 0, len(tenants))
	for _, t := range tenants {
		limits = append(limits, t.limit)
	}
	return limits
}

func rulesText(zones []dfpdeployment.Zone, tenants []tenant) []byte {
	var text []byte
	for _, z := range zones {
		text = fmt.Appendf(text, "availability_zone %s region=%s share=1  # try\n", z.Name, z.Region)
	}
	for _, t := range tenants {
		text = fmt.Appendf(text, "organisation %s rate=%g/s burst=%g  # try\n", t.limit.Organisation, t.limit.Rate, t.limit.Burst)
		text = fmt.Appendf(text, "key %s %s  # try\n", t.limit.Organisation, dfpkey.Hash(t.key))
	}
	return append(text, `service catalogue slots=8  # try
service ordering slots=8   # try
service stock slots=8      # try
route GET /catalogue/* service=catalogue importance=low deadline=1s  # browsing is shed first
route POST /order/* service=ordering importance=critical deadline=2s # orders are shed last
`...)
}

func deploymentConfig(cfg Config, tenants []tenant) dfpdeployment.Config {
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
		Rules:       rulesText(zones, tenants),
		Seed:        cfg.Seed,
		ZoneDelay:   time.Millisecond,
		RegionDelay: 20 * time.Millisecond,
		Secrets:     keysOf(tenants),
	}
}

func keysOf(tenants []tenant) []string {
	keys := make([]string, 0, len(tenants))
	for _, t := range tenants {
		keys = append(keys, t.key)
	}
	return keys
}

func loadConfig(cfg Config, tenants []tenant, deployment *dfpdeployment.Deployment) dfpload.Config {
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
	for _, t := range tenants {
		load.Organisations = append(load.Organisations, dfpload.Organisation{
			Name: t.limit.Organisation, Key: t.key, Rate: t.offered,
			Targets: deployment.CallerURLs(""),
			Retry:   dfpload.Retry{Count: 2, Pause: 200 * time.Millisecond, HonourRetryAfter: true},
			Routes: []dfpload.Route{
				{Method: "GET", Path: "/catalogue/1", Importance: dfpcall.Low, Idempotent: true, Weight: 3},
				{Method: "POST", Path: "/order/1", Importance: dfpcall.Critical, Weight: 1},
			},
		})
	}
	return load
}
