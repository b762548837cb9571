package lwtcommand_test

import (
	"context"
	"net"
	"strconv"
	"testing"

	"github.com/go-kit/log"
	"github.com/rogpeppe/go-internal/testscript"

	"lacewingtide/io/lwtcommand"
	"lacewingtide/io/lwtdaemon"
	"lacewingtide/io/lwtoperator"
	"lacewingtide/io/lwtsetting"
	"lacewingtide/io/lwtstandin"
)

const operatorKey = "operator-key-1"

// TestScripts guards against commands with a wrong exit code, output or effect.
// The scripts run the commands against one daemon and a stand-in platform.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits,
			"store": store,
		},
	})
}

// exits runs a command and checks its exit code, the first argument.
func exits(script *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	script.Check(err)
	if got := lwtcommand.Main(args[1:], script.Stdout(), script.Stderr()); got != want {
		script.Fatalf("exit code %d, want %d", got, want)
	}
}

// store makes the store unavailable ("down") or available again.
func store(script *testscript.TestScript, _ bool, args []string) {
	platform, found := script.Value(platformKey{}).(*lwtstandin.Platform)
	if !found {
		script.Fatalf("the script has no platform stand-in")
	}
	platform.SetFault(lwtstandin.PlatformFault{Down: args[0] == "down"})
}

type platformKey struct{}

func setUp(env *testscript.Env) error {
	platform := lwtstandin.NewPlatform()
	env.Values[platformKey{}] = platform
	listeners := make([]net.Listener, 4)
	for i := range listeners {
		var err error
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return err
		}
	}
	go func() { _ = platform.Serve(listeners[0]) }()
	settings := lwtsetting.Default()
	settings.Name, settings.AvailabilityZone, settings.PeerKey = "d1", "z1", "0123456789abcdef"
	settings.Platform.Address = listeners[0].Addr().String()
	settings.EntryAddress = listeners[1].Addr().String()
	settings.OperatorKeyHashes = []string{lwtoperator.HashKey(operatorKey)}
	daemon, err := lwtdaemon.New(settings, lwtdaemon.Listeners{
		Entry: listeners[1], Peer: listeners[2], Operator: listeners[3],
	}, log.NewNopLogger())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	env.Defer(stop)
	go func() { _ = daemon.Run(ctx) }()
	env.Setenv("DAEMON", listeners[3].Addr().String())
	return nil
}
