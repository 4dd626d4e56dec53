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

// script causes one fault after the other.
func (f *faultsRun) script(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.killNode, f.pauseNode, f.platformOutage, f.loseAnswers,
		f.silentLinks, f.cutInbound, f.replaceVM, f.loseVM, f.withdrawKey, f.stopNode,
	}
	for _, step := range steps {
		if !wait(ctx, faultsPause/2) {
			return ctx.Err()
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *faultsRun) killNode(context.Context) error {
	f.note("kill -9 of the node of %s", f.name(f.victims[0]))
	defer f.victims[0].gone()
	return f.victims[0].node.Signal(syscall.SIGKILL)
}

// loseVM ends a node whose address then answers nothing at all, as when the
// whole VM is lost.
func (f *faultsRun) loseVM(ctx context.Context) error {
	vm := f.victims[5]
	f.note("%s is lost: its address is silent", f.name(vm))
	vm.inbound.Set(dfpforwarder.Conditions{Cut: true})
	defer wait(ctx, faultsPause)
	return vm.node.Signal(syscall.SIGKILL)
}

// replaceVM starts a VM in place of the one whose node was killed.
func (f *faultsRun) replaceVM(context.Context) error {
	vm := f.victims[0]
	f.note("a new VM replaces %s", f.name(vm))
	return f.startVM(vm.zone, vm.service)
}

func (f *faultsRun) pauseNode(ctx context.Context) error {
	vm := f.victims[1]
	f.note("SIGSTOP of the node of %s", f.name(vm))
	if err := vm.node.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	wait(ctx, faultsPause)
	f.note("SIGCONT of the node of %s", f.name(vm))
	return vm.node.Signal(syscall.SIGCONT)
}

func (f *faultsRun) platformOutage(ctx context.Context) error {
	f.note("the platform is down, and all leases lapse")
	err := errors.Join(f.site.platformPage("/fault", `{"fault":{"down":true}}`), f.site.platformPage("/lapse", ""))
	wait(ctx, faultsPause)
	f.note("the platform is back")
	return errors.Join(err, f.site.platformPage("/fault", `{}`))
}

func (f *faultsRun) loseAnswers(ctx context.Context) error {
	f.note("the platform's answers to writes are lost, and its watches silent")
	err := errors.Join(
		f.site.platformPage("/fault", `{"method":"compare_and_swap","fault":{"lose_answer":true}}`),
		f.site.platformPage("/silence", ""))
	wait(ctx, faultsPause/2)
	return errors.Join(err, f.site.platformPage("/fault", `{}`))
}

func (f *faultsRun) silentLinks(context.Context) error {
	f.note("the open links to %s are silent for good", f.name(f.victims[2]))
	f.victims[2].inbound.BlackholeOpen()
	return nil
}

func (f *faultsRun) cutInbound(ctx context.Context) error {
	vm := f.victims[3]
	f.note("%s can't be reached, and its zone can't reach the platform", f.name(vm))
	vm.inbound.Set(dfpforwarder.Conditions{Cut: true})
	f.site.platformLinks[vm.zone].Set(dfpforwarder.Conditions{Cut: true})
	wait(ctx, faultsPause)
	f.note("%s can be reached again", f.name(vm))
	vm.inbound.Set(dfpforwarder.Conditions{})
	f.site.platformLinks[vm.zone].Set(dfpforwarder.Conditions{})
	return nil
}

func (f *faultsRun) withdrawKey(ctx context.Context) error {
	if err := f.apply(ctx, 1, f.rules(false)); err != nil {
		return err
	}
	f.withdrawn = time.Since(f.started)
	f.note("the key of %s is withdrawn", withdrawnOrg)
	return nil
}

// stopNode stops a node gracefully, and checks that it ends well and that its
// backend server gets no new work.
func (f *faultsRun) stopNode(ctx context.Context) error {
	vm := f.victims[4]
	f.note("SIGTERM to the node of %s", f.name(vm))
	if err := vm.node.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	wait(ctx, settleTime)
	before, err := f.runsAt(vm)
	if err != nil {
		return err
	}
	if err := vm.node.Wait(); err != nil {
		f.broken(promiseStop, "the node of %s ended with %v", f.name(vm), err)
	}
	vm.gone()
	wait(ctx, time.Second)
	after, err := f.runsAt(vm)
	if err != nil {
		return err
	}
	if len(after) > len(before) {
		f.broken(promiseDrained, "%s got %d requests later than %s after SIGTERM", f.name(vm), len(after)-len(before), settleTime)
	}
	for _, run := range after {
		if run.Cancelled && !run.Completed {
			f.note("the stopped backend server's ledger has a cancelled run: %s", run.Operation)
		}
	}
	return nil
}

func (f *faultsRun) runsAt(vm *processVM) ([]dfpbackendserver.Run, error) {
	accounts, err := f.site.accounts()
	if err != nil {
		return nil, err
	}
	return accounts[slices.Index(f.site.vms, vm)].Runs, nil
}
