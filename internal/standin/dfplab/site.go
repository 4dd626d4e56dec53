package dfplab

import (
	"crypto/rand"
	"fmt"
	"math"
	"strconv"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpkey"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
)

const (
	serviceMedian = 200 * time.Millisecond
	serviceSigma  = 0.3
	// baselineUtilisation is the load before a fault as a fraction of the bottleneck's capacity.
	baselineUtilisation = 0.7
)

// deploymentSpec describes one of the users' deployments at scale 1, and its load.
type deploymentSpec struct {
	zones       []dfpdeployment.Zone
	zoneDelay   time.Duration
	regionDelay time.Duration
	callerDelay time.Duration
	services    []service
	routes      []route
	// organisations are sorted by size, largest first.
	organisations []organisation
	// deep is the service at the end of the call chains.
	deep string
	// storeRegion is the region of the platform's store.
	storeRegion string
}

type service struct {
	name           string
	perZone        int
	slots          int
	maxConnections int
	nested         []dfpbackendserver.NestedCall
}

type route struct {
	method, path, service string
	importance            dfpcall.Importance
	idempotent            bool
	deadline              time.Duration
	// perSecond is the number of whole requests per second that all organisations together offer before a
	// fault at scale 1.
	perSecond float64
}

type organisation struct {
	name string
	key  string
	// fraction is the organisation's fraction of all requests.
	fraction float64
}

// regionLinkBytesPerSecond is the bandwidth between the regions, 30 Mbit/s.
const regionLinkBytesPerSecond = 30_000_000 / 8

// organisationFractions are the organisations' fractions of all requests: a few large organisations and
// several small ones.
var organisationFractions = []float64{0.30, 0.20, 0.15, 0.10, 0.10, 0.05, 0.05, 0.05}

// newDeploymentSpec returns the deployment that cfg names, with new keys for the organisations. The error
// wraps ErrConfig if there is none of that name.
func newDeploymentSpec(cfg Config) (*deploymentSpec, error) {
	var s *deploymentSpec
	var names []string
	switch cfg.Deployment {
	case "schatzspur":
		s, names = schatzspur(), []string{"waldspiel", "nordlicht", "kinderfest", "schulreise", "stadtrallye", "geburtstag", "ferienhort", "bergabenteuer"}
	case "horvat":
		s, names = horvat(), []string{"koka", "perad", "zlatnojaje", "farmasava", "trgovina", "kooperativa", "seljak", "mala"}
	default:
		return nil, fmt.Errorf("%w: unknown deployment %q", ErrConfig, cfg.Deployment)
	}
	for i, name := range names {
		key, err := dfpkey.New(rand.Reader)
		if err != nil {
			return nil, err
		}
		s.organisations = append(s.organisations, organisation{name: name, key: key, fraction: organisationFractions[i]})
	}
	return s, nil
}

func schatzspur() *deploymentSpec {
	lookup := dfpbackendserver.NestedCall{Method: "GET", Service: "catalogue", Path: "/catalogue/pack"}
	on := func(path string, n dfpbackendserver.NestedCall) []dfpbackendserver.NestedCall {
		n.PathPrefix = path
		return []dfpbackendserver.NestedCall{n}
	}
	return &deploymentSpec{
		zones: []dfpdeployment.Zone{
			{Name: "ost-1", Region: "ost"}, {Name: "ost-2", Region: "ost"},
			{Name: "west-1", Region: "west"}, {Name: "west-2", Region: "west"},
		},
		zoneDelay: time.Millisecond, regionDelay: 20 * time.Millisecond, callerDelay: 8 * time.Millisecond,
		deep: "catalogue", storeRegion: "ost",
		services: []service{
			{name: "catalogue", perZone: 1, slots: 120, maxConnections: 800},
			{name: "ordering", perZone: 1, slots: 120, maxConnections: 800, nested: on("/order", lookup)},
			{name: "booking", perZone: 1, slots: 120, maxConnections: 800, nested: on("/book", lookup)},
			{name: "unlock", perZone: 1, slots: 30, maxConnections: 300, nested: on("/unlock", dfpbackendserver.NestedCall{Method: "GET", Service: "booking", Path: "/date"})},
		},
		routes: []route{
			{method: "GET", path: "/catalogue/1", service: "catalogue", importance: dfpcall.Low, idempotent: true, deadline: 2 * time.Second, perSecond: 1200},
			{method: "GET", path: "/lookup/1", service: "ordering", importance: dfpcall.Normal, idempotent: true, deadline: 2 * time.Second, perSecond: 80},
			{method: "POST", path: "/order/1", service: "ordering", importance: dfpcall.Critical, deadline: 4 * time.Second, perSecond: 200},
			{method: "POST", path: "/book/1", service: "booking", importance: dfpcall.Critical, deadline: 4 * time.Second, perSecond: 160},
			{method: "POST", path: "/unlock/1", service: "unlock", importance: dfpcall.High, deadline: 4 * time.Second, perSecond: 120},
		},
	}
}

// horvat models a deployment whose balance service has 600 slots on 6 backend servers. Here they are spread
// over 8, so that each zone has the same number.
func horvat() *deploymentSpec {
	return &deploymentSpec{
		zones: []dfpdeployment.Zone{
			{Name: "slavonija-1", Region: "slavonija"}, {Name: "slavonija-2", Region: "slavonija"},
			{Name: "zagorje-1", Region: "zagorje"}, {Name: "zagorje-2", Region: "zagorje"},
		},
		zoneDelay: 500 * time.Microsecond, regionDelay: 20 * time.Millisecond, callerDelay: 3 * time.Millisecond,
		deep: "balance", storeRegion: "slavonija",
		services: []service{
			{name: "balance", perZone: 2, slots: 75, maxConnections: 600},
			{name: "deposit", perZone: 1, slots: 120, maxConnections: 850},
			{name: "pickup", perZone: 1, slots: 120, maxConnections: 850, nested: []dfpbackendserver.NestedCall{{PathPrefix: "/pickup", Method: "GET", Service: "balance", Path: "/balance/pickup"}}},
			{name: "collection", perZone: 1, slots: 50, maxConnections: 400, nested: []dfpbackendserver.NestedCall{{PathPrefix: "/collection", Method: "POST", Service: "deposit", Path: "/credit"}}},
		},
		routes: []route{
			{method: "GET", path: "/balance/1", service: "balance", importance: dfpcall.Low, idempotent: true, deadline: 2 * time.Second, perSecond: 1720},
			{method: "GET", path: "/lookup/1", service: "deposit", importance: dfpcall.Normal, idempotent: true, deadline: 2 * time.Second, perSecond: 160},
			{method: "POST", path: "/pickup/1", service: "pickup", importance: dfpcall.Critical, deadline: 4 * time.Second, perSecond: 200},
			{method: "POST", path: "/deposit/1", service: "deposit", importance: dfpcall.Critical, deadline: 4 * time.Second, perSecond: 160},
			{method: "POST", path: "/collection/1", service: "collection", importance: dfpcall.High, deadline: 4 * time.Second, perSecond: 140},
		},
	}
}

// perSecond returns the number of whole requests per second offered before a fault.
func (s *deploymentSpec) perSecond(scale float64) float64 {
	sum := 0.0
	for _, r := range s.routes {
		sum += r.perSecond
	}
	return sum * scale
}

// rulesText returns the rules. Each organisation's rate is rateFactor times the rate that it offers before
// a fault.
func (s *deploymentSpec) rulesText(scale, rateFactor float64) []byte {
	var text []byte
	for _, z := range s.zones {
		text = fmt.Appendf(text, "availability_zone %s region=%s share=1 # lab\n", z.Name, z.Region)
	}
	for _, o := range s.organisations {
		limit := s.limit(o, scale, rateFactor)
		text = fmt.Appendf(text, "organisation %s rate=%s/s burst=%.0f # lab\n", o.name, strconv.FormatFloat(limit.Rate, 'f', -1, 64), limit.Burst)
		text = fmt.Appendf(text, "key %s %s # lab\n", o.name, dfpkey.Hash(o.key))
	}
	for _, sv := range s.services {
		text = fmt.Appendf(text, "service %s slots=%d # lab\n", sv.name, scaled(sv.slots, scale))
	}
	for _, r := range s.routes {
		idempotent := "no"
		if r.idempotent {
			idempotent = "yes"
		}
		text = fmt.Appendf(text, "route %s %s service=%s importance=%s idempotent=%s deadline=%s # lab\n",
			r.method, r.path, r.service, r.importance, idempotent, r.deadline)
	}
	return text
}

func scaled(n int, scale float64) int { return max(1, int(math.Round(float64(n)*scale))) }

// deploymentConfig returns the configuration with which to start the deployment for a variant.
func (s *deploymentSpec) deploymentConfig(cfg Config, v variant) dfpdeployment.Config {
	// Two regions with half of the zones each; all pairs of zones share the bandwidth between the regions.
	zonePairs := len(s.zones) * len(s.zones) / 4
	d := dfpdeployment.Config{
		Zones:                s.zones,
		Rules:                s.rulesText(cfg.Scale, rateFactor(cfg.Scenario)),
		Seed:                 cfg.Seed,
		ZoneDelay:            s.zoneDelay,
		RegionDelay:          s.regionDelay,
		RegionBytesPerSecond: regionLinkBytesPerSecond / zonePairs,
		Node:                 v.node,
	}
	for _, o := range s.organisations {
		d.Secrets = append(d.Secrets, o.key)
	}
	for _, sv := range s.services {
		d.Services = append(d.Services, dfpdeployment.Service{PerZone: sv.perZone, Backend: dfpbackendserver.Config{
			Service:        sv.name,
			Slots:          scaled(sv.slots, cfg.Scale),
			QueueLimit:     backendQueueLimit,
			MaxConnections: scaled(sv.maxConnections, cfg.Scale),
			NestedCalls:    sv.nested,

			IgnoreCancellation: v.ignoreCancellation,

			ServiceTime: dfpbackendserver.Distribution{Median: serviceMedian, Sigma: serviceSigma},
		}})
	}
	return d
}

// backendQueueLimit is the number of requests that may wait in a backend server itself.
const backendQueueLimit = 10000
