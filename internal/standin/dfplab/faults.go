package dfplab

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"math"
	mathrand "math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/operator/dfpapply"
	"dragonflyport/internal/standin/dfpaudit"
	"dragonflyport/internal/standin/dfpload"
)

// FaultsConfig configures RunFaults.
type FaultsConfig struct {
	Seed uint64
	// Progress receives a line at each fault; nil discards the lines.
	Progress io.Writer
}

// FaultsReport is the result of RunFaults.
type FaultsReport struct {
	Seed   uint64          `json:"seed"`
	Faults []InjectedFault `json:"faults"`
	// Violations is empty if, by the backend servers' ledgers, every promise was kept.
	Violations []dfpaudit.Violation `json:"broken_promises"`
	Rows       []dfpload.Row        `json:"rows"`
	Figures    []Figure             `json:"figures"`
	// OrdersCompletedBySecond holds, for each second of the load, the percentage of the orders due in it
	// that were completed. It covers only the organisation whose key stays valid.
	OrdersCompletedBySecond []float64 `json:"orders_completed_by_second_percent"`
}

// InjectedFault is one step of the fault sequence. AtSeconds counts from the start of the load.
type InjectedFault struct {
	AtSeconds   float64 `json:"at_seconds"`
	Description string  `json:"what"`
}

// Promises that are checked here and not by package dfpaudit.
const (
	promiseWithdrawn = "a withdrawn key stops working within seconds"
	promiseDrained   = "a backend server that is leaving gets no new work after a few seconds"
	promiseStop      = "a planned stop cuts no request in progress"
)

const (
	// faultPause is the length of most faults that end by themselves; the pause before each fault is half of it.
	faultPause         = 2500 * time.Millisecond
	faultsLoadDuration = 32 * time.Second
	// effectTimeout is the time within which a withdrawn key or a drain must take effect.
	effectTimeout = 2 * time.Second
	// faultsRate is the load of each organisation in whole requests per second.
	faultsRate = 40.0
	// faultsSlots is the number of slots of each backend server.
	faultsSlots  = 50
	withdrawnOrg = "nordlicht"
	keptOrg      = "waldspiel"
)

// faultsRun is the state of a run of faults.
type faultsRun struct {
	cfg        FaultsConfig
	deployment *processDeployment
	rnd        *mathrand.Rand
	keys       map[string]string
	report     *FaultsReport
	started    time.Time
	// victims are all VMs at the start, in random order; each fault uses a fixed index.
	victims []*processVM
	// withdrawnAt is when the rules without the key were accepted, measured from the start of the load.
	withdrawnAt time.Duration
}

// RunFaults starts real processes, sends load, causes faults one after the other and checks the promises
// against the backend servers' ledgers. Broken promises are in the report; an error means that the run
// itself failed.
func RunFaults(ctx context.Context, cfg FaultsConfig) (*FaultsReport, error) {
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	dir, err := os.MkdirTemp("", "dragonflyport-lab")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f := &faultsRun{
		cfg: cfg, rnd: mathrand.New(mathrand.NewPCG(cfg.Seed, 0)), keys: make(map[string]string),
		report: &FaultsReport{Seed: cfg.Seed, Violations: []dfpaudit.Violation{}},
	}
	if err := f.start(ctx, dir); err != nil {
		return nil, err
	}
	defer f.deployment.close()
	if err := f.run(ctx); err != nil {
		return nil, err
	}
	return f.report, nil
}

// start starts the deployment: two zones, each with two backend servers of the service ordering and two
// of the service stock, which every order calls.
func (f *faultsRun) start(ctx context.Context, dir string) error {
	zones := []string{"ost-1", "ost-2"}
	deployment, err := startProcesses(dir, zones)
	if err != nil {
		return err
	}
	f.deployment = deployment
	if err := f.setUp(ctx, zones); err != nil {
		deployment.close()
		return err
	}
	return nil
}

// setUp writes the rules, starts the VMs and waits until each of them serves requests.
func (f *faultsRun) setUp(ctx context.Context, zones []string) error {
	for _, name := range []string{keptOrg, withdrawnOrg} {
		key, err := dfpkey.New(rand.Reader)
		if err != nil {
			return err
		}
		f.keys[name] = key
	}
	if err := f.apply(ctx, 0, f.rulesText(true)); err != nil {
		return err
	}
	for range 2 {
		for _, zone := range zones {
			for _, service := range []string{"ordering", "stock"} {
				if err := f.startVM(zone, service); err != nil {
					return err
				}
			}
		}
	}
	return f.deployment.waitServed(ctx, http.MethodGet, "/stock/1", f.keys[keptOrg])
}

func (f *faultsRun) startVM(zone, service string) error {
	args := []string{"--slots", fmt.Sprint(faultsSlots)}
	if service == "ordering" {
		args = append(args, "--service-time", "150ms", "--sigma", "0.3", "--nested", "/order POST stock /reserve")
	} else {
		args = append(args, "--service-time", "50ms")
	}
	return f.deployment.startVM(zone, service, args...)
}

// rulesText returns the rules, with or without the key of the organisation whose key is withdrawn.
func (f *faultsRun) rulesText(withdrawnKeyValid bool) string {
	var b strings.Builder
	b.WriteString("availability_zone ost-1 region=ost # faults\navailability_zone ost-2 region=ost # faults\n")
	for _, name := range []string{keptOrg, withdrawnOrg} {
		fmt.Fprintf(&b, "organisation %s rate=%g/s burst=%g # faults\n", name, 2*faultsRate, 2*faultsRate)
		if withdrawnKeyValid || name == keptOrg {
			fmt.Fprintf(&b, "key %s %s # faults\n", name, dfpkey.Hash(f.keys[name]))
		}
	}
	fmt.Fprintf(&b, "service ordering slots=%d # faults\nservice stock slots=%d # faults\n", faultsSlots, faultsSlots)
	b.WriteString("route POST /order/* service=ordering importance=critical deadline=4s # faults\n")
	b.WriteString("route GET /stock/* service=stock importance=low idempotent=yes deadline=2s # faults\n")
	return b.String()
}

var errNotAccepted = errors.New("rules were not accepted")

// apply writes rules to the platform as an operator would. It calls the platform directly and not through
// a forwarder.
func (f *faultsRun) apply(ctx context.Context, baseVersion uint64, text string) error {
	client := dfpplatform.New(dfpplatform.Config{URL: f.deployment.platformURL})
	defer client.Close()
	result := dfpapply.Run(ctx, client, dfpconfig.ApplyConfig{Text: []byte(text), BaseVersion: baseVersion, By: "faults"})
	if result.Outcome != dfpconfig.Accepted {
		return fmt.Errorf("%w: %s: %s", errNotAccepted, result.Outcome, result.Reason)
	}
	return nil
}

// run sends the load, causes the faults meanwhile, and checks the promises.
func (f *faultsRun) run(ctx context.Context) error {
	f.victims = slices.Clone(f.deployment.vms)
	f.rnd.Shuffle(len(f.victims), func(i, j int) { f.victims[i], f.victims[j] = f.victims[j], f.victims[i] })
	load := dfpload.New(f.loadConfig())
	group, groupCtx := errgroup.WithContext(ctx)
	var result *dfpload.Result
	f.started = time.Now()
	group.Go(func() (err error) {
		result, err = load.Run(groupCtx)
		return err
	})
	group.Go(func() error { return f.causeFaults(groupCtx) })
	if err := group.Wait(); err != nil {
		return err
	}
	return f.check(result)
}

func (f *faultsRun) loadConfig() dfpload.Config {
	l := dfpload.Config{
		Duration: faultsLoadDuration, Seed: f.cfg.Seed, Timeout: 6 * time.Second, KeepOperations: true, KeepCompleted: true,
	}
	var targets []string
	for _, vm := range f.deployment.vms {
		targets = append(targets, vm.callerURL)
	}
	for _, name := range []string{keptOrg, withdrawnOrg} {
		l.Organisations = append(l.Organisations, dfpload.Organisation{
			Name: name, Key: f.keys[name], Rate: faultsRate, Targets: targets, Zone: "ost-1",
			Retry: dfpload.Retry{MaxRetries: 4, Backoff: 300 * time.Millisecond, HonourRetryAfter: true},
			Routes: []dfpload.Route{
				{Method: "POST", Path: "/order/1", Importance: dfpcall.Critical, Weight: 3},
				{Method: "GET", Path: "/stock/1", Importance: dfpcall.Low, Idempotent: true, Weight: 1},
			},
		})
	}
	return l
}

// recordFault adds a fault to the report and writes it to the progress output.
func (f *faultsRun) recordFault(format string, args ...any) {
	fault := InjectedFault{AtSeconds: time.Since(f.started).Seconds(), Description: fmt.Sprintf(format, args...)}
	f.report.Faults = append(f.report.Faults, fault)
	fmt.Fprintf(f.cfg.Progress, "%5.1f s  %s\n", fault.AtSeconds, fault.Description)
}

func (f *faultsRun) recordViolation(promise, format string, args ...any) {
	f.report.Violations = append(f.report.Violations, dfpaudit.Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

func (f *faultsRun) vmName(vm *processVM) string {
	return fmt.Sprintf("VM %d (%s, %s)", slices.Index(f.deployment.vms, vm), vm.zone, vm.service)
}

// check fills in the report: it compares the answers that callers got with the ledgers.
func (f *faultsRun) check(result *dfpload.Result) error {
	ledgers, err := f.deployment.ledgers()
	if err != nil {
		return err
	}
	var limits []dfpaudit.Limit
	for name := range f.keys {
		limits = append(limits, dfpaudit.Limit{Organisation: name, Rate: 2 * faultsRate, Burst: 2 * faultsRate})
	}
	slices.SortFunc(limits, func(a, b dfpaudit.Limit) int { return strings.Compare(a.Organisation, b.Organisation) })
	f.report.Violations = append(f.report.Violations, dfpaudit.Check(dfpaudit.Evidence{
		Ledgers: ledgers, Result: result, Limits: limits, Elapsed: time.Since(f.started),
	})...)
	f.checkWithdrawal(result)
	f.report.Rows = result.Rows
	view := analysis{result: result}
	for at := time.Duration(0); at < faultsLoadDuration; at += time.Second {
		c := view.sum(window{at, at + time.Second}, func(b dfpload.Bin) bool {
			return b.Organisation == keptOrg && b.Importance == dfpcall.Critical.String()
		})
		f.report.OrdersCompletedBySecond = append(f.report.OrdersCompletedBySecond, math.Round(100*c.completedFraction()))
	}
	sum := result.Sum(nil)
	for _, v := range []dfpload.Verdict{dfpload.VerdictCompleted, dfpload.VerdictNotRun, dfpload.VerdictUnknown, dfpload.VerdictFailed, dfpload.VerdictLost} {
		f.report.Figures = append(f.report.Figures, Figure{Name: "ended_" + string(v), Value: 100 * float64(sum.RequestsByVerdict[v]) / float64(max(1, sum.Offered)), Unit: "% of whole requests"})
	}
	return nil
}

// checkWithdrawal records a violation if requests with the withdrawn key were completed although they fell
// due effectTimeout or more after the withdrawal.
func (f *faultsRun) checkWithdrawal(result *dfpload.Result) {
	late := 0
	for _, b := range result.Bins {
		at := time.Duration(b.Index) * result.BinWidth
		if b.Organisation == withdrawnOrg && at >= f.withdrawnAt+effectTimeout {
			late += b.CompletedOfOffered
		}
	}
	if late > 0 {
		f.recordViolation(promiseWithdrawn, "%d requests that fell due later than %s after the withdrawal were completed", late, effectTimeout)
	}
}

// post sends body to url and returns an error unless the status is 200.
func post(ctx context.Context, url, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: status %d", url, answer.StatusCode)
	}
	return nil
}
