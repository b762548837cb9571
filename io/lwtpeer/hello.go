package lwtpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
)

// ErrAuthentication reports a peer whose proof does not match the shared key.
var ErrAuthentication = fmt.Errorf("the peer did not prove that it knows the shared key")

const (
	nonceBytes    = 16
	maxHelloBytes = 1 << 10
	// The labels prevent a proof from being reflected: one side's proof is not valid for the
	// other side.
	labelDialer   = "lacewingtide-peer-dialer"
	labelAcceptor = "lacewingtide-peer-acceptor"
)

// Identity identifies one process of a daemon.
type Identity struct {
	Name string `cbor:"1,keyasint"`
	// Address is the peer address (IP:port).
	Address string `cbor:"2,keyasint"`
	Boot    uint64 `cbor:"3,keyasint"`
}

// hello is the first message that each side sends on a connection.
type hello struct {
	Version  uint     `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
	Nonce    []byte   `cbor:"3,keyasint"`
}

// proof proves possession of the shared key: MAC covers both hellos. The acceptor's proof also
// contains its hello.
type proof struct {
	Hello []byte `cbor:"1,keyasint,omitempty"`
	MAC   []byte `cbor:"2,keyasint"`
}

// handshakeAsDialer sends a hello, verifies the acceptor's proof and sends its own. It returns
// the acceptor's identity.
func handshakeAsDialer(socket *websocket.Conn, self Identity, key []byte) (Identity, error) {
	ownHello, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	if err := socket.WriteMessage(websocket.BinaryMessage, ownHello); err != nil {
		return Identity{}, fmt.Errorf("send hello: %w", err)
	}
	var acceptorProof proof
	if err := readProof(socket, &acceptorProof); err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(acceptorProof.MAC, proofMAC(key, labelAcceptor, ownHello, acceptorProof.Hello)) {
		return Identity{}, ErrAuthentication
	}
	identity, err := decodeHello(acceptorProof.Hello)
	if err != nil {
		return Identity{}, err
	}
	return identity, writeProof(socket, proof{MAC: proofMAC(key, labelDialer, ownHello, acceptorProof.Hello)})
}

// handshakeAsAcceptor reads the dialer's hello, sends a proof and verifies the dialer's. It
// returns the dialer's identity.
func handshakeAsAcceptor(socket *websocket.Conn, self Identity, key []byte) (Identity, error) {
	dialerHello, err := readHandshakeFrame(socket)
	if err != nil {
		return Identity{}, err
	}
	identity, err := decodeHello(dialerHello)
	if err != nil {
		return Identity{}, err
	}
	ownHello, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	if err := writeProof(socket, proof{
		Hello: ownHello, MAC: proofMAC(key, labelAcceptor, dialerHello, ownHello),
	}); err != nil {
		return Identity{}, err
	}
	var dialerProof proof
	if err := readProof(socket, &dialerProof); err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(dialerProof.MAC, proofMAC(key, labelDialer, dialerHello, ownHello)) {
		return Identity{}, ErrAuthentication
	}
	return identity, nil
}

func newHello(self Identity) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	// rand.Read never fails.
	_, _ = rand.Read(nonce)
	return cbor.Marshal(hello{Version: ProtocolVersion, Identity: self, Nonce: nonce})
}

func decodeHello(raw []byte) (Identity, error) {
	var decoded hello
	if err := Decode(raw, &decoded); err != nil {
		return Identity{}, err
	}
	if !isCompatibleVersion(decoded.Version) {
		return Identity{}, fmt.Errorf("%w: version %d, own version %d", ErrVersionMismatch, decoded.Version, ProtocolVersion)
	}
	if len(decoded.Nonce) != nonceBytes || decoded.Identity.Address == "" {
		return Identity{}, fmt.Errorf("%w: hello lacks nonce or address", ErrMalformed)
	}
	return decoded.Identity, nil
}

// proofMAC returns the HMAC-SHA-256 of a label and both hellos.
func proofMAC(key []byte, label string, dialerHello, acceptorHello []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, field := range [][]byte{[]byte(label), dialerHello, acceptorHello} {
		// The length prefix makes the encoding unambiguous. Writes to a hash never fail.
		_, _ = fmt.Fprintf(mac, "%d:", len(field))
		_, _ = mac.Write(field)
	}
	return mac.Sum(nil)
}

func writeProof(socket *websocket.Conn, proof proof) error {
	raw, err := cbor.Marshal(proof)
	if err != nil {
		return fmt.Errorf("encode proof: %w", err)
	}
	if err := socket.WriteMessage(websocket.BinaryMessage, raw); err != nil {
		return fmt.Errorf("send proof: %w", err)
	}
	return nil
}

func readProof(socket *websocket.Conn, into any) error {
	raw, err := readHandshakeFrame(socket)
	if err != nil {
		return err
	}
	return Decode(raw, into)
}

func readHandshakeFrame(socket *websocket.Conn) ([]byte, error) {
	socket.SetReadLimit(maxHelloBytes)
	_, raw, err := socket.ReadMessage()
	if err != nil {
		return nil, fmt.Errorf("read handshake: %w", err)
	}
	return raw, nil
}
