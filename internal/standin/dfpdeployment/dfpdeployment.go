// Package dfpdeployment runs a whole deployment in one process over loopback: the
// platform's stand-in, nodes in several availability zones and their backend servers.
//
// Delays between zones and regions are added where nodes dial each other, by
// one link for each ordered pair of zones, so that a zone or a region can be cut off.
//
// # Usage
//
//	d, err := dfpdeployment.Start(dfpdeployment.Config{Zones: zones, Services: services, Rules: text})
//	defer d.Close()
//	resp, err := http.Get(d.CallerURLs("ost-1")[0] + "/catalogue/1")
//	account := d.Account() // What ran, on which backend server, for whom.
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

// ErrNotReady is returned if the deployment does not come up in time.
var ErrNotReady = errors.New("deployment is not ready")

// Secret is the secret of all nodes of a deployment. It guards nothing but
// loopback traffic of this process.
const Secret = "stand-in deployment"

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	readyProbe   = 500 * time.Millisecond
	stopTimeout  = 10 * time.Second
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
	// Backend configures each of them; EgressURL and Seed are set here.
	Backend dfpbackendserver.Config
}

// Config configures a Deployment.
type Config struct {
	Zones    []Zone
	Services []Service
	// Rules is the text of the rules file; its keys are hashed.
	Rules []byte
	Seed  uint64
	// ZoneDelay and RegionDelay are added one way between zones of a region and
	// between regions; CallerDelay between callers and entries is for the load to add.
	ZoneDelay, RegionDelay time.Duration
	// RegionBytesPerSecond bounds the links between regions, each pair of zones
	// an equal part; 0 sets no bound.
	RegionBytesPerSecond int
	// Node is the configuration that all nodes share.
	Node dfpnode.Config
	// Log takes the nodes' lines; nil discards them.
	Log log.Interface
	// DialPlatform opens the nodes' connections to the platform's stand-in; nil is a
	// plain net.Dialer.
	DialPlatform func(ctx context.Context, network, address string) (net.Conn, error)
	// Secrets are texts that no backend server may see, such as the callers' keys.
	Secrets []string
}

// VM is one VM of a deployment: a node and its backend server.
type VM struct {
	Zone    Zone
	Service string
	Node    *dfpnode.Node
	Backend *dfpbackendserver.Server
	// CallerURL is where callers reach the node, OperatorURL where operators do.
	CallerURL, OperatorURL string
	// EgressURL is where the backend server reaches its node.
	EgressURL string
	// Address is that of the node's links.
	Address string

	stopNode, stopBackend, stopAnnouncing context.CancelFunc
	stopped                               chan struct{}
	err                                   error
}

// Deployment is a running deployment.
type Deployment struct {
	Store *dfpstore.Store
	VMs   []*VM
	// PlatformURL is where the platform's stand-in answers.
	PlatformURL string

	cfg    Config
	group  errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
	// zoneOf holds each VM's zone by its link address. VMs that run dial while others are still started.
	zoneOf sync.Map
	links  map[[2]string]*dfpforwarder.Link
	// platformLinks lead from each zone to the platform, which stands in the first zone.
	platformLinks map[string]*dfpforwarder.Link
	store         *http.Server
}

// Start brings a deployment up and returns when every node knows the rules and
// a backend server of every service, or an error that wraps ErrNotReady.
func Start(cfg Config) (*Deployment, error) {
	d := &Deployment{cfg: cfg, Store: dfpstore.New(dfpstore.Config{})}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.makeLinks()
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
	d.store = &http.Server{Handler: d.Store.Handler(), Protocols: protocols}
	d.group.Go(func() error { return ignoreClosed(d.store.Serve(listener)) })
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// makeLinks makes the link of each ordered pair of zones.
func (d *Deployment) makeLinks() {
	d.links = make(map[[2]string]*dfpforwarder.Link)
	d.platformLinks = make(map[string]*dfpforwarder.Link)
	for _, from := range d.cfg.Zones {
		d.platformLinks[from.Name] = dfpforwarder.New(dfpforwarder.Conditions{})
		for _, to := range d.cfg.Zones {
			d.links[[2]string{from.Name, to.Name}] = dfpforwarder.New(d.conditions(from, to))
		}
	}
}

func (d *Deployment) conditions(from, to Zone) dfpforwarder.Conditions {
	switch {
	case from == to:
		return dfpforwarder.Conditions{}
	case from.Region == to.Region:
		return dfpforwarder.Conditions{Delay: d.cfg.ZoneDelay}
	}
	return dfpforwarder.Conditions{Delay: d.cfg.RegionDelay, BytesPerSecond: d.cfg.RegionBytesPerSecond}
}

// CutZone cuts a zone off from all others, or mends the cut.
func (d *Deployment) CutZone(name string, cut bool) {
	d.Cut(func(z Zone) bool { return z.Name == name }, cut)
}

// CutRegion cuts a region off from all others, or mends the cut.
func (d *Deployment) CutRegion(name string, cut bool) {
	d.Cut(func(z Zone) bool { return z.Region == name }, cut)
}

// Cut cuts the zones on one side off from those on the other, or mends the cut.
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

// SilenceLinks makes the links open now between two zones silent for good.
func (d *Deployment) SilenceLinks(from, to string) {
	d.links[[2]string{from, to}].BlackholeOpen()
}

// dialFrom returns how nodes of a zone dial others.
func (d *Deployment) dialFrom(zone Zone) func(context.Context, string, string) (net.Conn, error) {
	plain := new(net.Dialer)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		found, ok := d.zoneOf.Load(address)
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
		time.Sleep(readyPoll)
	}
	var lacks []string
	for _, vm := range d.VMs {
		if err := d.nodeReady(vm); err != nil {
			lacks = append(lacks, fmt.Sprintf("%s: %v, rates %+v", vm.Address, err, vm.Node.State().Rates))
		}
	}
	return fmt.Errorf("%w after %s: %s", ErrNotReady, readyTimeout, strings.Join(lacks, "; "))
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
	ctx, cancel := context.WithTimeout(d.ctx, readyProbe)
	defer cancel()
	return vm.Node.Ready(ctx, len(d.VMs))
}

// CallerURLs returns the callers' addresses of the nodes in a zone; all zones if
// it is empty.
func (d *Deployment) CallerURLs(zone string) []string {
	var urls []string
	for _, vm := range d.VMs {
		if (zone == "" || vm.Zone.Name == zone) && !vm.hasStopped() {
			urls = append(urls, vm.CallerURL)
		}
	}
	return urls
}

// Accounts returns the ledgers of all backend servers.
func (d *Deployment) Accounts() []dfpbackendserver.LedgerSnapshot {
	accounts := make([]dfpbackendserver.LedgerSnapshot, 0, len(d.VMs))
	for _, vm := range d.VMs {
		accounts = append(accounts, vm.Backend.Ledger.Snapshot())
	}
	return accounts
}

// Close stops everything: the nodes gracefully, then the backend servers.
func (d *Deployment) Close() {
	for _, vm := range d.VMs {
		vm.stopNode()
	}
	for _, vm := range d.VMs {
		<-vm.stopped
	}
	d.cancel()
	if d.store != nil {
		_ = d.store.Close()
	}
	_ = d.group.Wait()
}

// newPlatform returns a client of the platform's stand-in for one node of a zone.
func (d *Deployment) newPlatform(zone Zone) *dfpplatform.Client {
	dial := d.cfg.DialPlatform
	if dial == nil {
		dial = d.platformLinks[zone.Name].Dial
	}
	return dfpplatform.New(dfpplatform.Config{URL: d.PlatformURL, Dial: dial})
}

func (d *Deployment) vmOf(zone Zone, service, address string) dfpvm.VM {
	return dfpvm.VM{Address: address, Zone: zone.Name, Region: zone.Region, Service: service}
}

// applyRules puts the rules into the platform as its next version.
func (d *Deployment) applyRules() error {
	_, err := d.Apply(d.cfg.Rules, 0)
	return err
}

// Apply replaces the rules that had the version seen. It returns the new version,
// or the faults of the rules.
func (d *Deployment) Apply(text []byte, seen uint64) (uint64, error) {
	if _, err := dfprules.Parse("rules", text); err != nil {
		return 0, err
	}
	client := d.newPlatform(d.cfg.Zones[0])
	defer client.Close()
	result := dfpapply.Run(d.ctx, client, dfpconfig.ApplyConfig{Text: text, BaseVersion: seen, By: "deployment"})
	if result.Outcome != dfpconfig.Accepted {
		return 0, fmt.Errorf("%w: rules %s: %s", ErrNotReady, result.Outcome, result.Reason)
	}
	return result.Version, nil
}
