// Package dfpvm describes a VM to the other nodes: the address of its node, its availability zone and its
// backend server.
//
// # Usage
//
//	vm := dfpvm.VM{Address: "10.0.3.7:9000", Zone: "ost-1", Region: "ost", Service: "ordering"}
package dfpvm

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
