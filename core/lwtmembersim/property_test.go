package lwtmembersim_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtmember"
	"lacewingtide/core/lwtmembersim"
)

// TestMembersConverge guards against a combination of failures after which daemons that
// can reach each other do not agree on which members are alive.
func TestMembersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 8).Draw(t, "members")
		cluster := lwtmembersim.New(options(members, 3, rapid.Uint64().Draw(t, "seed")))
		if _, err := cluster.StartAll(time.Minute); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 8).Draw(t, "failures") {
			injectFailure(t, cluster, members)
			cluster.Run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "wait")) * time.Millisecond)
		}
		cluster.Heal()
		if took, agreed := cluster.RunUntil(3*time.Minute, func() bool { return cluster.CheckAgreement() == nil }); !agreed {
			t.Fatalf("after %s: %v", took, cluster.CheckAgreement())
		}
	})
}

func injectFailure(t *rapid.T, cluster *lwtmembersim.Cluster, members int) {
	all := make([]string, members)
	for index := range all {
		all[index] = lwtmembersim.Address(index)
	}
	index := rapid.IntRange(0, members-1).Draw(t, "daemon")
	other := rapid.IntRange(0, members-1).Draw(t, "other")
	switch rapid.SampledFrom([]string{"kill", "pause", "cut", "replace", "behind", "leave", "heal"}).Draw(t, "failure") {
	case "kill":
		cluster.Kill(all[index])
	case "pause":
		cluster.Pause(all[index], time.Duration(rapid.IntRange(1, 60).Draw(t, "pause"))*time.Second)
	case "cut":
		cluster.CutLink(all[index], all[other])
	case "replace":
		cluster.Kill(all[index])
		cluster.Start(index, all, false)
	case "behind":
		cluster.Kill(all[index])
		cluster.Start(index, all, true)
	case "leave":
		cluster.Dispatch(all[index], lwtmember.Leave{})
	case "heal":
		cluster.Heal()
	}
}
