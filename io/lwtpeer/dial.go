package lwtpeer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fasthttp/websocket"

	"lacewingtide/io/lwthttp"
	"lacewingtide/io/lwtlog"
)

const (
	minBackoff  = 250 * time.Millisecond
	maxFailures = 16
	// maxQueuedPerDial is the maximum number of messages queued during one dial.
	maxQueuedPerDial = 16
	// dialStateTTL is how long the failures of an address are remembered after its backoff.
	dialStateTTL = 10 * time.Minute
)

var writeBufferPool sync.Pool

// dialState is the state of the dials to one address.
type dialState struct {
	inProgress bool
	failures   int
	retryAt    time.Time
	// queued holds the messages to send once the dial succeeds.
	queued [][]byte
}

// enqueueAndDial queues a message for an address and dials it. It reports false if the
// address is in backoff after a failed dial, or if the queue is full.
func (network *Network) enqueueAndDial(address string, raw []byte) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	now := time.Now()
	state, found := network.dialStates[address]
	if !found {
		network.pruneDialStates(now)
		state = &dialState{}
		network.dialStates[address] = state
	}
	if len(state.queued) >= maxQueuedPerDial || !state.inProgress && now.Before(state.retryAt) ||
		network.context.Err() != nil {
		return false
	}
	state.queued = append(state.queued, raw)
	if !state.inProgress {
		state.inProgress = true
		go network.dial(address, state)
	}
	return true
}

// pruneDialStates removes expired dial states.
func (network *Network) pruneDialStates(now time.Time) {
	for address, dialState := range network.dialStates {
		if !dialState.inProgress && now.Sub(dialState.retryAt) > dialStateTTL {
			delete(network.dialStates, address)
		}
	}
}

func (network *Network) dial(address string, dialState *dialState) {
	select {
	case network.dialSlots <- struct{}{}:
	case <-network.context.Done():
		return
	}
	connection, err := network.dialConnection(address)
	<-network.dialSlots
	if err != nil {
		network.recordDialFailure(address, dialState, err)
		return
	}
	network.mutex.Lock()
	queued := dialState.queued
	dialState.queued, dialState.inProgress, dialState.failures = nil, false, 0
	network.connections[address] = connection
	network.mutex.Unlock()
	for _, raw := range queued {
		connection.tryEnqueue(raw)
	}
	connection.run()
}

func (network *Network) recordDialFailure(address string, dialState *dialState, err error) {
	network.counters.DialsFailed.Add(1)
	network.mutex.Lock()
	network.counters.MessagesDropped.Add(int64(len(dialState.queued)))
	dialState.queued, dialState.inProgress = nil, false
	dialState.failures = min(dialState.failures+1, maxFailures)
	dialState.retryAt = time.Now().Add(backoff(dialState.failures, network.options.MaxBackoff))
	failures := dialState.failures
	network.mutex.Unlock()
	if errors.Is(err, ErrAuthentication) || errors.Is(err, ErrVersionMismatch) || failures == 1 {
		lwtlog.Warn(network.options.Logger, "peer-dial-failed", "address", address, "err", err)
	}
}

// backoff returns a delay that doubles with each failure up to limit, half of it random.
func backoff(failures int, limit time.Duration) time.Duration {
	delay := min(minBackoff<<(failures-1), limit)
	return delay/2 + time.Duration(rand.Int64N(int64(delay/2)+1))
}

func (network *Network) dialConnection(address string) (*connection, error) {
	network.counters.Dials.Add(1)
	ctx, cancel := context.WithTimeout(network.context, network.options.DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{
		NetDialContext:  network.dialTCP,
		ReadBufferSize:  socketBufferBytes,
		WriteBufferSize: socketBufferBytes,
		WriteBufferPool: &writeBufferPool,
	}
	socket, response, err := dialer.DialContext(ctx, "ws://"+address+peerPath, http.Header{})
	if response != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	if err := socket.NetConn().SetDeadline(time.Now().Add(network.options.DialTimeout)); err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	identity, err := handshakeAsDialer(socket, network.options.Identity, network.currentKey())
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	// Messages are queued by the dialled address, even if the peer reports a different one.
	identity.Address = address
	return network.newConnection(socket, identity, true), nil
}

func (network *Network) dialTCP(ctx context.Context, networkName, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, networkName, address)
	if err != nil {
		return nil, err
	}
	return lwthttp.CheckUpgrade(countingConn{conn, &network.counters}), nil
}
