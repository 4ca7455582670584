package link

import (
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Timing holds the time limits of links.
type Timing struct {
	// HandshakeTimeout bounds opening a link, from the TCP connection to both Hellos.
	HandshakeTimeout time.Duration
	// PingInterval is the time between two pings. A link is closed if the pong does
	// not arrive within PingTimeout.
	PingInterval time.Duration
	PingTimeout  time.Duration
	// WriteTimeout bounds the write of one frame.
	WriteTimeout time.Duration
	// MaxQueueAge bounds how long a message is queued. Older messages are dropped,
	// since their sender has repeated the request by then.
	MaxQueueAge time.Duration
	// MinBackoff and MaxBackoff bound the delay between two attempts to open a link.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultTiming returns the time limits of production. A one-way partition is
// detected within 2 s, which is before the freshness of the evidence (3 s) ends.
func DefaultTiming() Timing {
	return Timing{
		HandshakeTimeout: 2 * time.Second,
		PingInterval:     500 * time.Millisecond,
		PingTimeout:      1500 * time.Millisecond,
		WriteTimeout:     2 * time.Second,
		MaxQueueAge:      2 * time.Second,
		MinBackoff:       50 * time.Millisecond,
		MaxBackoff:       time.Second,
	}
}

// Limits of queues, frames and connections.
const (
	// defaultQueueLimit is the maximum number of messages that wait for one host.
	defaultQueueLimit = 4096
	// maxQueueBytes is enough for two frames of the maximum length.
	maxQueueBytes = 16 << 20
	// maxBatchBytes bounds the messages written as one frame; a longer message has a frame of its own.
	maxBatchBytes = 64 << 10
	// maxHandshakes bounds the number of connections that have not authenticated yet.
	maxHandshakes = 128
	// flushTimeout bounds the time of the last write when a process stops.
	flushTimeout = 500 * time.Millisecond
)

type options struct {
	// fleet is the name of the fleet.
	fleet      string
	log        logr.Logger
	queueLimit int
	timing     Timing
	faults     *Faults
	// tls holds the certificates of this host, or is nil if links are not encrypted.
	tls *trust.Source
	// resolveAddr is the function of WithResolver, or nil.
	resolveAddr func(model.HostID) string
	// compress is set if frames are compressed where the other side supports that.
	compress bool
	// forward is set if messages between other hosts are forwarded.
	forward bool
	// optionalTLS is set if links without TLS are accepted too.
	optionalTLS bool
}

// Option changes how a mesh works.
type Option func(*options)

// WithFleet sets the name of the fleet. Links to hosts of another fleet are refused.
func WithFleet(name string) Option {
	return func(o *options) { o.fleet = name }
}

// WithLogger sets the logger for links that open, fail and close.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithQueueLimit sets the maximum number of messages that wait for one host.
func WithQueueLimit(messages int) Option {
	return func(o *options) { o.queueLimit = messages }
}

// WithResolver sets a function that finds the addresses of hosts that
// UpdateMembers was never called with, such as hosts whose name includes the
// address. The function returns "" for a host without an address.
func WithResolver(resolve func(model.HostID) string) Option {
	return func(o *options) { o.resolveAddr = resolve }
}

// WithCompression compresses frames with the earlier frames of the link as the
// dictionary, since most messages repeat names and lists. Frames are compressed
// only if both hosts of a link use this option.
func WithCompression() Option {
	return func(o *options) { o.compress = true }
}

// compressionSubprotocol is the WebSocket subprotocol of links with compressed
// frames. It is used in place of the compression extension of WebSocket, which
// needs more than 1 MB of memory for each link.
const compressionSubprotocol = "deflate.tarragongauge"

// subprotocols returns the WebSocket subprotocols that a new connection offers or accepts.
func (o options) subprotocols() []string {
	if !o.compress {
		return nil
	}
	return []string{compressionSubprotocol}
}

// WithTiming replaces the time limits of DefaultTiming.
func WithTiming(t Timing) Option {
	return func(o *options) { o.timing = t }
}

// WithTLS encrypts links with TLS 1.3 and requires a certificate of the fleet
// from every peer, in addition to the secret. The name and role in the Hello of
// a peer must be those of its certificate. The handler must be served on the
// listener that Mesh.Listener returns.
func WithTLS(s *trust.Source) Option {
	return func(o *options) { o.tls = s }
}

// WithOptionalTLS also accepts links without TLS, and opens links without TLS to
// hosts that do not support it. It has no effect without WithTLS.
func WithOptionalTLS() Option {
	return func(o *options) { o.optionalTLS = true }
}

// WithFaults injects network faults, for tests.
func WithFaults(f *Faults) Option {
	return func(o *options) { o.faults = f }
}
