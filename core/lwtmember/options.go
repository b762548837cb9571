package lwtmember

import "time"

// Options holds the timing parameters and limits of a Model.
type Options struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct ack before indirect probes are sent.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the wait for a refutation before a suspect member is
	// declared dead. It must exceed 5 s, the longest pause that a daemon may
	// survive without being declared dead.
	SuspicionTimeout time.Duration
	// PauseThreshold is the time between two ticks above which the daemon was
	// paused.
	PauseThreshold time.Duration
	// GossipInterval is the time between two gossip rounds, whose messages carry
	// only updates.
	GossipInterval time.Duration
	// ReconnectInterval is the time between two pings of addresses that are not
	// live members: dead members and peers known only from the VM list or the
	// settings.
	ReconnectInterval time.Duration
	// SyncInterval is the minimum time between two requests for a page of
	// another member's table.
	SyncInterval time.Duration
	// DeadRetention is the time for which dead members are kept and pinged. It
	// must exceed 1 h, the longest loss of connectivity between regions.
	DeadRetention time.Duration
	// IndirectProbes is the number of members asked to probe a member that did
	// not respond.
	IndirectProbes int
	// GossipFanout is the number of members contacted in each gossip round.
	GossipFanout int
	// MaxMessageMembers bounds the member records in one message.
	MaxMessageMembers int
	// MaxMessageMetadataBytes bounds the encoded metadata in one message.
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
