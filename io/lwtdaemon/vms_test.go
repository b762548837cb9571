package lwtdaemon

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtplatform"
	"lacewingtide/io/lwtsetting"
	"lacewingtide/io/lwtstandin"
)

type fixedState struct{ state lwtdeclaredstate.State }

func (fixed fixedState) State() (lwtdeclaredstate.State, bool) { return fixed.state, true }

// TestVMListNamesLeavingBackends guards against requests to a backend server whose VM is
// leaving, and against backend servers that are treated as daemons.
func TestVMListNamesLeavingBackends(t *testing.T) {
	platform := lwtstandin.NewPlatform()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() { _ = platform.Serve(listener) }()
	platform.SetVMs([]lwtplatform.VM{
		{Name: "engine-1", Address: "10.0.0.1", State: "leaving"},
		{Name: "engine-2", Address: "10.0.0.2", State: "live"},
		{Name: "shop-1", Address: "10.0.0.3:80", State: "leaving"},
		{Name: "entry-2", Address: "10.0.0.4:9200", State: "live"},
	})
	state := lwtdeclaredstate.New().WithChange(lwtdeclaredstate.Change{
		Revision: 1,
		Engines:  []lwtdeclaredstate.Engine{{Name: "e1", Address: "10.0.0.1:9000"}, {Name: "e2", Address: "10.0.0.2:9000"}},
		Services: []lwtdeclaredstate.Service{{Name: "shop", BackendServers: []lwtdeclaredstate.BackendServer{
			{Address: "10.0.0.3:80"}, {Address: "10.0.0.3:81"},
		}}},
	})
	settings := lwtsetting.Default()
	settings.Name, settings.PeerAddress, settings.EntryAddress = "entry-1", "127.0.0.1:1", "127.0.0.1:2"
	_, members := newMembers(settings, Listeners{}, fixedState{state},
		lwtplatform.New(listener.Addr().String(), time.Second), log.NewNopLogger())
	members.readVMs(context.Background())
	for address, want := range map[string]bool{
		"10.0.0.1:9000": true, "10.0.0.2:9000": false, "10.0.0.3:80": true, "10.0.0.3:81": false,
	} {
		if got := members.BackendLeaving(address); got != want {
			t.Errorf("leaving %s: %t, want %t", address, got, want)
		}
	}
	if len(members.listedPeers) != 1 {
		t.Errorf("treated as daemons: %v, want only 10.0.0.4:9200", members.listedPeers)
	}
}

// TestLeavingVMIsToldToOthers guards against daemons of a large fleet that send new
// requests to a leaving VM until they read the list themselves.
func TestLeavingVMIsToldToOthers(t *testing.T) {
	settings := lwtsetting.Default()
	settings.Name, settings.PeerAddress, settings.EntryAddress = "entry-1", "127.0.0.1:1", "127.0.0.1:2"
	_, members := newMembers(settings, Listeners{}, fixedState{}, nil, log.NewNopLogger())
	body, err := cbor.Marshal(leavingVMs{Addresses: []string{"10.0.0.1"}})
	if err != nil {
		t.Fatal(err)
	}
	members.receiveLeavingVMs("entry-2", body)
	if !members.BackendLeaving("10.0.0.1:9000") || members.BackendLeaving("10.0.0.2:9000") {
		t.Error("the reported VM is not treated as leaving, or another one is")
	}
	if added := newlyLeaving(map[string]bool{"a": true},
		map[string]bool{"a": true, "b": true, "c": false}); len(added) != 1 {
		t.Errorf("newly leaving %v, want b", added)
	}
}

// TestVMListIsReadOften guards against reading the VM list too rarely to detect a
// leaving VM within seconds, and against a read rate that grows with the fleet.
func TestVMListIsReadOften(t *testing.T) {
	for _, daemons := range []int{1, 4, 64, 370} {
		interval := vmListInterval(daemons)
		reads := float64(daemons) / interval.Seconds()
		if reads > 1.05*maxVMListReadsPerSecond || interval > minVMListInterval && reads < 0.95*maxVMListReadsPerSecond {
			t.Errorf("%d daemons read the VM list %.1f times per second, want the limit or, with few daemons, less",
				daemons, reads)
		}
	}
}
