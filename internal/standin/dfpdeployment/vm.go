package dfpdeployment

import (
	"context"
	"net"
	"slices"

	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/vm/dfpnode"
)

// listeners are the listeners of one VM: its node's four and its backend server's.
type listeners struct{ link, callers, egress, operator, backend net.Listener }

// listenAll opens the listeners of one VM on free loopback ports.
func listenAll() (*listeners, error) {
	l := &listeners{}
	for _, target := range []*net.Listener{&l.link, &l.callers, &l.egress, &l.operator, &l.backend} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*target = listener
	}
	return l, nil
}

// startVM starts a node and its backend server.
func (d *Deployment) startVM(zone Zone, service Service) error {
	l, err := listenAll()
	if err != nil {
		return err
	}
	vm := &VM{
		Zone: zone, Service: service.Backend.Service,
		Address:     l.link.Addr().String(),
		CallerURL:   "http://" + l.callers.Addr().String(),
		OperatorURL: "http://" + l.operator.Addr().String(),
		EgressURL:   "http://" + l.egress.Addr().String(),
		stopped:     make(chan struct{}),
	}
	d.zoneByAddress.Store(vm.Address, zone)
	vm.Node = dfpnode.New(d.nodeConfig(zone, vm.Address, l))
	vm.Backend = dfpbackendserver.New(d.backendConfig(service, l))
	vm.Backend.Ledger.WatchSecrets(d.cfg.Secrets)

	nodeCtx, stopNode := context.WithCancel(d.ctx)
	backendCtx, stopBackend := context.WithCancel(d.ctx)
	announceCtx, stopAnnouncing := context.WithCancel(backendCtx)
	vm.stopNode, vm.stopBackend, vm.stopAnnouncing = stopNode, stopBackend, stopAnnouncing
	d.group.Go(func() error {
		vm.err = vm.Node.Run(nodeCtx)
		close(vm.stopped)
		return vm.err
	})
	d.group.Go(func() error { return vm.Backend.Serve(backendCtx, l.backend) })
	d.group.Go(func() error {
		// Announce runs until announceCtx ends or the server drains; neither is a failure.
		_ = vm.Backend.Announce(announceCtx, l.backend.Addr().String())
		return nil
	})
	d.VMs = append(d.VMs, vm)
	return nil
}

func (d *Deployment) nodeConfig(zone Zone, address string, l *listeners) dfpnode.Config {
	cfg := d.cfg.Node
	cfg.VM = d.vmOf(zone, "", address)
	cfg.Secret = []byte(Secret)
	cfg.Platform = d.newPlatformClient(zone)
	cfg.Link, cfg.Callers, cfg.Egress, cfg.Operator = l.link, l.callers, l.egress, l.operator
	cfg.Dial = d.dialFrom(zone)
	cfg.Log = d.cfg.Log
	cfg.Seed = d.cfg.Seed + uint64(len(d.VMs)) + 1
	return cfg
}

func (d *Deployment) backendConfig(service Service, l *listeners) dfpbackendserver.Config {
	cfg := service.Backend
	cfg.NestedCalls = slices.Clone(cfg.NestedCalls)
	cfg.EgressURL = "http://" + l.egress.Addr().String()
	cfg.Seed = d.cfg.Seed + uint64(len(d.VMs)) + 1
	return cfg
}

// StopGracefully shuts the VM's node down as SIGTERM does, waits until it has ended, and then stops the
// backend server. It returns the node's error.
func (vm *VM) StopGracefully() error {
	vm.stopNode()
	<-vm.stopped
	vm.stopBackend()
	return vm.err
}

// StopAnnouncing stops the backend server's announcements to its node. The server itself keeps running.
func (vm *VM) StopAnnouncing() { vm.stopAnnouncing() }

func (vm *VM) hasStopped() bool {
	select {
	case <-vm.stopped:
		return true
	default:
		return false
	}
}
