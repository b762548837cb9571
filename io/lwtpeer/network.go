package lwtpeer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"lacewingtide/io/lwtlog"
)

// Errors of Send.
var (
	// ErrUnknownMember reports that no live member has the given name.
	ErrUnknownMember = fmt.Errorf("no live member with this name")
	// ErrDropped reports that a message was dropped because the peer's queue is full or the
	// peer can't be reached.
	ErrDropped = fmt.Errorf("message dropped")
)

// Directory lists the live members and their addresses.
type Directory interface {
	// Address returns the peer address (IP:port) of a live member, or false if there is no
	// such member.
	Address(name string) (string, bool)
	// Names returns the names of the live members except this daemon, sorted.
	Names() []string
}

// Handler handles the messages of one kind. Body is CBOR; the handler must not retain it and
// must not block.
type Handler func(from Identity, body []byte)

// Network manages a daemon's connections to its peers. It is safe for concurrent use.
type Network struct {
	options  Options
	counters Counters
	context  context.Context
	stop     context.CancelFunc
	// dialSlots and handshakeSlots limit the dials in progress and the handshakes in
	// progress of incoming connections.
	dialSlots      chan struct{}
	handshakeSlots chan struct{}

	mutex           sync.RWMutex
	key             []byte
	directory       Directory
	handlers        map[string]Handler
	connections     map[string]*connection
	dialStates      map[string]*dialState
	openConnections map[*connection]bool
}

// New returns a network without open connections.
func New(options Options) *Network {
	ctx, stop := context.WithCancel(context.Background())
	return &Network{
		options:         options,
		key:             options.Key,
		context:         ctx,
		stop:            stop,
		dialSlots:       make(chan struct{}, options.MaxDials),
		handshakeSlots:  make(chan struct{}, options.MaxDials),
		directory:       StaticDirectory{},
		handlers:        map[string]Handler{},
		connections:     map[string]*connection{},
		dialStates:      map[string]*dialState{},
		openConnections: map[*connection]bool{},
	}
}

// SetKey sets the key that all daemons share, for connections that are opened from now on.
func (network *Network) SetKey(key []byte) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.key = key
}

func (network *Network) currentKey() []byte {
	network.mutex.RLock()
	defer network.mutex.RUnlock()
	return network.key
}

// SetDirectory sets the directory of live members. It must be called before Send.
func (network *Network) SetDirectory(directory Directory) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.directory = directory
}

// Handle sets the handler for messages of a kind. From is the sender's name and body is CBOR.
// The handler must not retain body and must not block.
func (network *Network) Handle(kind string, handle func(from string, body []byte)) {
	network.HandleWithIdentity(kind, func(from Identity, body []byte) { handle(from.Name, body) })
}

// HandleWithIdentity is like Handle, but passes the sender's whole identity to the handler.
func (network *Network) HandleWithIdentity(kind string, handler Handler) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.handlers[kind] = handler
}

// Members returns the names of the live members except this daemon, sorted.
func (network *Network) Members() []string {
	network.mutex.RLock()
	defer network.mutex.RUnlock()
	return network.directory.Names()
}

// Counters returns the network's counters, which keep changing.
func (network *Network) Counters() *Counters { return &network.counters }

// Send queues a message to a live member. Delivery is not guaranteed even if it returns no
// error. It returns ErrUnknownMember or ErrDropped.
func (network *Network) Send(member, kind string, body any) error {
	network.mutex.RLock()
	address, found := network.directory.Address(member)
	network.mutex.RUnlock()
	if !found {
		return fmt.Errorf("%w: %s", ErrUnknownMember, member)
	}
	return network.SendTo(address, kind, body)
}

// SendTo queues a message to a peer address (IP:port), which it dials if it is not connected.
func (network *Network) SendTo(address, kind string, body any) error {
	raw, err := encodeMessage(kind, body)
	if err != nil {
		return err
	}
	if !network.enqueue(address, raw) {
		return fmt.Errorf("%w: %s to %s", ErrDropped, kind, address)
	}
	return nil
}

// Broadcast queues a message to all live members and returns the number of members for which
// it was dropped.
func (network *Network) Broadcast(kind string, body any) (dropped int, err error) {
	raw, err := encodeMessage(kind, body)
	if err != nil {
		return 0, err
	}
	return network.multicast(network.Members(), raw), nil
}

// Multicast queues a message to the given members and returns the number of members for which
// it was dropped.
func (network *Network) Multicast(members []string, kind string, body any) (dropped int, err error) {
	raw, err := encodeMessage(kind, body)
	if err != nil {
		return 0, err
	}
	return network.multicast(members, raw), nil
}

func (network *Network) multicast(members []string, raw []byte) (dropped int) {
	network.mutex.RLock()
	directory := network.directory
	network.mutex.RUnlock()
	for _, member := range members {
		if address, found := directory.Address(member); !found || !network.enqueue(address, raw) {
			dropped++
		}
	}
	return dropped
}

// enqueue queues a message to an address and reports whether it was queued.
func (network *Network) enqueue(address string, raw []byte) bool {
	network.mutex.RLock()
	connection, found := network.connections[address]
	network.mutex.RUnlock()
	if found && connection.tryEnqueue(raw) || !found && network.enqueueAndDial(address, raw) {
		return true
	}
	network.counters.MessagesDropped.Add(1)
	return false
}

// Close closes all connections and cancels dials.
func (network *Network) Close() {
	network.stop()
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for connection := range network.openConnections {
		connection.close()
	}
}

func (network *Network) register(connection *connection) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.openConnections[connection] = true
	network.connections[connection.peer.Address] = connection
	if network.context.Err() != nil {
		connection.close()
	}
}

// unregister removes a connection. Another open connection to the same address takes its place.
func (network *Network) unregister(connection *connection) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	delete(network.openConnections, connection)
	if network.connections[connection.peer.Address] != connection {
		return
	}
	delete(network.connections, connection.peer.Address)
	for candidate := range network.openConnections {
		if candidate.peer.Address == connection.peer.Address {
			network.connections[connection.peer.Address] = candidate
		}
	}
}

func (network *Network) dispatch(peer Identity, raw []byte) {
	envelope, err := DecodeEnvelope(raw)
	if err != nil {
		network.counters.MessagesIgnored.Add(1)
		lwtlog.Debug(network.options.Logger, "peer-message-ignored", "peer", peer.Name, "err", err)
		return
	}
	network.mutex.RLock()
	handler, found := network.handlers[envelope.Type]
	network.mutex.RUnlock()
	if !found {
		network.counters.MessagesIgnored.Add(1)
		return
	}
	network.counters.MessagesReceived.Add(1)
	handler(peer, envelope.Body)
}

// Serve accepts peers' connections until the listener is closed.
func (network *Network) Serve(listener net.Listener) error {
	return network.server().Serve(countingListener{listener, &network.counters})
}
