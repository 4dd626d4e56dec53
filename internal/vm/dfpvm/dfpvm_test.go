package dfpvm_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/vm/dfpvm"
)

// TestCheck checks VMs as they may stand in an entry of another writer.
func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*dfpvm.VM)
		valid  bool
	}{
		{"with a backend server", func(*dfpvm.VM) {}, true},
		{"without one", func(vm *dfpvm.VM) { vm.Service, vm.BackendAddress, vm.Slots = "", "", 0 }, true},
		{"IPv6", func(vm *dfpvm.VM) { vm.Address = "[::1]:9000" }, true},
		{"as many slots as ports", func(vm *dfpvm.VM) { vm.Slots = 65535 }, true},
		{"no zone", func(vm *dfpvm.VM) { vm.Zone = "" }, false},
		{"no address", func(vm *dfpvm.VM) { vm.Address = "" }, false},
		{"no port", func(vm *dfpvm.VM) { vm.Address = "10.0.0.1" }, false},
		{"port 0", func(vm *dfpvm.VM) { vm.Address = "10.0.0.1:0" }, false},
		{"port out of range", func(vm *dfpvm.VM) { vm.Address = "10.0.0.1:99999" }, false},
		{"negative port", func(vm *dfpvm.VM) { vm.Address = "10.0.0.1:-5" }, false},
		{"port of the backend server out of range", func(vm *dfpvm.VM) { vm.BackendAddress = "10.0.0.1:99999" }, false},
		{"slots without an address", func(vm *dfpvm.VM) { vm.BackendAddress = "" }, true},
		{"no slots", func(vm *dfpvm.VM) { vm.Slots = 0 }, true},
		{"negative slots", func(vm *dfpvm.VM) { vm.Slots = math.MinInt }, false},
		{"more slots than ports", func(vm *dfpvm.VM) { vm.Slots = 65536 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			vm := dfpvm.VM{Address: "10.0.0.1:9000", Zone: "ost-1", Service: "ordering", BackendAddress: "10.0.0.1:9001", Slots: 10}
			tc.change(&vm)
			err := vm.Check()
			assert.Equal(t, err == nil, tc.valid, "%v", err)
			if !tc.valid {
				assert.ErrorIs(t, err, dfpvm.ErrInvalid)
			}
		})
	}
}
