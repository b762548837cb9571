package lwtdaemon

import (
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/io/lwtsetting"
)

// TestLoadIsTold guards against a request rate that is not published. Without it,
// entry addresses don't direct callers away from a busy daemon.
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
	daemon.publisher.publish(now)
	daemon.observer.requests.Add(10)
	daemon.publisher.publish(now.Add(requestRateInterval))
	for range 500 {
		model := daemon.members.Model()
		if metadata, found := model.Metadata(model.Self().Address); found && metadata.Values[requestRateKey] == 5 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the published request rate is not 5 requests/s")
}
