package dfpnode_test

import (
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpdeployment"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfproster"
)

// TestAcceptingAddressIsNoNode guards against a VM that counts as up because something accepts connections at
// its address, such as a forwarder in front of a dead process, although no node answers there.
func TestAcceptingAddressIsNoNode(t *testing.T) {
	d, err := dfpdeployment.Start(dfpdeployment.Config{
		Zones:    []dfpdeployment.Zone{{Name: "ost-1", Region: "ost"}, {Name: "ost-2", Region: "ost"}},
		Services: []dfpdeployment.Service{{PerZone: 2, Backend: dfpbackendserver.Config{Service: "catalogue", Slots: 10}}},
		Rules:    []byte(rulesWithoutKey), Seed: 1,
	})
	assert.NilError(t, err)
	defer d.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dead := dfpvm.VM{
		Address: listener.Addr().String(), Zone: "ost-1", Region: "ost", Service: "catalogue", Slots: 10,
		Incarnation: 7, Sequence: 7,
	}
	value, err := cbor.Marshal(dead)
	assert.NilError(t, err)
	client := dfpplatform.New(dfpplatform.Config{URL: d.PlatformURL})
	defer client.Close()
	entry, err := client.CompareAndSwap(t.Context(), dfpplatform.Write{Key: dfproster.Key(dead), Value: value})
	assert.NilError(t, err)
	isUp := func() bool {
		for _, member := range d.VMs[0].Node.State().Roster {
			if member.VM.Address == dead.Address {
				return member.State == dfproster.StateUp
			}
		}
		return false
	}
	assert.Assert(t, waitFor(isUp), "the VM of the platform's entry is not up in the roster")
	// Deletes the entry, as the platform does when the lease of a dead process expires.
	_, err = client.CompareAndSwap(t.Context(), dfpplatform.Write{Key: dfproster.Key(dead), Expected: entry.Revision, Delete: true})
	assert.NilError(t, err)
	assert.Assert(t, waitFor(func() bool { return !isUp() }), "a VM without a node is still up in the roster")
}

// waitFor waits until a condition holds and reports whether it did within 15 s.
func waitFor(condition func() bool) bool {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
