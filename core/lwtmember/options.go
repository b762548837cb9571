package lwtmember

import "time"

// Options are the timings and bounds of a Model.
type Options struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct answer before others are asked.
	ProbeTimeout time.Duration
	// SuspicionTime is the wait for a refutation. It exceeds the longest pause
	// of a daemon that is not to be declared lost (5 s).
	SuspicionTime time.Duration
	// PauseGap is the time between two ticks that shows a pause.
	PauseGap time.Duration
	// GossipInterval is the time between two messages that carry only updates.
	GossipInterval time.Duration
	// ReconnectInterval is the time between two probes of members that are
	// dead or that only the VM list names.
	ReconnectInterval time.Duration
	// SyncInterval is the least time between two requests for a page of
	// another member's table.
	SyncInterval time.Duration
	// ForgetTime is the time that dead members are remembered and retried.
	// It exceeds the longest loss of contact between regions (1 h).
	ForgetTime time.Duration
	// Indirect is the number of members asked to probe a silent one.
	Indirect int
	// GossipFanout is the number of members that each gossip round reaches.
	GossipFanout int
	// MaxMembers bounds the member records of one message.
	MaxMembers int
	// MaxDigestBytes bounds the digests of one message.
	MaxDigestBytes int
}

// DefaultOptions returns the options for daemons on real networks.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:     time.Second,
		ProbeTimeout:      400 * time.Millisecond,
		SuspicionTime:     6 * time.Second,
		PauseGap:          2 * time.Second,
		GossipInterval:    200 * time.Millisecond,
		ReconnectInterval: 5 * time.Second,
		SyncInterval:      500 * time.Millisecond,
		ForgetTime:        2 * time.Hour,
		Indirect:          2,
		GossipFanout:      2,
		MaxMembers:        12,
		MaxDigestBytes:    2048,
	}
}
