package dfpratelab

import (
	"fmt"
	"runtime"
	"time"

	"dragonflyport/internal/zone/dfpshare"
)

// FleetCost is the cost of keeping the rates in a fleet of one size, for docs/CAPACITY.md.
type FleetCost struct {
	Nodes         int `json:"nodes"`
	Organisations int `json:"organisations"`
	Slots         int `json:"slots"`
	// RequestsPerSecond is the load of the whole fleet.
	RequestsPerSecond     float64 `json:"requests_per_second"`
	MessagesPerNodeSecond float64 `json:"messages_per_node_second"`
	BytesPerNodeSecond    float64 `json:"bytes_per_node_second"`
	// BusiestBytesPerSecond is the sending rate of the node that sends most.
	BusiestBytesPerSecond float64 `json:"busiest_bytes_per_second"`
	// CPUFraction is the fraction of one core that a node needs, the simulation included.
	CPUFraction float64 `json:"cpu_part"`
	// StateBytesPerNode is the heap memory per node, the simulation included.
	StateBytesPerNode      float64 `json:"state_bytes_per_node"`
	TableBytes             int     `json:"table_bytes"`
	WronglyRefusedFraction float64 `json:"wrongful_part"`
}

// FleetCostConfig configures MeasureFleetCost.
type FleetCostConfig struct {
	Seed                        uint64
	NodesPerZone, Zones         int
	Organisations, Slots        int
	RatePerSecond, BurstSeconds float64 // of each organisation
	Duration                    time.Duration
}

// MeasureFleetCost simulates a fleet of one size without faults and measures its cost.
func MeasureFleetCost(cfg FleetCostConfig) FleetCost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := Config{Seed: cfg.Seed, Duration: cfg.Duration, Limiter: dfpshare.Config{Slots: cfg.Slots}}
	for z := range cfg.Zones {
		c.Zones = append(c.Zones, ZoneSize{
			Zone: fmt.Sprintf("zone-%d", z), Region: fmt.Sprintf("region-%d", z%2), Nodes: cfg.NodesPerZone,
		})
	}
	for i := range cfg.Organisations {
		c.Organisations = append(c.Organisations, dfpshare.OrganisationRate{
			Name: fmt.Sprintf("organisation-%d", i), RatePerSecond: cfg.RatePerSecond,
			Burst: max(1, cfg.RatePerSecond*cfg.BurstSeconds),
		})
	}
	run := newTrialRun(c.withDefaults(), Even, NoFault)
	begin := time.Now()
	trial := run.run()
	elapsed := time.Since(begin)
	runtime.GC()
	runtime.ReadMemStats(&after)
	nodes := float64(len(run.fleet.Nodes))
	virtual := (cfg.Duration + warmUp).Seconds()
	table, err := run.fleet.tables[c.Zones[0].Zone].table.Marshal()
	if err != nil {
		panic(err) // A plain struct always encodes.
	}
	cost := FleetCost{
		Nodes: len(run.fleet.Nodes), Organisations: cfg.Organisations, Slots: cfg.Slots,
		RequestsPerSecond:      c.withDefaults().OfferedFraction * cfg.RatePerSecond * float64(cfg.Organisations),
		MessagesPerNodeSecond:  trial.MessagesPerNodeSecond,
		BytesPerNodeSecond:     trial.BytesPerNodeSecond,
		CPUFraction:            elapsed.Seconds() / virtual / nodes,
		StateBytesPerNode:      (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / nodes,
		TableBytes:             len(table),
		WronglyRefusedFraction: trial.Schemes[2].WronglyRefusedFraction,
	}
	for _, n := range run.bytesBySender {
		cost.BusiestBytesPerSecond = max(cost.BusiestBytesPerSecond, float64(n)/cfg.Duration.Seconds())
	}
	return cost
}
