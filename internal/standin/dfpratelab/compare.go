package dfpratelab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"dragonflyport/internal/zone/dfpshare"
)

// Config configures Run. Zero fields take defaults.
type Config struct {
	Seed uint64
	// Duration is the virtual time that each run measures, after the warm-up.
	Duration time.Duration
	// OfferedFraction is the load of each organisation as a fraction of its rate.
	OfferedFraction float64
	// Patterns and Faults select the combinations to run; empty means all.
	Patterns []Pattern
	Faults   []Fault
	// Organisations are the organisations' rates; empty means DefaultOrganisations.
	Organisations []dfpshare.OrganisationRate
	// Zones are the zones and their sizes; empty means DefaultZones.
	Zones []ZoneSize
	// TickInterval is the time between two calls of a node's Limiter.Tick; 0 means dfpshare.TickInterval.
	TickInterval time.Duration
	// Limiter configures the limiter of each node.
	Limiter dfpshare.Config
}

// Pattern is how an organisation's requests are spread over the nodes.
type Pattern string

// The patterns.
const (
	Even    Pattern = "even"     // each request to a random node
	OneNode Pattern = "one_node" // all requests of an organisation to one node
	Moving  Pattern = "moving"   // all to one zone, another after every moveInterval
)

// Fault is the fault of a run.
type Fault string

// The faults. Each begins faultDelay after the warm-up, except PlatformOut.
const (
	NoFault               Fault = "none"
	PlatformOut           Fault = "platform_out"  // the platform is down from the end of the warm-up on
	HomeKilled            Fault = "home_killed"   // the first node of the first zone is killed and not replaced
	ZoneCut               Fault = "zone_cut"      // the first zone is cut off for cutDuration
	PlatformOutHomeKilled Fault = "outage_killed" // PlatformOut and HomeKilled together
)

// Times of a run.
const (
	warmUp       = 15 * time.Second
	moveInterval = 10 * time.Second
	faultDelay   = 10 * time.Second
	cutDuration  = 20 * time.Second
	// ownerFailover is the time from the death of the owner node, in the scheme with one owner, until its
	// successor takes over.
	ownerFailover = 10 * time.Second
)

// DefaultZones returns the zones of the users' current deployment: 18 nodes in 4 zones of 2 regions.
func DefaultZones() []ZoneSize {
	return []ZoneSize{
		{"ost-1", "ost", 5}, {"ost-2", "ost", 5}, {"west-1", "west", 4}, {"west-2", "west", 4},
	}
}

// DefaultOrganisations returns eight organisations, a few of them large.
func DefaultOrganisations() []dfpshare.OrganisationRate {
	return []dfpshare.OrganisationRate{
		{Name: "waldspiel", RatePerSecond: 120, Burst: 240},
		{Name: "schulverein", RatePerSecond: 60, Burst: 120},
		{Name: "partyplan", RatePerSecond: 40, Burst: 60},
		{Name: "buchladen", RatePerSecond: 20, Burst: 40},
		{Name: "farma-horvat", RatePerSecond: 20, Burst: 20},
		{Name: "ducan", RatePerSecond: 10, Burst: 10},
		{Name: "opg-ivo", RatePerSecond: 5, Burst: 5},
		{Name: "kiosk", RatePerSecond: 2, Burst: 3},
	}
}

func (c Config) withDefaults() Config {
	if c.Duration == 0 {
		c.Duration = time.Minute
	}
	if c.OfferedFraction == 0 {
		c.OfferedFraction = 0.9
	}
	if len(c.Patterns) == 0 {
		c.Patterns = []Pattern{Even, OneNode, Moving}
	}
	if len(c.Faults) == 0 {
		c.Faults = []Fault{NoFault, PlatformOut, HomeKilled, ZoneCut, PlatformOutHomeKilled}
	}
	if len(c.Organisations) == 0 {
		c.Organisations = DefaultOrganisations()
	}
	if len(c.Zones) == 0 {
		c.Zones = DefaultZones()
	}
	return c
}

// Run runs the comparison for each combination of a fault and a pattern.
func Run(cfg Config) Report {
	cfg = cfg.withDefaults()
	report := Report{Seed: cfg.Seed, DurationSeconds: cfg.Duration.Seconds(), OfferedFraction: cfg.OfferedFraction}
	for _, fault := range cfg.Faults {
		for _, pattern := range cfg.Patterns {
			trial := newTrialRun(cfg, pattern, fault).run()
			for _, s := range trial.Schemes {
				report.BoundExceeded = report.BoundExceeded || s.OverBound > 1e-6
			}
			report.Runs = append(report.Runs, trial)
		}
	}
	return report
}

// tally counts the results of one scheme by organisation.
type tally struct {
	name           string
	orgs           map[string]*Organisation
	grantedBuckets map[string]*TokenBucket // charged with every granted request
}

func newTally(name string, cfg Config, now time.Time) *tally {
	t := &tally{name: name, orgs: make(map[string]*Organisation), grantedBuckets: make(map[string]*TokenBucket)}
	for _, o := range cfg.Organisations {
		t.orgs[o.Name] = &Organisation{Name: o.Name}
		t.grantedBuckets[o.Name] = NewTokenBucket(o.RatePerSecond, o.Burst, now)
	}
	return t
}

// count adds one result. Requests of the warm-up are not counted but are charged if granted, as they use up
// the bound.
func (t *tally) count(now time.Time, r Request, granted, counted bool) {
	o := t.orgs[r.Organisation]
	if granted {
		o.OverBound = max(o.OverBound, t.grantedBuckets[r.Organisation].Charge(now))
	}
	if !counted {
		return
	}
	o.Arrivals++
	switch {
	case granted:
		o.Granted++
	case r.AdmittedByCentral:
		o.WronglyRefused++
	}
	if r.AdmittedByCentral {
		o.AdmittedByCentral++
	}
}

// result returns the scheme's figures.
func (t *tally) result(cfg Config) Scheme {
	s := Scheme{Name: t.name}
	central, wrongful := 0, 0
	for _, rate := range cfg.Organisations {
		o := *t.orgs[rate.Name]
		if o.AdmittedByCentral > 0 {
			o.WronglyRefusedFraction = float64(o.WronglyRefused) / float64(o.AdmittedByCentral)
		}
		o.Shortfall = o.AdmittedByCentral - o.Granted
		s.Arrivals += o.Arrivals
		s.Granted += o.Granted
		central += o.AdmittedByCentral
		wrongful += o.WronglyRefused
		s.OverBound = max(s.OverBound, o.OverBound)
		s.Organisations = append(s.Organisations, o)
	}
	if central > 0 {
		s.WronglyRefusedFraction = float64(wrongful) / float64(central)
	}
	return s
}

// trialRun is the state of one Trial while it runs.
type trialRun struct {
	cfg     Config
	pattern Pattern
	fault   Fault
	rand    *rand.Rand
	fleet   *Fleet
	zones   []string

	centralBuckets                     map[string]*TokenBucket // by organisation
	staticBuckets                      map[string]*TokenBucket // by organisation and node
	ownerBuckets                       map[string]*TokenBucket // by organisation
	ownerLostAt                        time.Time               // when the owner node died
	homeTally, staticTally, ownerTally *tally

	bytes         int
	bytesBySender map[string]int
	messageCounts MessageCounts
	begin         time.Time
	waitedCount   int
	totalWait     time.Duration
	maxWait       time.Duration
}

func newTrialRun(cfg Config, pattern Pattern, fault Fault) *trialRun {
	t := &trialRun{
		cfg: cfg, pattern: pattern, fault: fault, rand: rand.New(rand.NewPCG(cfg.Seed, 2)),
		bytesBySender:  make(map[string]int),
		centralBuckets: make(map[string]*TokenBucket), staticBuckets: make(map[string]*TokenBucket), ownerBuckets: make(map[string]*TokenBucket),
	}
	rules := dfpshare.Rules{Version: 1, Organisations: cfg.Organisations}
	for _, z := range cfg.Zones {
		rules.Zones = append(rules.Zones, dfpshare.Zone{Name: z.Zone, Region: z.Region, Weight: 1})
		t.zones = append(t.zones, z.Zone)
	}
	t.fleet = NewFleet(FleetConfig{
		Seed: cfg.Seed, Zones: cfg.Zones, Rules: rules, TickInterval: cfg.TickInterval, Limiter: cfg.Limiter,
		OnResult: t.onResult,
	})
	now := t.fleet.Now()
	t.begin = now.Add(warmUp)
	for _, o := range cfg.Organisations {
		t.centralBuckets[o.Name] = NewTokenBucket(o.RatePerSecond, o.Burst, now)
		t.ownerBuckets[o.Name] = NewTokenBucket(o.RatePerSecond, o.Burst, now)
	}
	t.homeTally = newTally("home_batches", cfg, now)
	t.staticTally = newTally("static_division", cfg, now)
	t.ownerTally = newTally("one_owner", cfg, now)
	return t
}

// run runs the warm-up, the last 5 s of it with load, and then the measured time.
func (t *trialRun) run() Trial {
	t.fleet.Run(warmUp - 5*time.Second)
	for _, o := range t.cfg.Organisations {
		t.scheduleArrival(o)
	}
	t.fleet.Run(5 * time.Second)
	t.startFault()
	t.fleet.Messages, t.fleet.Reads, t.fleet.Writes = 0, 0, 0
	t.fleet.OnMessage = func(from string, m dfpshare.Message) {
		t.messageCounts.count(m)
		n := encodedSize(m)
		t.bytes += n
		t.bytesBySender[from] += n
	}
	t.fleet.Run(t.cfg.Duration)
	trial := Trial{
		Pattern: t.pattern, Fault: t.fault,
		Schemes:       []Scheme{t.staticTally.result(t.cfg), t.ownerTally.result(t.cfg), t.homeTally.result(t.cfg)},
		PlatformCalls: t.fleet.Reads + t.fleet.Writes,
		MessageCounts: t.messageCounts,
	}
	nodes := float64(len(t.fleet.Nodes))
	trial.MessagesPerNodeSecond = float64(t.fleet.Messages) / nodes / t.cfg.Duration.Seconds()
	trial.BytesPerNodeSecond = float64(t.bytes) / nodes / t.cfg.Duration.Seconds()
	if t.waitedCount > 0 {
		trial.WaitMeanMillis = float64(t.totalWait.Microseconds()) / 1000 / float64(t.waitedCount)
		trial.WaitMaxMillis = float64(t.maxWait.Microseconds()) / 1000
		trial.WaitedFraction = float64(t.waitedCount) / float64(trial.Schemes[2].Arrivals)
	}
	return trial
}

func encodedSize(m dfpshare.Message) int {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Plain structs always encode.
	}
	return len(b)
}

func (t *trialRun) startFault() {
	if t.fault == PlatformOut || t.fault == PlatformOutHomeKilled {
		t.fleet.PlatformDown = true
	}
	switch t.fault {
	case HomeKilled, PlatformOutHomeKilled:
		t.fleet.After(faultDelay, func() {
			t.fleet.Kill(t.fleet.Nodes[0])
			t.ownerLostAt = t.fleet.Now()
		})
	case ZoneCut:
		t.fleet.After(faultDelay, func() { t.cutFirstZone(true) })
		t.fleet.After(faultDelay+cutDuration, func() { t.cutFirstZone(false) })
	}
}

// cutFirstZone cuts the first zone off from the others and the platform, or ends the cut.
func (t *trialRun) cutFirstZone(cut bool) {
	for _, z := range append(t.zones[1:len(t.zones):len(t.zones)], PlatformZone) {
		t.fleet.Cut(t.zones[0], z, cut)
	}
}

// scheduleArrival schedules an organisation's next request, which schedules the one after it. The requests
// are a Poisson process.
func (t *trialRun) scheduleArrival(o dfpshare.OrganisationRate) {
	gap := t.rand.ExpFloat64() / (o.RatePerSecond * t.cfg.OfferedFraction)
	t.fleet.After(time.Duration(gap*float64(time.Second)), func() {
		t.offer(o.Name)
		t.scheduleArrival(o)
	})
}

// offer submits one request to all schemes.
func (t *trialRun) offer(org string) {
	now := t.fleet.Now()
	n := t.chooseNode(org)
	r := Request{Organisation: org, Node: n, Arrived: now, AdmittedByCentral: t.centralBuckets[org].Admit(now)}
	counted := !now.Before(t.begin)
	t.staticTally.count(now, r, t.staticAdmits(now, n, org), counted)
	t.ownerTally.count(now, r, t.ownerAdmits(now, n, org), counted)
	t.fleet.Offer(n, r)
}

// onResult counts a result of the home batches scheme.
func (t *trialRun) onResult(now time.Time, r Request, granted bool) {
	counted := !r.Arrived.Before(t.begin)
	t.homeTally.count(now, r, granted, counted)
	if d := now.Sub(r.Arrived); d > 0 && counted {
		t.waitedCount++
		t.totalWait += d
		t.maxWait = max(t.maxWait, d)
	}
}

// chooseNode returns the node that a request is sent to. If the pattern selects an unavailable node, it
// returns the next available one.
func (t *trialRun) chooseNode(org string) *Node {
	nodes := t.fleet.Nodes
	var i int
	switch t.pattern {
	case OneNode:
		i = int(xxhash.Sum64String(org+"callers") % uint64(len(nodes)))
	case Moving:
		step := int(t.fleet.Now().Sub(t.begin)/moveInterval) + int(xxhash.Sum64String(org)%64) + len(t.zones)
		zone := t.zones[step%len(t.zones)]
		for i = t.rand.IntN(len(nodes)); nodes[i].VM.Zone != zone || !nodes[i].Available(); {
			i = t.rand.IntN(len(nodes))
		}
	default:
		i = t.rand.IntN(len(nodes))
	}
	for !nodes[i].Available() {
		i = (i + 1) % len(nodes)
	}
	return nodes[i]
}

// staticAdmits decides on a request under static division.
func (t *trialRun) staticAdmits(now time.Time, n *Node, org string) bool {
	key := fmt.Sprintf("%s\x00%s", org, n.VM.Address)
	bucket, ok := t.staticBuckets[key]
	if !ok {
		central, nodes := t.centralBuckets[org], float64(len(t.fleet.Nodes))
		bucket = NewTokenBucket(central.Rate/nodes, central.Burst/nodes, now)
		t.staticBuckets[key] = bucket
	}
	return bucket.Admit(now)
}

// ownerAdmits decides on a request in the scheme with one owner, the fleet's first node. The owner decides
// exactly, but refuses every request while it is dead or cut off from the request's zone. Its successor
// needs the platform to take over, and starts with empty buckets.
func (t *trialRun) ownerAdmits(now time.Time, n *Node, org string) bool {
	owner := t.fleet.Nodes[0]
	if t.fleet.IsCut(n.VM.Zone, owner.VM.Zone) {
		return false
	}
	if owner.Dead {
		failover := t.ownerLostAt.Add(ownerFailover)
		if t.fleet.PlatformDown || now.Before(failover) {
			return false
		}
		if bucket := t.ownerBuckets[org]; bucket.refilledAt.Before(failover) {
			bucket.tokens, bucket.refilledAt = 0, failover
		}
	}
	return t.ownerBuckets[org].Admit(now)
}
