// Package dfpvm describes a VM to the other nodes: the address of its node, its availability zone and its
// backend server.
//
// # Usage
//
//	vm := dfpvm.VM{Address: "10.0.3.7:9000", Zone: "ost-1", Region: "ost", Service: "ordering"}
//	err := vm.Check()
package dfpvm

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// ErrInvalid is wrapped by the errors of Check.
var ErrInvalid = errors.New("invalid VM")

// maxSlots is the largest number of slots of a backend server. Each request in progress has a connection of its own, and
// an address has no more ports.
const maxSlots = 65535

// VM is one backend server VM, as its node announces it.
type VM struct {
	// Address is host:port of the node's link listener; it identifies the VM.
	Address string `cbor:"address" json:"address"`
	Zone    string `cbor:"zone" json:"zone"`
	Region  string `cbor:"region" json:"region"`
	// Incarnation is a random number drawn when the process starts.
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
	// Sequence increases with each change that this incarnation announces.
	Sequence uint64 `cbor:"sequence" json:"sequence"`
	// Service is the backend server's service; empty if no backend server has announced itself.
	Service string `cbor:"service,omitempty" json:"service,omitempty"`
	// BackendAddress is host:port of the backend server, for drain rules and dumps.
	BackendAddress string `cbor:"backend_address,omitempty" json:"backend_address,omitempty"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `cbor:"slots,omitempty" json:"slots,omitempty"`
	// Draining reports that the VM takes no new work.
	Draining bool `cbor:"draining,omitempty" json:"draining,omitempty"`
	// Left reports that the process has stopped after a graceful shutdown.
	Left bool `cbor:"left,omitempty" json:"left,omitempty"`
}

// Check returns an error that wraps ErrInvalid if no node can have announced the VM, as in an entry of another writer.
func (vm *VM) Check() error {
	if vm.Zone == "" {
		return fmt.Errorf("%w: its zone is empty", ErrInvalid)
	}
	if err := checkAddress(vm.Address); err != nil {
		return err
	}
	if vm.BackendAddress != "" {
		if err := checkAddress(vm.BackendAddress); err != nil {
			return err
		}
	}
	return checkSlots(vm.Slots)
}

// CheckBackend returns an error that wraps ErrInvalid if no backend server can have the address and the slots.
func CheckBackend(address string, slots int) error {
	if slots == 0 {
		return fmt.Errorf("%w: its backend server has no slots", ErrInvalid)
	}
	if err := checkSlots(slots); err != nil {
		return err
	}
	return checkAddress(address)
}

func checkSlots(slots int) error {
	if slots < 0 || slots > maxSlots {
		return fmt.Errorf("%w: its backend server has %d slots", ErrInvalid, slots)
	}
	return nil
}

func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%w: address %q", ErrInvalid, address)
	}
	return nil
}
