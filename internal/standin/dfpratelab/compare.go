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
	// Duration is the virtual time of each run; warmUp comes before it.
	Duration time.Duration
	// OfferedFraction is the part of each rate that is offered.
	OfferedFraction float64
	// Patterns and Faults choose what is run; empty means all.
	Patterns []Pattern
	Faults   []Fault
	// Organisations are the rates; empty means those of today's size.
	Organisations []dfpshare.OrganisationRate
	// Zones are the zones; empty means 18 nodes in 4 zones of 2 regions.
	Zones []ZoneSize
	// TickInterval is the time between two Ticks of a node.
	TickInterval time.Duration
	// Limiter is copied to each node.
	Limiter dfpshare.Config
}

// Pattern is how an organisation's requests arrive over the nodes.
type Pattern string

// The patterns.
const (
	Even    Pattern = "even"     // any node
	OneNode Pattern = "one_node" // one node for each organisation
	Moving  Pattern = "moving"   // one zone after the other, for movingTime each
)

// Fault is what goes wrong in a run.
type Fault string

// The faults; each begins faultAt after the warm-up.
const (
	NoFault               Fault = "none"
	PlatformOut           Fault = "platform_out"  // for the whole run
	HomeKilled            Fault = "home_killed"   // the first zone's first node, for good
	ZoneCut               Fault = "zone_cut"      // the first zone, from all else, for cutTime
	PlatformOutHomeKilled Fault = "outage_killed" // both PlatformOut and HomeKilled
)

// Times of a run.
const (
	warmUp     = 15 * time.Second
	movingTime = 10 * time.Second
	faultAt    = 10 * time.Second
	cutTime    = 20 * time.Second
	// ownerFailover is how long the fleet's one owner node stays lost after its death.
	ownerFailover = 10 * time.Second
)

// DefaultZones is today's size: 18 nodes in 4 zones.
func DefaultZones() []ZoneSize {
	return []ZoneSize{
		{"ost-1", "ost", 5}, {"ost-2", "ost", 5}, {"west-1", "west", 4}, {"west-2", "west", 4},
	}
}

// DefaultOrganisations are eight organisations, a few of them large.
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

// Run runs the comparison.
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

// tally counts one scheme's verdicts.
type tally struct {
	name   string
	orgs   map[string]*Organisation
	judges map[string]*TokenBucket // fed with what was granted
}

func newTally(name string, cfg Config, now time.Time) *tally {
	t := &tally{name: name, orgs: make(map[string]*Organisation), judges: make(map[string]*TokenBucket)}
	for _, o := range cfg.Organisations {
		t.orgs[o.Name] = &Organisation{Name: o.Name}
		t.judges[o.Name] = NewTokenBucket(o.RatePerSecond, o.Burst, now)
	}
	return t
}

func (t *tally) count(now time.Time, r Request, granted, counted bool) {
	o := t.orgs[r.Organisation]
	if granted {
		o.OverBound = max(o.OverBound, t.judges[r.Organisation].Charge(now))
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

func (t *tally) scheme(cfg Config) Scheme {
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

// trialRun is one Trial under way.
type trialRun struct {
	cfg     Config
	pattern Pattern
	fault   Fault
	rand    *rand.Rand
	fleet   *Fleet
	zones   []string

	central             map[string]*TokenBucket
	static              map[string]*TokenBucket // by organisation and node
	owner               map[string]*TokenBucket
	ownerLost           time.Time // when the owner node died
	homes, parts, owned *tally

	bytes   int
	bytesOf map[string]int // by sender
	kinds   MessageCounts
	begin   time.Time
	waited  int
	waitSum time.Duration
	waitMax time.Duration
}

func newTrialRun(cfg Config, pattern Pattern, fault Fault) *trialRun {
	t := &trialRun{
		cfg: cfg, pattern: pattern, fault: fault, rand: rand.New(rand.NewPCG(cfg.Seed, 2)),
		bytesOf: make(map[string]int),
		central: make(map[string]*TokenBucket), static: make(map[string]*TokenBucket), owner: make(map[string]*TokenBucket),
	}
	rules := dfpshare.Rules{Version: 1, Organisations: cfg.Organisations}
	for _, p := range cfg.Zones {
		rules.Zones = append(rules.Zones, dfpshare.Zone{Name: p.Zone, Region: p.Region, Weight: 1})
		t.zones = append(t.zones, p.Zone)
	}
	t.fleet = NewFleet(FleetConfig{
		Seed: cfg.Seed, Zones: cfg.Zones, Rules: rules, TickInterval: cfg.TickInterval, Limiter: cfg.Limiter,
		OnResult: t.verdict,
	})
	now := t.fleet.Now()
	t.begin = now.Add(warmUp)
	for _, o := range cfg.Organisations {
		t.central[o.Name] = NewTokenBucket(o.RatePerSecond, o.Burst, now)
		t.owner[o.Name] = NewTokenBucket(o.RatePerSecond, o.Burst, now)
	}
	t.homes = newTally("home_batches", cfg, now)
	t.parts = newTally("static_division", cfg, now)
	t.owned = newTally("one_owner", cfg, now)
	return t
}

func (t *trialRun) run() Trial {
	t.fleet.Run(warmUp - 5*time.Second)
	for _, o := range t.cfg.Organisations {
		t.arrive(o)
	}
	t.fleet.Run(5 * time.Second)
	t.startFault()
	t.fleet.Messages, t.fleet.Reads, t.fleet.Writes = 0, 0, 0
	t.fleet.OnMessage = func(from string, m dfpshare.Message) {
		t.kinds.count(m)
		n := encodedSize(m)
		t.bytes += n
		t.bytesOf[from] += n
	}
	t.fleet.Run(t.cfg.Duration)
	trial := Trial{
		Pattern: t.pattern, Fault: t.fault,
		Schemes:       []Scheme{t.parts.scheme(t.cfg), t.owned.scheme(t.cfg), t.homes.scheme(t.cfg)},
		PlatformCalls: t.fleet.Reads + t.fleet.Writes,
		MessageCounts: t.kinds,
	}
	nodes := float64(len(t.fleet.Nodes))
	trial.MessagesPerNodeSecond = float64(t.fleet.Messages) / nodes / t.cfg.Duration.Seconds()
	trial.BytesPerNodeSecond = float64(t.bytes) / nodes / t.cfg.Duration.Seconds()
	if t.waited > 0 {
		trial.WaitMeanMillis = float64(t.waitSum.Microseconds()) / 1000 / float64(t.waited)
		trial.WaitMaxMillis = float64(t.waitMax.Microseconds()) / 1000
		trial.WaitedFraction = float64(t.waited) / float64(trial.Schemes[2].Arrivals)
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
		t.fleet.After(faultAt, func() {
			t.fleet.Kill(t.fleet.Nodes[0])
			t.ownerLost = t.fleet.Now()
		})
	case ZoneCut:
		t.fleet.After(faultAt, func() { t.cutFirst(true) })
		t.fleet.After(faultAt+cutTime, func() { t.cutFirst(false) })
	}
}

func (t *trialRun) cutFirst(cut bool) {
	for _, z := range append(t.zones[1:len(t.zones):len(t.zones)], PlatformZone) {
		t.fleet.Cut(t.zones[0], z, cut)
	}
}

// arrive offers an organisation's requests, as a Poisson process.
func (t *trialRun) arrive(o dfpshare.OrganisationRate) {
	gap := t.rand.ExpFloat64() / (o.RatePerSecond * t.cfg.OfferedFraction)
	t.fleet.After(time.Duration(gap*float64(time.Second)), func() {
		t.offer(o.Name)
		t.arrive(o)
	})
}

func (t *trialRun) offer(org string) {
	now := t.fleet.Now()
	n := t.choose(org)
	r := Request{Organisation: org, Node: n, Arrived: now, AdmittedByCentral: t.central[org].Admit(now)}
	counted := !now.Before(t.begin)
	t.parts.count(now, r, t.staticAdmits(now, n, org), counted)
	t.owned.count(now, r, t.ownerAdmits(now, n, org), counted)
	t.fleet.Offer(n, r)
}

// verdict hears what the home batches decided.
func (t *trialRun) verdict(now time.Time, r Request, granted bool) {
	counted := !r.Arrived.Before(t.begin)
	t.homes.count(now, r, granted, counted)
	if d := now.Sub(r.Arrived); d > 0 && counted {
		t.waited++
		t.waitSum += d
		t.waitMax = max(t.waitMax, d)
	}
}

// choose returns the node that a request comes to; callers pass dead ones over.
func (t *trialRun) choose(org string) *Node {
	nodes := t.fleet.Nodes
	var i int
	switch t.pattern {
	case OneNode:
		i = int(xxhash.Sum64String(org+"callers") % uint64(len(nodes)))
	case Moving:
		step := int(t.fleet.Now().Sub(t.begin)/movingTime) + int(xxhash.Sum64String(org)%64) + len(t.zones)
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

func (t *trialRun) staticAdmits(now time.Time, n *Node, org string) bool {
	key := fmt.Sprintf("%s\x00%s", org, n.VM.Address)
	j, ok := t.static[key]
	if !ok {
		whole, nodes := t.central[org], float64(len(t.fleet.Nodes))
		j = NewTokenBucket(whole.Rate/nodes, whole.Burst/nodes, now)
		t.static[key] = j
	}
	return j.Admit(now)
}

// ownerAdmits asks the fleet's one owner node, the first, which is never wrong but
// may be dead or cut off. Its successor starts empty, and needs the platform.
func (t *trialRun) ownerAdmits(now time.Time, n *Node, org string) bool {
	owner := t.fleet.Nodes[0]
	if t.fleet.IsCut(n.VM.Zone, owner.VM.Zone) {
		return false
	}
	if owner.Dead {
		failover := t.ownerLost.Add(ownerFailover)
		if t.fleet.PlatformDown || now.Before(failover) {
			return false
		}
		if j := t.owner[org]; j.at.Before(failover) {
			j.level, j.at = 0, failover
		}
	}
	return t.owner[org].Admit(now)
}
