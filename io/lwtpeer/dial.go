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

	"lacewingtide/io/lwtlog"
)

const (
	minBackoff  = 250 * time.Millisecond
	maxFailures = 16
	// maxWaiting bounds the messages that wait for one dial.
	maxWaiting = 16
	// forgetDialling is the time after which a failed address is forgotten.
	forgetDialling = 10 * time.Minute
)

var buffers sync.Pool

// dialling is what is known of the dials to one address.
type dialling struct {
	active   bool
	failures int
	notUntil time.Time
	waiting  [][]byte
}

// dialFor keeps a message for an address and dials it, unless the last dial
// failed a moment ago.
func (network *Network) dialFor(address string, raw []byte) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	now := time.Now()
	state, found := network.dialling[address]
	if !found {
		network.forgetFailed(now)
		state = &dialling{}
		network.dialling[address] = state
	}
	if len(state.waiting) >= maxWaiting || !state.active && now.Before(state.notUntil) || network.context.Err() != nil {
		return false
	}
	state.waiting = append(state.waiting, raw)
	if !state.active {
		state.active = true
		go network.dial(address, state)
	}
	return true
}

func (network *Network) forgetFailed(now time.Time) {
	for address, state := range network.dialling {
		if !state.active && now.Sub(state.notUntil) > forgetDialling {
			delete(network.dialling, address)
		}
	}
}

func (network *Network) dial(address string, state *dialling) {
	select {
	case network.dials <- struct{}{}:
	case <-network.context.Done():
		return
	}
	link, err := network.dialLink(address)
	<-network.dials
	if err != nil {
		network.dialFailed(address, state, err)
		return
	}
	network.mutex.Lock()
	waiting := state.waiting
	state.waiting, state.active, state.failures = nil, false, 0
	network.links[address] = link
	network.mutex.Unlock()
	for _, raw := range waiting {
		link.offer(raw)
	}
	link.serve()
}

func (network *Network) dialFailed(address string, state *dialling, err error) {
	network.counters.DialsFailed.Add(1)
	network.mutex.Lock()
	network.counters.MessagesDropped.Add(int64(len(state.waiting)))
	state.waiting, state.active = nil, false
	state.failures = min(state.failures+1, maxFailures)
	state.notUntil = time.Now().Add(backoff(state.failures, network.options.MaxBackoff))
	failures := state.failures
	network.mutex.Unlock()
	if errors.Is(err, ErrAuthentication) || errors.Is(err, ErrVersionMismatch) || failures == 1 {
		lwtlog.Warn(network.options.Logger, "peer-dial-failed", "address", address, "err", err)
	}
}

// backoff returns a wait that doubles with each failure, with jitter of half.
func backoff(failures int, most time.Duration) time.Duration {
	wait := min(minBackoff<<(failures-1), most)
	return wait/2 + time.Duration(rand.Int64N(int64(wait/2)+1))
}

func (network *Network) dialLink(address string) (*link, error) {
	network.counters.Dials.Add(1)
	ctx, cancel := context.WithTimeout(network.context, network.options.DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{
		NetDialContext:  network.dialTCP,
		ReadBufferSize:  bufferBytes,
		WriteBufferSize: bufferBytes,
		WriteBufferPool: &buffers,
	}
	socket, response, err := dialer.DialContext(ctx, "ws://"+address+path, http.Header{})
	if response != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	if err := socket.NetConn().SetDeadline(time.Now().Add(network.options.DialTimeout)); err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	identity, err := greetAsDialer(socket, network.options.Identity, network.options.Key)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	// A daemon that names another address than the one dialled is still
	// reached at that address.
	identity.Address = address
	return network.newLink(socket, identity, true), nil
}

func (network *Network) dialTCP(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, &network.counters}, nil
}
