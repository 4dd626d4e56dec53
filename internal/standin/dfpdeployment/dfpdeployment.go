// Package dfpdeployment runs a whole deployment in one process over loopback: the platform stand-in,
// nodes in several availability zones and their backend servers.
//
// Nodes dial each other through simulated network links, one for each ordered pair of zones. A link adds the
// delay between its zones and can be cut, which partitions a zone or a region from the rest.
//
// # Usage
//
//	d, err := dfpdeployment.Start(dfpdeployment.Config{Zones: zones, Services: services, Rules: text})
//	defer d.Close()
//	resp, err := http.Get(d.CallerURLs("ost-1")[0] + "/catalogue/1")
//	ledgers := d.Ledgers() // What each backend server ran, and for which organisation.
package dfpdeployment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/operator/dfpapply"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpforwarder"
	"dragonflyport/internal/standin/dfpstore"
	"dragonflyport/internal/vm/dfpnode"
	"dragonflyport/internal/vm/dfpvm"
)

// ErrNotReady is returned if the deployment is not ready in time or its rules are not accepted.
var ErrNotReady = errors.New("deployment is not ready")

// Secret is the secret that all nodes of a deployment share. It protects only loopback traffic of this
// process.
const Secret = "stand-in deployment"

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	readyProbeTimeout = 500 * time.Millisecond // Of one node's readiness check.
	stopTimeout       = 10 * time.Second
)

// Zone is one availability zone.
type Zone struct {
	Name   string
	Region string
}

// Service is a service and its backend servers in every zone.
type Service struct {
	// PerZone is the number of backend servers in each zone.
	PerZone int
	// Backend configures each of them. Start overwrites its EgressURL and Seed.
	Backend dfpbackendserver.Config
}

// Config configures a Deployment.
type Config struct {
	Zones    []Zone
	Services []Service
	// Rules is the text of the rules file, with hashed keys.
	Rules []byte
	// Seed is the base from which the seeds of the nodes and backend servers derive.
	Seed uint64
	// ZoneDelay and RegionDelay are the one-way delays between zones of a region and between regions. A delay
	// between callers and entry nodes is added by the load generator.
	ZoneDelay, RegionDelay time.Duration
	// RegionBytesPerSecond limits each link between zones of different regions, in each direction; 0 means no
	// limit.
	RegionBytesPerSecond int
	// Node is the configuration that all nodes share.
	Node dfpnode.Config
	// Log receives the nodes' log lines; nil discards them.
	Log log.Interface
	// DialPlatform opens the nodes' connections to the platform stand-in; nil dials through the link
	// between the node's zone and the platform.
	DialPlatform func(ctx context.Context, network, address string) (net.Conn, error)
	// Secrets are texts that no backend server may receive, such as the callers' keys. The ledgers count the
	// requests that contain one.
	Secrets []string
}

// VM is one VM of a deployment: a node and its backend server.
type VM struct {
	Zone    Zone
	Service string
	Node    *dfpnode.Node
	Backend *dfpbackendserver.Server
	// CallerURL is the node's base URL for callers, OperatorURL that for operators.
	CallerURL, OperatorURL string
	// EgressURL is the node's base URL for its backend server.
	EgressURL string
	// Address is the host:port on which the node accepts links from other nodes.
	Address string

	stopNode, stopBackend, stopAnnouncing context.CancelFunc
	// stopped is closed when the node has ended; err is its error from then on.
	stopped chan struct{}
	err     error
}

// Deployment is a running deployment.
type Deployment struct {
	Store *dfpstore.Store
	VMs   []*VM
	// PlatformURL is the base URL of the platform stand-in.
	PlatformURL string

	cfg    Config
	group  errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
	// zoneByAddress maps each VM's link address to its Zone. It is a sync.Map because running VMs dial while
	// others are being started.
	zoneByAddress sync.Map
	// links are keyed by the names of the dialling and the dialled zone.
	links map[[2]string]*dfpforwarder.Link
	// platformLinks are the links from each zone, by name, to the platform, which is in the first zone.
	platformLinks map[string]*dfpforwarder.Link
	storeServer   *http.Server
}

// Start starts a deployment and returns when every node reports that it is ready and knows every VM and its
// backend server. If nodes are not ready in time or the platform does not accept the rules, the error wraps
// ErrNotReady.
func Start(cfg Config) (*Deployment, error) {
	d := &Deployment{cfg: cfg, Store: dfpstore.New(dfpstore.Config{})}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.createLinks()
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	if err := d.startStore(); err != nil {
		return err
	}
	if err := d.applyRules(); err != nil {
		return err
	}
	for _, zone := range d.cfg.Zones {
		for _, service := range d.cfg.Services {
			for range service.PerZone {
				if err := d.startVM(zone, service); err != nil {
					return err
				}
			}
		}
	}
	return d.waitReady()
}

func (d *Deployment) startStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.PlatformURL = "http://" + listener.Addr().String()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	d.storeServer = &http.Server{Handler: d.Store.Handler(), Protocols: protocols}
	d.group.Go(func() error { return ignoreClosed(d.storeServer.Serve(listener)) })
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// createLinks creates the link of each ordered pair of zones, and each zone's link to the platform.
func (d *Deployment) createLinks() {
	d.links = make(map[[2]string]*dfpforwarder.Link)
	d.platformLinks = make(map[string]*dfpforwarder.Link)
	for _, from := range d.cfg.Zones {
		d.platformLinks[from.Name] = dfpforwarder.New(dfpforwarder.Conditions{})
		for _, to := range d.cfg.Zones {
			d.links[[2]string{from.Name, to.Name}] = dfpforwarder.New(d.conditions(from, to))
		}
	}
}

// conditions returns the conditions of the link between two zones when it is not cut.
func (d *Deployment) conditions(from, to Zone) dfpforwarder.Conditions {
	switch {
	case from == to:
		return dfpforwarder.Conditions{}
	case from.Region == to.Region:
		return dfpforwarder.Conditions{Delay: d.cfg.ZoneDelay}
	}
	return dfpforwarder.Conditions{Delay: d.cfg.RegionDelay, BytesPerSecond: d.cfg.RegionBytesPerSecond}
}

// CutZone partitions a zone from all others, or heals the partition if cut is false.
func (d *Deployment) CutZone(name string, cut bool) {
	d.Cut(func(z Zone) bool { return z.Name == name }, cut)
}

// CutRegion partitions a region from all others, or heals the partition if cut is false.
func (d *Deployment) CutRegion(name string, cut bool) {
	d.Cut(func(z Zone) bool { return z.Region == name }, cut)
}

// Cut partitions the zones for which oneSide is true from the others, or heals the partition if cut is false.
// While they are partitioned, only the side of the first zone reaches the platform.
func (d *Deployment) Cut(oneSide func(Zone) bool, cut bool) {
	for _, from := range d.cfg.Zones {
		for _, to := range d.cfg.Zones {
			if oneSide(from) == oneSide(to) {
				continue
			}
			conditions := d.conditions(from, to)
			conditions.Cut = cut
			d.links[[2]string{from.Name, to.Name}].Set(conditions)
		}
		if oneSide(from) != oneSide(d.cfg.Zones[0]) {
			d.platformLinks[from.Name].Set(dfpforwarder.Conditions{Cut: cut})
		}
	}
}

// BlackholeLinks acts on the open connections that nodes of the zone named from have dialled to nodes of the
// zone named to: they drop every byte for good but stay open. Connections opened later work.
func (d *Deployment) BlackholeLinks(from, to string) {
	d.links[[2]string{from, to}].BlackholeOpen()
}

// dialFrom returns the dial function that nodes of a zone use to reach other nodes.
func (d *Deployment) dialFrom(zone Zone) func(context.Context, string, string) (net.Conn, error) {
	plain := new(net.Dialer)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		found, ok := d.zoneByAddress.Load(address)
		to, _ := found.(Zone)
		if !ok || (to == zone && d.cfg.ZoneDelay == 0 && d.cfg.RegionDelay == 0) {
			return plain.DialContext(ctx, network, address)
		}
		return d.links[[2]string{zone.Name, to.Name}].Dial(ctx, network, address)
	}
}

func (d *Deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if d.ready() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	var unready []string
	for _, vm := range d.VMs {
		if err := d.nodeReady(vm); err != nil {
			unready = append(unready, fmt.Sprintf("%s: %v, rates %+v", vm.Address, err, vm.Node.State().Rates))
		}
	}
	return fmt.Errorf("%w after %s: %s", ErrNotReady, readyTimeout, strings.Join(unready, "; "))
}

func (d *Deployment) ready() bool {
	for _, vm := range d.VMs {
		if d.nodeReady(vm) != nil {
			return false
		}
	}
	return true
}

func (d *Deployment) nodeReady(vm *VM) error {
	ctx, cancel := context.WithTimeout(d.ctx, readyProbeTimeout)
	defer cancel()
	return vm.Node.Ready(ctx, len(d.VMs))
}

// CallerURLs returns the caller URLs of the running nodes in a zone, or in all zones if zone is empty.
func (d *Deployment) CallerURLs(zone string) []string {
	var urls []string
	for _, vm := range d.VMs {
		if (zone == "" || vm.Zone.Name == zone) && !vm.hasStopped() {
			urls = append(urls, vm.CallerURL)
		}
	}
	return urls
}

// Ledgers returns a snapshot of each backend server's ledger, in the order of VMs.
func (d *Deployment) Ledgers() []dfpbackendserver.LedgerSnapshot {
	ledgers := make([]dfpbackendserver.LedgerSnapshot, 0, len(d.VMs))
	for _, vm := range d.VMs {
		ledgers = append(ledgers, vm.Backend.Ledger.Snapshot())
	}
	return ledgers
}

// Close stops the nodes gracefully, then the backend servers and the platform stand-in.
func (d *Deployment) Close() {
	for _, vm := range d.VMs {
		vm.stopNode()
	}
	for _, vm := range d.VMs {
		<-vm.stopped
	}
	d.cancel()
	if d.storeServer != nil {
		_ = d.storeServer.Close()
	}
	_ = d.group.Wait()
}

// newPlatformClient returns a client of the platform stand-in for one node of a zone.
func (d *Deployment) newPlatformClient(zone Zone) *dfpplatform.Client {
	dial := d.cfg.DialPlatform
	if dial == nil {
		dial = d.platformLinks[zone.Name].Dial
	}
	return dfpplatform.New(dfpplatform.Config{URL: d.PlatformURL, Dial: dial})
}

func (d *Deployment) vmOf(zone Zone, service, address string) dfpvm.VM {
	return dfpvm.VM{Address: address, Zone: zone.Name, Region: zone.Region, Service: service}
}

// applyRules stores the configured rules in the platform as its first version.
func (d *Deployment) applyRules() error {
	_, err := d.Apply(d.cfg.Rules, 0)
	return err
}

// Apply replaces the rules if their current version is baseVersion. It returns the new version. The error is
// that of the parser if the text is invalid, or wraps ErrNotReady if the rules are not accepted.
func (d *Deployment) Apply(text []byte, baseVersion uint64) (uint64, error) {
	if _, err := dfprules.Parse("rules", text); err != nil {
		return 0, err
	}
	client := d.newPlatformClient(d.cfg.Zones[0])
	defer client.Close()
	result := dfpapply.Run(d.ctx, client, dfpconfig.ApplyConfig{Text: text, BaseVersion: baseVersion, By: "deployment"})
	if result.Outcome != dfpconfig.Accepted {
		return 0, fmt.Errorf("%w: rules %s: %s", ErrNotReady, result.Outcome, result.Reason)
	}
	return result.Version, nil
}
