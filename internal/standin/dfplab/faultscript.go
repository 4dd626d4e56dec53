package dfplab

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpforwarder"
)

// causeFaults causes the faults one after the other, with a pause before each.
func (f *faultsRun) causeFaults(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.killNode, f.pauseNode, f.platformOutage, f.loseResponses,
		f.blackholeLinks, f.cutInbound, f.replaceVM, f.loseVM, f.withdrawKey, f.stopNode,
	}
	for _, step := range steps {
		if !wait(ctx, faultPause/2) {
			return ctx.Err()
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *faultsRun) killNode(context.Context) error {
	f.recordFault("SIGKILL to the node of %s", f.vmName(f.victims[0]))
	defer f.victims[0].closeInbound()
	return f.victims[0].node.Signal(syscall.SIGKILL)
}

// loseVM kills a node and holds back all traffic to its address, so that connections time out instead of
// being refused. This is how the loss of a whole VM looks to other nodes.
func (f *faultsRun) loseVM(ctx context.Context) error {
	vm := f.victims[5]
	f.recordFault("%s is lost: its address does not answer", f.vmName(vm))
	vm.inbound.Set(dfpforwarder.Conditions{Cut: true})
	defer wait(ctx, faultPause)
	return vm.node.Signal(syscall.SIGKILL)
}

// replaceVM starts a VM in place of the one whose node was killed.
func (f *faultsRun) replaceVM(context.Context) error {
	vm := f.victims[0]
	f.recordFault("a new VM replaces %s", f.vmName(vm))
	return f.startVM(vm.zone, vm.service)
}

func (f *faultsRun) pauseNode(ctx context.Context) error {
	vm := f.victims[1]
	f.recordFault("SIGSTOP of the node of %s", f.vmName(vm))
	if err := vm.node.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	wait(ctx, faultPause)
	f.recordFault("SIGCONT of the node of %s", f.vmName(vm))
	return vm.node.Signal(syscall.SIGCONT)
}

func (f *faultsRun) platformOutage(ctx context.Context) error {
	f.recordFault("the platform is down and all leases expire")
	err := errors.Join(f.deployment.postPlatform("/fault", `{"fault":{"down":true}}`), f.deployment.postPlatform("/lapse", ""))
	wait(ctx, faultPause)
	f.recordFault("the platform is up again")
	return errors.Join(err, f.deployment.postPlatform("/fault", `{}`))
}

func (f *faultsRun) loseResponses(ctx context.Context) error {
	f.recordFault("the platform's answers to writes are lost and its open watches send nothing")
	err := errors.Join(
		f.deployment.postPlatform("/fault", `{"method":"compare_and_swap","fault":{"lose_answer":true}}`),
		f.deployment.postPlatform("/silence", ""))
	wait(ctx, faultPause/2)
	return errors.Join(err, f.deployment.postPlatform("/fault", `{}`))
}

func (f *faultsRun) blackholeLinks(context.Context) error {
	f.recordFault("the open links to %s carry no more data", f.vmName(f.victims[2]))
	f.victims[2].inbound.BlackholeOpen()
	return nil
}

func (f *faultsRun) cutInbound(ctx context.Context) error {
	vm := f.victims[3]
	f.recordFault("%s can't be reached, and its zone can't reach the platform", f.vmName(vm))
	vm.inbound.Set(dfpforwarder.Conditions{Cut: true})
	f.deployment.platformLinks[vm.zone].Set(dfpforwarder.Conditions{Cut: true})
	wait(ctx, faultPause)
	f.recordFault("%s can be reached again", f.vmName(vm))
	vm.inbound.Set(dfpforwarder.Conditions{})
	f.deployment.platformLinks[vm.zone].Set(dfpforwarder.Conditions{})
	return nil
}

func (f *faultsRun) withdrawKey(ctx context.Context) error {
	if err := f.apply(ctx, 1, f.rulesText(false)); err != nil {
		return err
	}
	f.withdrawnAt = time.Since(f.started)
	f.recordFault("the key of %s is withdrawn", withdrawnOrg)
	return nil
}

// stopNode stops a node gracefully and checks that it exits with status 0 and that its backend server gets
// no request after effectTimeout. A cancelled run in the ledger is reported but breaks no promise here.
func (f *faultsRun) stopNode(ctx context.Context) error {
	vm := f.victims[4]
	f.recordFault("SIGTERM to the node of %s", f.vmName(vm))
	if err := vm.node.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	wait(ctx, effectTimeout)
	before, err := f.runsAt(vm)
	if err != nil {
		return err
	}
	if err := vm.node.Wait(); err != nil {
		f.recordViolation(promiseStop, "the node of %s exited with %v", f.vmName(vm), err)
	}
	vm.closeInbound()
	wait(ctx, time.Second)
	after, err := f.runsAt(vm)
	if err != nil {
		return err
	}
	if len(after) > len(before) {
		f.recordViolation(promiseDrained, "%s got %d requests more than %s after SIGTERM", f.vmName(vm), len(after)-len(before), effectTimeout)
	}
	for _, run := range after {
		if run.Cancelled && !run.Completed {
			f.recordFault("the stopped backend server's ledger has a cancelled run: %s", run.Operation)
		}
	}
	return nil
}

// runsAt returns the runs in the ledger of a VM's backend server.
func (f *faultsRun) runsAt(vm *processVM) ([]dfpbackendserver.Run, error) {
	ledgers, err := f.deployment.ledgers()
	if err != nil {
		return nil, err
	}
	return ledgers[slices.Index(f.deployment.vms, vm)].Runs, nil
}
