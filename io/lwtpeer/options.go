package lwtpeer

import (
	"time"

	"github.com/go-kit/log"
)

// Options describe the connections of one daemon.
type Options struct {
	Identity Identity
	// Key is the secret that all daemons share.
	Key    []byte
	Logger log.Logger
	// KeepAliveInterval is the longest time without a frame to a peer.
	KeepAliveInterval time.Duration
	// SilenceTimeout is the time without a frame from a peer after which the
	// connection counts as lost.
	SilenceTimeout time.Duration
	// IdleTimeout is the time without a message after which the daemon that
	// dialled closes a connection.
	IdleTimeout time.Duration
	// DialTimeout bounds the time from the dial to the end of the hello.
	DialTimeout time.Duration
	// MaxBackoff bounds the wait between two dials of one address.
	MaxBackoff time.Duration
	// MaxDials bounds the dials in progress, and the hellos in progress of
	// those who dial, so that many peers that return together do not overload the daemon.
	MaxDials int
	// MaxQueue bounds the messages that wait for one peer.
	MaxQueue int
	// MaxConnections bounds the connections that others have opened.
	MaxConnections int
}

// DefaultOptions returns the options for daemons on real networks.
func DefaultOptions(identity Identity, key []byte, logger log.Logger) Options {
	return Options{
		Identity:          identity,
		Key:               key,
		Logger:            logger,
		KeepAliveInterval: time.Second,
		// A lost connection must be replaced within 3 s of its silence.
		SilenceTimeout: 2500 * time.Millisecond,
		IdleTimeout:    20 * time.Second,
		DialTimeout:    time.Second,
		MaxBackoff:     5 * time.Second,
		MaxDials:       8,
		MaxQueue:       64,
		MaxConnections: 2048,
	}
}
