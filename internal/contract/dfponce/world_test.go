package dfponce_test

import (
	"fmt"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// chooser returns a number from 0 to n-1.
type chooser func(n int) int

// process is the ClaimManager of one node. A process that is not alive does nothing.
type process struct {
	member dfponce.Member
	zone   string
	claims *dfponce.ClaimManager
	alive  bool
	// copied holds the slots that it has reported as copied since its last plan.
	copied []dfponce.CopiedSlot
}

// delivery is a message in flight.
type delivery struct {
	from, to string
	message  dfponce.Message
}

// execution is a request that was decided Run and has not ended.
type execution struct {
	entry *process
	id    dfpcall.RequestID
	key   string
}

// simulation runs the ClaimManagers of several nodes in zone z and one in zone y, with a simulated
// network, slot table store and clock.
type simulation struct {
	choose       chooser
	config       dfponce.Config
	timedKeys    bool
	now          time.Time
	processes    []*process
	inFlight     []delivery
	tables       []dfponce.SlotTable
	running      []execution
	cutLinks     map[[2]string]bool
	keys         []string
	executions   map[string]int
	keyOfAttempt map[uint64]string
	attempts     uint64
	// faultLevel, from 0 to 3, is how often processes crash or are wrongly reported as dead.
	faultLevel  int
	deadMembers []dfponce.Member

	violation                               string
	runs, refused, repeats, unknown, resets int
}

func newSimulation(choose chooser, config dfponce.Config, timedKeys bool) *simulation {
	sim := &simulation{
		choose: choose, config: config, timedKeys: timedKeys,
		now:        time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		executions: make(map[string]int), keyOfAttempt: make(map[uint64]string), cutLinks: make(map[[2]string]bool),
	}
	sim.faultLevel = choose(4)
	n := 2 + choose(5)
	for i := range n {
		sim.processes = append(sim.processes, sim.process(fmt.Sprintf("z%d", i), "z"))
	}
	sim.processes = append(sim.processes, sim.process("y0", "y"))
	for i := range 3 {
		sim.keys = append(sim.keys, sim.newKey(i))
	}
	return sim
}

func (sim *simulation) process(address, zone string) *process {
	sim.attempts++
	member := dfponce.Member{Address: address, Incarnation: sim.attempts}
	config := sim.config
	config.Self, config.Zone = member, zone
	return &process{member: member, zone: zone, claims: dfponce.NewClaimManager(sim.now, config), alive: true}
}

func (sim *simulation) newKey(i int) string {
	if !sim.timedKeys {
		sim.attempts++
		return fmt.Sprintf("z.key-%d-%d", i, sim.attempts)
	}
	ms := fmt.Sprintf("%012x", sim.now.UnixMilli())
	sim.attempts++
	return fmt.Sprintf("z.%s-%s-7000-8000-%012x", ms[:8], ms[8:], sim.attempts)
}

// step takes one random step.
func (sim *simulation) step() {
	p := sim.processes[sim.choose(len(sim.processes))]
	switch n := sim.choose(100); {
	case n < 46:
		for range 1 + sim.choose(6) {
			sim.deliver()
		}
	case n < 52:
		sim.begin(p)
	case n < 62:
		sim.finishExecution()
	case n < 72:
		if p.alive {
			sim.apply(p, p.claims.Tick(sim.now))
		}
	case n < 79:
		sim.plan(p)
	case n < 87:
		sim.readTable(p)
	case n < 90:
		sim.advanceTime()
	case n < 92:
		sim.crash(p)
	case n < 95:
		sim.restart()
	case n < 97:
		sim.cutOrRestoreLinks()
	case n < 98:
		sim.keys[sim.choose(len(sim.keys))] = sim.newKey(0)
	default:
		sim.loseMessage()
	}
}

func (sim *simulation) deliver() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.choose(min(len(sim.inFlight), 1+sim.choose(12)))
	m := sim.inFlight[i]
	if sim.choose(10) > 0 { // Otherwise it will be delivered again.
		sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	}
	if sim.cutLinks[[2]string{m.from, m.to}] {
		return
	}
	for _, p := range sim.processes {
		if p.alive && p.member.Address == m.to {
			sim.apply(p, p.claims.Handle(sim.now, m.from, m.message))
		}
	}
}

func (sim *simulation) loseMessage() {
	if len(sim.inFlight) > 0 {
		i := sim.choose(len(sim.inFlight))
		sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	}
}

func (sim *simulation) begin(p *process) {
	if !p.alive {
		return
	}
	sim.attempts++
	key := sim.keys[sim.choose(len(sim.keys))]
	id := dfpcall.RequestID{Incarnation: p.member.Incarnation, Counter: sim.attempts}
	sim.apply(p, p.claims.Begin(sim.now, dfponce.ClaimRequest{
		Organisation: "waldspiel", Key: key, Attempt: id, Zone: "z",
		Contact: fmt.Sprintf("z%d", sim.choose(2)),
	}), key)
}

// apply carries out effects. key is the key of an attempt that has just begun.
func (sim *simulation) apply(p *process, effects dfponce.Effects, key ...string) {
	for _, s := range effects.Sends {
		sim.inFlight = append(sim.inFlight, delivery{p.member.Address, s.To, s.Message})
	}
	p.copied = append(p.copied, effects.Copied...)
	for _, k := range key {
		sim.keyOfAttempt[sim.attempts] = k
	}
	for _, d := range effects.Decisions {
		switch d.Outcome.(type) {
		case nil:
			sim.runs++
			sim.running = append(sim.running, execution{p, d.Attempt, sim.keyOfAttempt[d.Attempt.Counter]})
		case *dfpcall.Answer:
			sim.repeats++
		case *dfpcall.NotRun:
			sim.refused++
		case *dfpcall.Unknown:
			sim.unknown++
		}
	}
}

// finishExecution ends a running request. Its entry node may have crashed in the meantime.
func (sim *simulation) finishExecution() {
	if len(sim.running) == 0 {
		return
	}
	i := sim.choose(len(sim.running))
	e := sim.running[i]
	sim.running = append(sim.running[:i], sim.running[i+1:]...)
	var outcome dfpcall.Outcome = &dfpcall.Answer{Status: 200}
	ran := true
	switch sim.choose(5) {
	case 0:
		outcome, ran = &dfpcall.NotRun{}, false
	case 1:
		outcome = &dfpcall.Unknown{}
	}
	if ran {
		sim.executions[e.key]++
		if sim.executions[e.key] > 1 {
			sim.violation = fmt.Sprintf("key %s ran twice, now for attempt %v", e.key, e.id)
		}
	}
	if e.entry.alive {
		sim.apply(e.entry, e.entry.claims.Finish(sim.now, e.id, outcome))
	}
}

// plan makes a process compute the next table from its own, possibly wrong, view and store it.
func (sim *simulation) plan(p *process) {
	if !p.alive || p.zone != "z" {
		return
	}
	var prev dfponce.SlotTable
	if len(sim.tables) > 0 {
		prev = sim.tables[len(sim.tables)-1]
		sim.apply(p, p.claims.SetSlotTable(sim.now, prev))
	}
	plan := dfponce.PlanInput{Zone: "z", Slots: 2, Self: p.member, Now: sim.now.UnixMilli(), Copied: p.copied}
	for _, q := range sim.processes {
		if q.zone != "z" {
			continue
		}
		c := dfponce.Candidate{Member: q.member, Alive: q.alive, Draining: sim.choose(12) == 0}
		if sim.choose(24) < sim.faultLevel {
			c.Alive = !c.Alive && sim.choose(3) == 0
		}
		c.Terminated = !q.alive && sim.choose(2) == 0
		plan.Candidates = append(plan.Candidates, c)
	}
	for _, m := range sim.deadMembers {
		plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: m, Terminated: sim.choose(2) == 0})
	}
	next, changed := dfponce.NextSlotTable(prev, plan)
	if !changed {
		return
	}
	p.copied = nil
	for i, s := range next.Slots {
		if len(prev.Slots) > 0 && s.ResetEpoch != prev.Slots[i].ResetEpoch {
			sim.resets++
		}
	}
	sim.tables = append(sim.tables, next)
}

// readTable gives a process the latest table or an old one.
func (sim *simulation) readTable(p *process) {
	if !p.alive || len(sim.tables) == 0 {
		return
	}
	i := len(sim.tables) - 1
	if sim.choose(4) == 0 {
		i = sim.choose(len(sim.tables))
	}
	sim.apply(p, p.claims.SetSlotTable(sim.now, sim.tables[i]))
}

func (sim *simulation) advanceTime() {
	limit := 400
	if sim.timedKeys && sim.choose(8) == 0 {
		limit = 60_000
	}
	sim.now = sim.now.Add(time.Duration(sim.choose(limit)) * time.Millisecond)
}

func (sim *simulation) crash(p *process) {
	if sim.choose(8) < sim.faultLevel {
		p.alive = false
	}
}

// restart replaces a dead process by a new one with the same address.
func (sim *simulation) restart() {
	for i, p := range sim.processes {
		if !p.alive {
			sim.deadMembers = append(sim.deadMembers, p.member)
			sim.processes[i] = sim.process(p.member.Address, p.zone)
			return
		}
	}
}

func (sim *simulation) cutOrRestoreLinks() {
	if sim.choose(2) == 0 {
		sim.cutLinks = make(map[[2]string]bool)
		return
	}
	a, b := sim.processes[sim.choose(len(sim.processes))].member.Address, sim.processes[sim.choose(len(sim.processes))].member.Address
	sim.cutLinks[[2]string{a, b}] = true
	if sim.choose(2) == 0 {
		sim.cutLinks[[2]string{b, a}] = true
	}
}
