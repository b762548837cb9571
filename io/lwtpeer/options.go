package lwtpeer

import (
	"time"

	"github.com/go-kit/log"
)

// Options configures a Network.
type Options struct {
	Identity Identity
	// Key is the key that all daemons share.
	Key    []byte
	Logger log.Logger
	// KeepAliveInterval is the time without a frame sent after which a ping is sent.
	KeepAliveInterval time.Duration
	// SilenceTimeout is the time without a received frame after which a connection is closed.
	SilenceTimeout time.Duration
	// IdleTimeout is the time without a message in either direction after which the daemon
	// that dialled closes a connection.
	IdleTimeout time.Duration
	// DialTimeout is the timeout of a dial, and again of the handshake that follows.
	DialTimeout time.Duration
	// MaxBackoff is the maximum delay between two dials of one address.
	MaxBackoff time.Duration
	// MaxDials is the maximum number of dials in progress, and also of incoming handshakes in
	// progress, so that many peers reconnecting at once do not overload the daemon.
	MaxDials int
	// MaxQueue is the maximum number of messages queued for one connection.
	MaxQueue int
	// MaxConnections is the number of open connections, in both directions, at which incoming
	// ones are refused.
	MaxConnections int
}

// DefaultOptions returns the options that daemons use in production.
func DefaultOptions(identity Identity, key []byte, logger log.Logger) Options {
	return Options{
		Identity:          identity,
		Key:               key,
		Logger:            logger,
		KeepAliveInterval: time.Second,
		// A connection must be replaced within 3 s of falling silent.
		SilenceTimeout: 2500 * time.Millisecond,
		IdleTimeout:    20 * time.Second,
		DialTimeout:    time.Second,
		MaxBackoff:     5 * time.Second,
		MaxDials:       8,
		MaxQueue:       64,
		MaxConnections: 2048,
	}
}
