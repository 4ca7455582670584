package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxGreeting bounds a frame of the handshake in bytes.
	maxGreeting = 4096
	nonceBytes  = 32
	minSecret   = 16
)

// greeting is the first frame of each side. Its nonce is the challenge to the other side.
type greeting struct {
	Host     model.HostID `cbor:"1,keyasint"`
	Fleet    string       `cbor:"2,keyasint"`
	Protocol int          `cbor:"3,keyasint"`
	Nonce    []byte       `cbor:"4,keyasint"`
}

// proof is the second frame of each side. Hello is an encoded envelope.
type proof struct {
	Hello  []byte `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
}

// Labels keep the proof of one side from being sent back as that of the other.
const (
	labelDialer   = "tarragongauge link dialer"
	labelAcceptor = "tarragongauge link acceptor"
)

// handshake is the state of opening one link. Each side proves the fleet
// secret by a keyed digest over both greetings and its Hello. The dialer proves
// first, so that nobody obtains a digest by merely connecting.
type handshake struct {
	mesh *Mesh
	ws   *websocket.Conn
	// dialed and accepted are the greetings of the dialer and the acceptor as sent.
	dialed   []byte
	accepted []byte
	peer     greeting
	// identity is that of the peer's certificate, or nil without TLS.
	identity *trust.Identity
}

func (h *handshake) digest(label string, hello []byte) []byte {
	mac := hmac.New(sha256.New, h.mesh.secret)
	for _, part := range [][]byte{[]byte(label), h.dialed, h.accepted, hello} {
		mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// id identifies the link on both sides.
func (h *handshake) id() string {
	sum := sha256.Sum256(append(append([]byte{}, h.dialed...), h.accepted...))
	return hex.EncodeToString(sum[:6])
}

func (h *handshake) greet(ctx context.Context) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("draw challenge: %w", err)
	}
	data, err := cbor.Marshal(greeting{Host: h.mesh.self.Host, Fleet: h.mesh.opts.cluster, Protocol: ProtocolVersion, Nonce: nonce})
	if err != nil {
		return nil, fmt.Errorf("encode greeting: %w", err)
	}
	return data, h.ws.Write(ctx, websocket.MessageBinary, data)
}

// check checks the greeting of the other side.
func (h *handshake) check(data []byte) error {
	if err := cbor.Unmarshal(data, &h.peer); err != nil {
		return fmt.Errorf("malformed greeting: %w", err)
	}
	g, self := h.peer, h.mesh.self.Host
	switch {
	case g.Fleet != h.mesh.opts.cluster:
		return ErrPeerMismatch{Peer: g.Host, Field: "fleet name", Got: g.Fleet, Want: h.mesh.opts.cluster}
	case g.Protocol != ProtocolVersion:
		return ErrPeerMismatch{Peer: g.Host, Field: "protocol version", Got: strconv.Itoa(g.Protocol), Want: strconv.Itoa(ProtocolVersion)}
	case g.Host == "" || g.Host == self:
		return ErrPeerMismatch{Peer: g.Host, Field: "host name", Got: string(g.Host), Want: "a name other than " + string(self)}
	case len(g.Nonce) != nonceBytes:
		return ErrSecret{Peer: g.Host, Cause: "its challenge has the wrong length"}
	default:
		return nil
	}
}

func (h *handshake) prove(ctx context.Context, label string) error {
	hello, err := h.mesh.codec.Encode(proto.Envelope{From: h.mesh.self.Host, To: h.peer.Host, Body: h.mesh.hello()})
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(proof{Hello: hello, Digest: h.digest(label, hello)})
	if err != nil {
		return fmt.Errorf("encode proof: %w", err)
	}
	return h.ws.Write(ctx, websocket.MessageBinary, data)
}

// verify reads and checks the proof of the other side and returns its Hello.
func (h *handshake) verify(ctx context.Context, label string) (proto.Hello, error) {
	data, err := h.readFrame(ctx)
	if err != nil {
		return proto.Hello{}, err
	}
	var p proof
	if err := cbor.Unmarshal(data, &p); err != nil {
		return proto.Hello{}, fmt.Errorf("malformed proof: %w", err)
	}
	if !hmac.Equal(p.Digest, h.digest(label, p.Hello)) {
		return proto.Hello{}, ErrSecret{Peer: h.peer.Host, Cause: "the digest differs"}
	}
	e, err := h.mesh.codec.Decode(p.Hello)
	if err != nil {
		return proto.Hello{}, err
	}
	hello, ok := e.Body.(proto.Hello)
	if !ok || hello.Member.Host != h.peer.Host {
		return proto.Hello{}, ErrPeerMismatch{Peer: h.peer.Host, Field: "host name", Got: string(hello.Member.Host), Want: string(h.peer.Host)}
	}
	return hello, checkCertificate(h.identity, hello.Member)
}

func (h *handshake) readFrame(ctx context.Context) ([]byte, error) {
	_, data, err := h.ws.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read handshake: %w", err)
	}
	return data, nil
}

// dial runs the handshake of the side that opened the connection.
func (h *handshake) dial(ctx context.Context, want model.HostID) (proto.Hello, error) {
	var err error
	if h.dialed, err = h.greet(ctx); err != nil {
		return proto.Hello{}, err
	}
	if h.accepted, err = h.readFrame(ctx); err != nil {
		return proto.Hello{}, err
	}
	if err := h.check(h.accepted); err != nil {
		return proto.Hello{}, err
	}
	if h.peer.Host != want {
		return proto.Hello{}, ErrPeerMismatch{Peer: h.peer.Host, Field: "host name", Got: string(h.peer.Host), Want: string(want)}
	}
	if err := h.prove(ctx, labelDialer); err != nil {
		return proto.Hello{}, err
	}
	hello, err := h.verify(ctx, labelAcceptor)
	if errors.Is(err, io.EOF) {
		return hello, ErrClosed{Peer: want}
	}
	return hello, err
}

// accept runs the handshake of the other side up to its own proof, which the
// caller sends once it has decided to use the link. It greets before it checks,
// so that both sides learn of a difference.
func (h *handshake) accept(ctx context.Context) (proto.Hello, error) {
	var err error
	if h.dialed, err = h.readFrame(ctx); err != nil {
		return proto.Hello{}, err
	}
	if h.accepted, err = h.greet(ctx); err != nil {
		return proto.Hello{}, err
	}
	if err := h.check(h.dialed); err != nil {
		return proto.Hello{}, err
	}
	return h.verify(ctx, labelDialer)
}
