package lwtpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
)

// ErrAuthentication reports a peer that does not know the shared key.
var ErrAuthentication = fmt.Errorf("the peer did not prove that it knows the shared key")

const (
	nonceBytes    = 16
	maxHelloBytes = 1 << 10
	// The labels keep one side's proof from serving as the other's.
	labelDialer   = "lacewingtide-peer-dialer"
	labelAcceptor = "lacewingtide-peer-acceptor"
)

// Identity says who a daemon is.
type Identity struct {
	Name string `cbor:"1,keyasint"`
	// Address is the peer address (IP:port).
	Address string `cbor:"2,keyasint"`
	Boot    uint64 `cbor:"3,keyasint"`
}

// hello opens a connection. Both sides send one.
type hello struct {
	Version  uint     `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
	Nonce    []byte   `cbor:"3,keyasint"`
}

// proof shows knowledge of the key. The acceptor's holds its hello too.
type proof struct {
	Hello []byte `cbor:"1,keyasint,omitempty"`
	MAC   []byte `cbor:"2,keyasint"`
}

// greetAsDialer proves the key to the acceptor and checks its proof.
func greetAsDialer(socket *websocket.Conn, self Identity, key []byte) (Identity, error) {
	mine, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	if err := socket.WriteMessage(websocket.BinaryMessage, mine); err != nil {
		return Identity{}, fmt.Errorf("send hello: %w", err)
	}
	var answer proof
	if err := readHello(socket, &answer); err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(answer.MAC, sum(key, labelAcceptor, mine, answer.Hello)) {
		return Identity{}, ErrAuthentication
	}
	identity, err := openHello(answer.Hello)
	if err != nil {
		return Identity{}, err
	}
	return identity, writeProof(socket, proof{MAC: sum(key, labelDialer, mine, answer.Hello)})
}

// greetAsAcceptor proves the key to the dialer and checks its proof.
func greetAsAcceptor(socket *websocket.Conn, self Identity, key []byte) (Identity, error) {
	theirs, err := readRaw(socket)
	if err != nil {
		return Identity{}, err
	}
	identity, err := openHello(theirs)
	if err != nil {
		return Identity{}, err
	}
	mine, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	if err := writeProof(socket, proof{Hello: mine, MAC: sum(key, labelAcceptor, theirs, mine)}); err != nil {
		return Identity{}, err
	}
	var answer proof
	if err := readHello(socket, &answer); err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(answer.MAC, sum(key, labelDialer, theirs, mine)) {
		return Identity{}, ErrAuthentication
	}
	return identity, nil
}

func newHello(self Identity) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	// Read never fails.
	_, _ = rand.Read(nonce)
	return cbor.Marshal(hello{Version: ProtocolVersion, Identity: self, Nonce: nonce})
}

func openHello(raw []byte) (Identity, error) {
	var opened hello
	if err := Decode(raw, &opened); err != nil {
		return Identity{}, err
	}
	if !compatible(opened.Version) {
		return Identity{}, ErrVersionMismatch
	}
	if len(opened.Nonce) != nonceBytes || opened.Identity.Address == "" {
		return Identity{}, fmt.Errorf("%w: hello lacks nonce or address", ErrMalformed)
	}
	return opened.Identity, nil
}

func sum(key []byte, label string, dialer, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(label), dialer, acceptor} {
		// The length keeps the parts apart. Writing to a hash never fails.
		_, _ = fmt.Fprintf(mac, "%d:", len(part))
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

func writeProof(socket *websocket.Conn, proof proof) error {
	raw, err := cbor.Marshal(proof)
	if err != nil {
		return fmt.Errorf("encode hello: %w", err)
	}
	if err := socket.WriteMessage(websocket.BinaryMessage, raw); err != nil {
		return fmt.Errorf("send hello: %w", err)
	}
	return nil
}

func readHello(socket *websocket.Conn, into any) error {
	raw, err := readRaw(socket)
	if err != nil {
		return err
	}
	return Decode(raw, into)
}

func readRaw(socket *websocket.Conn) ([]byte, error) {
	socket.SetReadLimit(maxHelloBytes)
	_, raw, err := socket.ReadMessage()
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	return raw, nil
}
