package lwtquarantine

import (
	"cmp"
	"slices"
	"time"
)

// breakTie makes the quarantine of a key certain if the others that explain the same crashes
// are lifted.
func (quarantine *Quarantine) breakTie(tieID uint64) {
	var active *heldEntry
	lifted := false
	for _, held := range quarantine.entries {
		switch {
		case tieID == 0 || held.TieID != tieID:
		case held.Lifted:
			lifted = true
		case active != nil:
			return
		default:
			active = held
		}
	}
	if active != nil && lifted {
		active.TieID = 0
		active.Entry = active.withProbeTime(active.quarantinedAt())
	}
}

// tieRequests ties a request, if it is in quarantine, with those that were at the same crashed
// servers. Daemons that see different requests at a crash may each quarantine one.
func (quarantine *Quarantine) tieRequests(key Key) {
	if held := quarantine.entries[key]; held == nil || !held.mayBeTied() {
		return
	}
	var tied []*heldEntry
	for _, held := range quarantine.entries {
		if held.mayBeTied() && (held.Key == key || quarantine.crashes.shared(key, held.Key) >= minCrashes) {
			tied = append(tied, held)
		}
	}
	if len(tied) < 2 {
		return
	}
	slices.SortFunc(tied, func(a, b *heldEntry) int { return cmp.Compare(a.ID, b.ID) })
	tieID := weight("", tied[0].Key)
	for i, held := range tied {
		held.TieID = tieID
		held.Entry = held.withProbeTime(held.quarantinedAt())
		held.ProbeAt = held.ProbeAt.Add(time.Duration(i) * probeSeparation)
	}
}

// mayBeTied reports whether the entry is of a request that was not probed yet.
func (held *heldEntry) mayBeTied() bool {
	return held.Kind == Request && !held.Lifted && held.Revision == 1
}

// quarantinedAt returns when the key was put in quarantine.
func (entry Entry) quarantinedAt() time.Time { return entry.ExpiresAt.Add(-entryTTL) }
