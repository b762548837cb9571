package lwtmembersim_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/core/lwtmember"
	"lacewingtide/core/lwtmembersim"
)

// frameBytes is the size of the WebSocket frame header and the envelope of a message.
const frameBytes = 40

func wireSize(_ lwtmember.Kind, gossip lwtmember.Gossip) int {
	body, err := cbor.Marshal(gossip)
	if err != nil {
		panic(err)
	}
	return len(body) + frameBytes
}

func options(members, zones int, seed uint64) lwtmembersim.Options {
	return lwtmembersim.Options{
		Members: members, AvailabilityZones: zones, Seed: seed, Latency: time.Millisecond,
		MessageSize: wireSize, MemberOptions: lwtmember.DefaultOptions(),
	}
}

// TestScripts runs the failure scenarios in testdata. The comment in each file says what
// it guards against. Three seeds vary the order of events.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", strings.TrimSuffix(filepath.Base(path), ".txtar"), seed), func(t *testing.T) {
				t.Parallel()
				runScript(t, archive, seed)
			})
		}
	}
}

func runScript(t *testing.T, archive *txtar.Archive, seed uint64) {
	t.Helper()
	settings := options(0, 0, seed)
	var script string
	for _, file := range archive.Files {
		switch file.Name {
		case "options":
			if _, err := fmt.Sscanf(string(file.Data), "members %d zones %d loss %g",
				&settings.Members, &settings.AvailabilityZones, &settings.Loss); err != nil && settings.AvailabilityZones == 0 {
				t.Fatal(err)
			}
		case "script":
			script = string(file.Data)
		}
	}
	if err := lwtmembersim.NewScript(lwtmembersim.New(settings)).Run(script); err != nil {
		t.Error(err)
	}
}
