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
	// ErrUnknownMember reports a name that no live member has.
	ErrUnknownMember = fmt.Errorf("no live member of this name")
	// ErrDropped reports a message that found a full queue, or a peer that
	// can't be reached now.
	ErrDropped = fmt.Errorf("message dropped")
)

// Directory knows the live members.
type Directory interface {
	// Address returns the peer address of a live member.
	Address(name string) (string, bool)
	// Names returns the names of the live members but this daemon, sorted.
	Names() []string
}

// Handler takes the messages of one kind. It must not block, and must not keep
// body, which is CBOR.
type Handler func(from Identity, body []byte)

// Network holds a daemon's connections to its peers. It is safe for concurrent
// use.
type Network struct {
	options   Options
	counters  Counters
	context   context.Context
	stop      context.CancelFunc
	dials     chan struct{}
	greetings chan struct{}

	mutex     sync.RWMutex
	directory Directory
	handlers  map[string]Handler
	links     map[string]*link
	dialling  map[string]*dialling
	opened    map[*link]bool
}

// New returns the connections of a daemon, none open yet.
func New(options Options) *Network {
	ctx, stop := context.WithCancel(context.Background())
	return &Network{
		options:   options,
		context:   ctx,
		stop:      stop,
		dials:     make(chan struct{}, options.MaxDials),
		greetings: make(chan struct{}, options.MaxDials),
		directory: StaticDirectory{},
		handlers:  map[string]Handler{},
		links:     map[string]*link{},
		dialling:  map[string]*dialling{},
		opened:    map[*link]bool{},
	}
}

// SetDirectory sets who knows the live members. It is called before any Send.
func (network *Network) SetDirectory(directory Directory) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.directory = directory
}

// Handle sets who takes the messages of a kind. From is the sender's name, and
// body, which is CBOR, must not be kept. Handle must not block.
func (network *Network) Handle(kind string, handle func(from string, body []byte)) {
	network.HandleWithIdentity(kind, func(from Identity, body []byte) { handle(from.Name, body) })
}

// HandleWithIdentity is like Handle, for those who need the sender's address.
func (network *Network) HandleWithIdentity(kind string, handler Handler) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.handlers[kind] = handler
}

// Members returns the names of the live members but this daemon, sorted.
func (network *Network) Members() []string {
	network.mutex.RLock()
	defer network.mutex.RUnlock()
	return network.directory.Names()
}

// Counters returns what has happened so far.
func (network *Network) Counters() *Counters { return &network.counters }

// Send queues a message to a live member. No error does not mean that the
// message arrives.
func (network *Network) Send(member, kind string, body any) error {
	network.mutex.RLock()
	address, found := network.directory.Address(member)
	network.mutex.RUnlock()
	if !found {
		return fmt.Errorf("%w: %s", ErrUnknownMember, member)
	}
	return network.SendTo(address, kind, body)
}

// SendTo queues a message to a peer address and dials it if need be.
func (network *Network) SendTo(address, kind string, body any) error {
	raw, err := encode(kind, body)
	if err != nil {
		return err
	}
	if !network.queue(address, raw) {
		return fmt.Errorf("%w: %s to %s", ErrDropped, kind, address)
	}
	return nil
}

// Broadcast queues a message to all live members and returns to how many of
// them it could not be queued.
func (network *Network) Broadcast(kind string, body any) (dropped int, err error) {
	raw, err := encode(kind, body)
	if err != nil {
		return 0, err
	}
	return network.multicast(network.Members(), raw), nil
}

// Multicast queues a message to some live members and returns to how many of them
// it could not be queued.
func (network *Network) Multicast(members []string, kind string, body any) (dropped int, err error) {
	raw, err := encode(kind, body)
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
		if address, found := directory.Address(member); !found || !network.queue(address, raw) {
			dropped++
		}
	}
	return dropped
}

// queue reports whether a message waits to be sent.
func (network *Network) queue(address string, raw []byte) bool {
	network.mutex.RLock()
	link, found := network.links[address]
	network.mutex.RUnlock()
	if found && link.offer(raw) || !found && network.dialFor(address, raw) {
		return true
	}
	network.counters.MessagesDropped.Add(1)
	return false
}

// Close ends all connections and dials.
func (network *Network) Close() {
	network.stop()
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for link := range network.opened {
		link.close()
	}
}

func (network *Network) register(link *link) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.opened[link] = true
	network.links[link.peer.Address] = link
	if network.context.Err() != nil {
		link.close()
	}
}

func (network *Network) unregister(link *link) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	delete(network.opened, link)
	if network.links[link.peer.Address] != link {
		return
	}
	delete(network.links, link.peer.Address)
	for other := range network.opened {
		if other.peer.Address == link.peer.Address {
			network.links[link.peer.Address] = other
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

// Serve accepts connections of peers until the listener is closed.
func (network *Network) Serve(listener net.Listener) error {
	return network.server().Serve(countedListener{listener, &network.counters})
}
