package lwtmember

import "time"

// Options are the timings and bounds of a Model.
type Options struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct answer before others are asked.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the wait for a refutation. It exceeds the longest pause
	// of a daemon that is not to be declared lost (5 s).
	SuspicionTimeout time.Duration
	// PauseThreshold is the time between two ticks that shows a pause.
	PauseThreshold time.Duration
	// GossipInterval is the time between two messages that carry only updates.
	GossipInterval time.Duration
	// ReconnectInterval is the time between two probes of members that are
	// dead or that only the VM list names.
	ReconnectInterval time.Duration
	// SyncInterval is the least time between two requests for a page of
	// another member's table.
	SyncInterval time.Duration
	// DeadRetention is the time that dead members are remembered and retried.
	// It exceeds the longest loss of contact between regions (1 h).
	DeadRetention time.Duration
	// IndirectProbes is the number of members asked to probe a silent one.
	IndirectProbes int
	// GossipFanout is the number of members that each gossip round reaches.
	GossipFanout int
	// MaxMessageMembers bounds the member records of one message.
	MaxMessageMembers int
	// MaxMessageMetadataBytes bounds the digests of one message.
	MaxMessageMetadataBytes int
}

// DefaultOptions returns the options for daemons on real networks.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:           time.Second,
		ProbeTimeout:            400 * time.Millisecond,
		SuspicionTimeout:        6 * time.Second,
		PauseThreshold:          2 * time.Second,
		GossipInterval:          200 * time.Millisecond,
		ReconnectInterval:       5 * time.Second,
		SyncInterval:            500 * time.Millisecond,
		DeadRetention:           2 * time.Hour,
		IndirectProbes:          2,
		GossipFanout:            2,
		MaxMessageMembers:       12,
		MaxMessageMetadataBytes: 2048,
	}
}
