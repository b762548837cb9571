package lwtmembersim_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtmember"
	"lacewingtide/core/lwtmembersim"
)

// TestMembersConverge guards against any combination of failures after which
// daemons that can reach each other do not agree on who is alive.
func TestMembersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 8).Draw(t, "members")
		fleet := lwtmembersim.New(options(members, 3, rapid.Uint64().Draw(t, "seed")))
		if _, err := fleet.StartAll(time.Minute); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 8).Draw(t, "failures") {
			fail(t, fleet, members)
			fleet.Run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "wait")) * time.Millisecond)
		}
		fleet.Heal()
		if took, agreed := fleet.RunUntil(3*time.Minute, func() bool { return fleet.CheckAgreement() == nil }); !agreed {
			t.Fatalf("after %s: %v", took, fleet.CheckAgreement())
		}
	})
}

func fail(t *rapid.T, fleet *lwtmembersim.Cluster, members int) {
	all := make([]string, members)
	for index := range all {
		all[index] = lwtmembersim.Address(index)
	}
	index := rapid.IntRange(0, members-1).Draw(t, "daemon")
	other := rapid.IntRange(0, members-1).Draw(t, "other")
	switch rapid.SampledFrom([]string{"kill", "pause", "cut", "replace", "behind", "leave", "heal"}).Draw(t, "failure") {
	case "kill":
		fleet.Kill(all[index])
	case "pause":
		fleet.Pause(all[index], time.Duration(rapid.IntRange(1, 60).Draw(t, "pause"))*time.Second)
	case "cut":
		fleet.CutLink(all[index], all[other])
	case "replace":
		fleet.Kill(all[index])
		fleet.Start(index, all, false)
	case "behind":
		fleet.Kill(all[index])
		fleet.Start(index, all, true)
	case "leave":
		fleet.Dispatch(all[index], lwtmember.Leave{})
	case "heal":
		fleet.Heal()
	}
}
