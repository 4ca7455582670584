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
	// maxHandshakeFrame bounds a frame of the handshake in bytes.
	maxHandshakeFrame = 4096
	nonceBytes        = 32
	minSecretBytes    = 16
)

// greeting is the first frame that each side of a link sends. Its nonce is the
// challenge to the other side.
type greeting struct {
	Host     model.HostID `cbor:"1,keyasint"`
	Fleet    string       `cbor:"2,keyasint"`
	Protocol int          `cbor:"3,keyasint"`
	Nonce    []byte       `cbor:"4,keyasint"`
}

// proof is the second frame that each side of a link sends.
type proof struct {
	// Hello is an encoded envelope with a proto.Hello.
	Hello []byte `cbor:"1,keyasint"`
	// Digest is the result of handshake.digest.
	Digest []byte `cbor:"2,keyasint"`
}

// The label of a side is part of its digest, so that the proof of one side cannot
// be sent back as that of the other.
const (
	labelDialer   = "tarragongauge link dialer"
	labelAcceptor = "tarragongauge link acceptor"
)

// handshake is the state of one handshake, which opens a link. Each side proves
// that it knows the fleet secret by a keyed digest over both greetings and its
// Hello. The dialer proves first, so that nobody obtains a digest by merely
// connecting.
type handshake struct {
	mesh *Mesh
	ws   *websocket.Conn
	// dialerGreeting and acceptorGreeting are the encoded greetings of both sides.
	dialerGreeting   []byte
	acceptorGreeting []byte
	// peerGreeting is the decoded greeting of the other side.
	peerGreeting greeting
	// identity is that of the peer's certificate, or nil without TLS.
	identity *trust.Identity
}

// digest returns the keyed digest by which the side with the label proves that it
// knows the fleet secret.
func (h *handshake) digest(label string, hello []byte) []byte {
	mac := hmac.New(sha256.New, h.mesh.secret)
	for _, part := range [][]byte{[]byte(label), h.dialerGreeting, h.acceptorGreeting, hello} {
		mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// id returns an identifier of the link, which is the same on both sides.
func (h *handshake) id() string {
	sum := sha256.Sum256(append(append([]byte{}, h.dialerGreeting...), h.acceptorGreeting...))
	return hex.EncodeToString(sum[:6])
}

// sendGreeting sends the greeting of this side and returns its encoded form.
func (h *handshake) sendGreeting(ctx context.Context) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("generate challenge: %w", err)
	}
	data, err := cbor.Marshal(greeting{Host: h.mesh.self.Host, Fleet: h.mesh.opts.fleet, Protocol: ProtocolVersion, Nonce: nonce})
	if err != nil {
		return nil, fmt.Errorf("encode greeting: %w", err)
	}
	return data, h.ws.Write(ctx, websocket.MessageBinary, data)
}

// checkGreeting decodes the greeting of the other side into peerGreeting and
// checks it.
func (h *handshake) checkGreeting(data []byte) error {
	if err := cbor.Unmarshal(data, &h.peerGreeting); err != nil {
		return fmt.Errorf("malformed greeting: %w", err)
	}
	g, self := h.peerGreeting, h.mesh.self.Host
	switch {
	case g.Fleet != h.mesh.opts.fleet:
		return ErrPeerMismatch{Peer: g.Host, Field: "fleet name", Got: g.Fleet, Want: h.mesh.opts.fleet}
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

// sendProof sends the Hello of this side and its proof of the secret.
func (h *handshake) sendProof(ctx context.Context, label string) error {
	hello, err := h.mesh.codec.Encode(proto.Envelope{From: h.mesh.self.Host, To: h.peerGreeting.Host, Body: h.mesh.hello()})
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(proof{Hello: hello, Digest: h.digest(label, hello)})
	if err != nil {
		return fmt.Errorf("encode proof: %w", err)
	}
	return h.ws.Write(ctx, websocket.MessageBinary, data)
}

// receiveProof reads the proof of the other side, which has the given label, checks
// it and returns the Hello in it.
func (h *handshake) receiveProof(ctx context.Context, label string) (proto.Hello, error) {
	data, err := h.readFrame(ctx)
	if err != nil {
		return proto.Hello{}, err
	}
	var p proof
	if err := cbor.Unmarshal(data, &p); err != nil {
		return proto.Hello{}, fmt.Errorf("malformed proof: %w", err)
	}
	if !hmac.Equal(p.Digest, h.digest(label, p.Hello)) {
		return proto.Hello{}, ErrSecret{Peer: h.peerGreeting.Host, Cause: "the digest differs"}
	}
	e, err := h.mesh.codec.Decode(p.Hello)
	if err != nil {
		return proto.Hello{}, err
	}
	hello, ok := e.Body.(proto.Hello)
	if !ok || hello.Member.Host != h.peerGreeting.Host {
		return proto.Hello{}, ErrPeerMismatch{Peer: h.peerGreeting.Host, Field: "host name", Got: string(hello.Member.Host), Want: string(h.peerGreeting.Host)}
	}
	return hello, checkCertificate(h.identity, hello.Member)
}

// readFrame returns the next frame of the other side.
func (h *handshake) readFrame(ctx context.Context) ([]byte, error) {
	_, data, err := h.ws.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read handshake: %w", err)
	}
	return data, nil
}

// dial runs the handshake on the side that opened the connection and returns the
// Hello of the host, which must be the wanted one.
func (h *handshake) dial(ctx context.Context, want model.HostID) (proto.Hello, error) {
	var err error
	if h.dialerGreeting, err = h.sendGreeting(ctx); err != nil {
		return proto.Hello{}, err
	}
	if h.acceptorGreeting, err = h.readFrame(ctx); err != nil {
		return proto.Hello{}, err
	}
	if err := h.checkGreeting(h.acceptorGreeting); err != nil {
		return proto.Hello{}, err
	}
	if h.peerGreeting.Host != want {
		return proto.Hello{}, ErrPeerMismatch{Peer: h.peerGreeting.Host, Field: "host name", Got: string(h.peerGreeting.Host), Want: string(want)}
	}
	if err := h.sendProof(ctx, labelDialer); err != nil {
		return proto.Hello{}, err
	}
	hello, err := h.receiveProof(ctx, labelAcceptor)
	if errors.Is(err, io.EOF) {
		return hello, ErrClosed{Peer: want}
	}
	return hello, err
}

// accept runs the handshake on the side that accepted the connection, except for
// its own proof, which the caller sends once it has decided to use the link. It
// sends its greeting before it checks that of the other side, so that both sides
// can report a mismatch.
func (h *handshake) accept(ctx context.Context) (proto.Hello, error) {
	var err error
	if h.dialerGreeting, err = h.readFrame(ctx); err != nil {
		return proto.Hello{}, err
	}
	if h.acceptorGreeting, err = h.sendGreeting(ctx); err != nil {
		return proto.Hello{}, err
	}
	if err := h.checkGreeting(h.dialerGreeting); err != nil {
		return proto.Hello{}, err
	}
	return h.receiveProof(ctx, labelDialer)
}
