package lwtdaemon

import (
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/io/lwtsetting"
)

// TestLoadIsTold guards against address answers that know no load: without it,
// callers are not spread away from a busy daemon.
func TestLoadIsTold(t *testing.T) {
	var listeners Listeners
	for _, listener := range []*net.Listener{&listeners.Entry, &listeners.Peer, &listeners.Operator} {
		var err error
		if *listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = (*listener).Close() }()
	}
	settings := lwtsetting.Default()
	settings.Name, settings.AvailabilityZone, settings.PeerKey = "entry-1", "zone-a", "0123456789abcdef"
	settings.Platform.Address = "127.0.0.1:1"
	daemon, err := New(settings, listeners, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = daemon.members.loop.Serve(t.Context()) }()
	now := time.Now()
	daemon.join.pass(now)
	daemon.observer.requests.Add(10)
	daemon.join.pass(now.Add(loadInterval))
	for range 500 {
		model := daemon.members.Model()
		if digest, found := model.Metadata(model.Self().Address); found && digest.Values[loadKey] == 5 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the digest does not tell 5 requests/s")
}
