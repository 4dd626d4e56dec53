package dfponce_test

import (
	"fmt"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// chooser draws numbers from 0 to n-1.
type chooser func(n int) int

// process is one node's Claims; a dead one takes no part any more.
type process struct {
	member dfponce.Member
	zone   string
	claims *dfponce.ClaimManager
	alive  bool
	// copied is what it reported since the last plan.
	copied []dfponce.CopiedSlot
}

type letter struct {
	from, to string
	message  dfponce.Message
}

// execution is a request that was decided Run and has not ended.
type execution struct {
	entry *process
	id    dfpcall.RequestID
	key   string
}

// world is a fake of the message channel, the platform's table and time around
// the Claims of several nodes in zone z and one in zone y.
type world struct {
	choose   chooser
	config   dfponce.Config
	timed    bool
	now      time.Time
	procs    []*process
	mail     []letter
	tables   []dfponce.SlotTable
	running  []execution
	cut      map[[2]string]bool
	keys     []string
	executed map[string]int
	keyOf    map[uint64]string
	attempts uint64
	// harsh is how often processes die and are misjudged, of 4.
	harsh int
	dead  []dfponce.Member

	violation                                 string
	runs, refused, repeats, unknown, restarts int
}

func newWorld(choose chooser, config dfponce.Config, timed bool) *world {
	w := &world{
		choose: choose, config: config, timed: timed,
		now:      time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		executed: make(map[string]int), keyOf: make(map[uint64]string), cut: make(map[[2]string]bool),
	}
	w.harsh = choose(4)
	n := 2 + choose(5)
	for i := range n {
		w.procs = append(w.procs, w.process(fmt.Sprintf("z%d", i), "z"))
	}
	w.procs = append(w.procs, w.process("y0", "y"))
	for i := range 3 {
		w.keys = append(w.keys, w.newKey(i))
	}
	return w
}

func (w *world) process(address, zone string) *process {
	w.attempts++
	member := dfponce.Member{Address: address, Incarnation: w.attempts}
	config := w.config
	config.Self, config.Zone = member, zone
	return &process{member: member, zone: zone, claims: dfponce.NewClaimManager(w.now, config), alive: true}
}

func (w *world) newKey(i int) string {
	if !w.timed {
		w.attempts++
		return fmt.Sprintf("z.key-%d-%d", i, w.attempts)
	}
	ms := fmt.Sprintf("%012x", w.now.UnixMilli())
	w.attempts++
	return fmt.Sprintf("z.%s-%s-7000-8000-%012x", ms[:8], ms[8:], w.attempts)
}

// step makes one random step.
func (w *world) step() {
	p := w.procs[w.choose(len(w.procs))]
	switch n := w.choose(100); {
	case n < 46:
		for range 1 + w.choose(6) {
			w.deliver()
		}
	case n < 52:
		w.begin(p)
	case n < 62:
		w.execute()
	case n < 72:
		if p.alive {
			w.apply(p, p.claims.Tick(w.now))
		}
	case n < 79:
		w.plan(p)
	case n < 87:
		w.read(p)
	case n < 90:
		w.advance()
	case n < 92:
		w.kill(p)
	case n < 95:
		w.restart()
	case n < 97:
		w.cutOrHeal()
	case n < 98:
		w.keys[w.choose(len(w.keys))] = w.newKey(0)
	default:
		w.drop()
	}
}

func (w *world) deliver() {
	if len(w.mail) == 0 {
		return
	}
	i := w.choose(min(len(w.mail), 1+w.choose(12)))
	m := w.mail[i]
	if w.choose(10) > 0 { // Else it will come again.
		w.mail = append(w.mail[:i], w.mail[i+1:]...)
	}
	if w.cut[[2]string{m.from, m.to}] {
		return
	}
	for _, p := range w.procs {
		if p.alive && p.member.Address == m.to {
			w.apply(p, p.claims.Handle(w.now, m.from, m.message))
		}
	}
}

func (w *world) drop() {
	if len(w.mail) > 0 {
		i := w.choose(len(w.mail))
		w.mail = append(w.mail[:i], w.mail[i+1:]...)
	}
}

func (w *world) begin(p *process) {
	if !p.alive {
		return
	}
	w.attempts++
	key := w.keys[w.choose(len(w.keys))]
	id := dfpcall.RequestID{Incarnation: p.member.Incarnation, Counter: w.attempts}
	w.apply(p, p.claims.Begin(w.now, dfponce.ClaimRequest{
		Organisation: "waldspiel", Key: key, Attempt: id, Zone: "z",
		Contact: fmt.Sprintf("z%d", w.choose(2)),
	}), key)
}

// apply carries out effects; key is that of an attempt just begun.
func (w *world) apply(p *process, fx dfponce.Effects, key ...string) {
	for _, s := range fx.Sends {
		w.mail = append(w.mail, letter{p.member.Address, s.To, s.Message})
	}
	p.copied = append(p.copied, fx.Copied...)
	for _, k := range key {
		w.keyOf[w.attempts] = k
	}
	for _, d := range fx.Decisions {
		switch d.Outcome.(type) {
		case nil:
			w.runs++
			w.running = append(w.running, execution{p, d.Attempt, w.keyOf[d.Attempt.Counter]})
		case *dfpcall.Answer:
			w.repeats++
		case *dfpcall.NotRun:
			w.refused++
		case *dfpcall.Unknown:
			w.unknown++
		}
	}
}

// execute ends a running request; its entry may have died meanwhile.
func (w *world) execute() {
	if len(w.running) == 0 {
		return
	}
	i := w.choose(len(w.running))
	e := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	var outcome dfpcall.Outcome = &dfpcall.Answer{Status: 200}
	ran := true
	switch w.choose(5) {
	case 0:
		outcome, ran = &dfpcall.NotRun{}, false
	case 1:
		outcome = &dfpcall.Unknown{}
	}
	if ran {
		w.executed[e.key]++
		if w.executed[e.key] > 1 {
			w.violation = fmt.Sprintf("key %s ran twice, now for attempt %v", e.key, e.id)
		}
	}
	if e.entry.alive {
		w.apply(e.entry, e.entry.claims.Finish(w.now, e.id, outcome))
	}
}

// plan has a process compute the next table by what it believes, and store it.
func (w *world) plan(p *process) {
	if !p.alive || p.zone != "z" {
		return
	}
	var prev dfponce.SlotTable
	if len(w.tables) > 0 {
		prev = w.tables[len(w.tables)-1]
		w.apply(p, p.claims.SetSlotTable(w.now, prev))
	}
	plan := dfponce.PlanInput{Zone: "z", Slots: 2, Self: p.member, Now: w.now.UnixMilli(), Copied: p.copied}
	for _, q := range w.procs {
		if q.zone != "z" {
			continue
		}
		c := dfponce.Candidate{Member: q.member, Alive: q.alive, Draining: w.choose(12) == 0}
		if w.choose(24) < w.harsh {
			c.Alive = !c.Alive && w.choose(3) == 0
		}
		c.Terminated = !q.alive && w.choose(2) == 0
		plan.Candidates = append(plan.Candidates, c)
	}
	for _, m := range w.dead {
		plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: m, Terminated: w.choose(2) == 0})
	}
	next, changed := dfponce.NextSlotTable(prev, plan)
	if !changed {
		return
	}
	p.copied = nil
	for i, s := range next.Slots {
		if len(prev.Slots) > 0 && s.ResetEpoch != prev.Slots[i].ResetEpoch {
			w.restarts++
		}
	}
	w.tables = append(w.tables, next)
}

// read gives a process the latest table, or an old one.
func (w *world) read(p *process) {
	if !p.alive || len(w.tables) == 0 {
		return
	}
	i := len(w.tables) - 1
	if w.choose(4) == 0 {
		i = w.choose(len(w.tables))
	}
	w.apply(p, p.claims.SetSlotTable(w.now, w.tables[i]))
}

func (w *world) advance() {
	limit := 400
	if w.timed && w.choose(8) == 0 {
		limit = 60_000
	}
	w.now = w.now.Add(time.Duration(w.choose(limit)) * time.Millisecond)
}

func (w *world) kill(p *process) {
	if w.choose(8) < w.harsh {
		p.alive = false
	}
}

// restart replaces a dead process by a new one at its address.
func (w *world) restart() {
	for i, p := range w.procs {
		if !p.alive {
			w.dead = append(w.dead, p.member)
			w.procs[i] = w.process(p.member.Address, p.zone)
			return
		}
	}
}

func (w *world) cutOrHeal() {
	if w.choose(2) == 0 {
		w.cut = make(map[[2]string]bool)
		return
	}
	a, b := w.procs[w.choose(len(w.procs))].member.Address, w.procs[w.choose(len(w.procs))].member.Address
	w.cut[[2]string{a, b}] = true
	if w.choose(2) == 0 {
		w.cut[[2]string{b, a}] = true
	}
}
