package lwtscorerouter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingtide/core/lwtdeclaredstate"
)

// maxSubsetEngines limits how many engines of one model a daemon uses, so that
// the cost of polling and of a decision does not grow with the fleet.
const maxSubsetEngines = 32

// chooseSubset returns the engines that this daemon uses for a model, chosen by
// rendezvous hashing. Each role keeps its share of the engines and at least one,
// so that the subset can run both phases.
func (view *View) chooseSubset(names []string) []int32 {
	indexes := make([]int32, 0, len(names))
	for _, name := range names {
		indexes = append(indexes, view.indexByName[name])
	}
	if len(indexes) <= maxSubsetEngines {
		return indexes
	}
	var chosen []int32
	for _, role := range []lwtdeclaredstate.Role{
		lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed,
	} {
		chosen = append(chosen, view.rankedByRole(indexes, role)...)
	}
	slices.Sort(chosen)
	return chosen
}

// rankedByRole returns the engines of a role that belong to the subset, by
// increasing rendezvous hash.
func (view *View) rankedByRole(indexes []int32, role lwtdeclaredstate.Role) []int32 {
	var ranked []int32
	for _, i := range indexes {
		if view.engines[i].declared.Role == role {
			ranked = append(ranked, i)
		}
	}
	rank := make(map[int32]uint64, len(ranked))
	for _, i := range ranked {
		rank[i] = xxhash.Sum64String(view.daemonName + "\x00" + view.engines[i].name)
	}
	slices.SortFunc(ranked, func(a, b int32) int { return cmp.Compare(rank[a], rank[b]) })
	share := maxSubsetEngines * len(ranked) / len(indexes)
	return ranked[:min(len(ranked), max(1, share))]
}
