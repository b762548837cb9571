package lwtscorerouter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingtide/core/lwtdeclaredstate"
)

// maxCandidates bounds the engines of one model that one daemon uses, so that
// polling and decisions do not grow with the fleet.
const maxCandidates = 32

// subset returns the engines that this daemon uses for a model, chosen by
// rendezvous hashing. Every role keeps its share of the subset, so that a
// daemon never lacks the engines of one phase.
func (view *View) subset(names []string) []int32 {
	indexes := make([]int32, 0, len(names))
	for _, name := range names {
		indexes = append(indexes, view.index[name])
	}
	if len(indexes) <= maxCandidates {
		return indexes
	}
	var chosen []int32
	for _, role := range []lwtdeclaredstate.Role{lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed} {
		chosen = append(chosen, view.ranked(indexes, role)...)
	}
	slices.Sort(chosen)
	return chosen
}

func (view *View) ranked(indexes []int32, role lwtdeclaredstate.Role) []int32 {
	var ranked []int32
	for _, i := range indexes {
		if view.engines[i].declared.Role == role {
			ranked = append(ranked, i)
		}
	}
	rank := make(map[int32]uint64, len(ranked))
	for _, i := range ranked {
		rank[i] = xxhash.Sum64String(view.name + "\x00" + view.engines[i].name)
	}
	slices.SortFunc(ranked, func(a, b int32) int { return cmp.Compare(rank[a], rank[b]) })
	share := maxCandidates * len(ranked) / len(indexes)
	return ranked[:min(len(ranked), max(1, share))]
}
