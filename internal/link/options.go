package link

import (
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Timing holds the time limits of links.
type Timing struct {
	// HandshakeTimeout bounds opening a link, from the connection to both Hellos.
	HandshakeTimeout time.Duration
	// PingInterval is the interval between two pings; a link without a pong within PingTimeout is closed.
	PingInterval time.Duration
	PingTimeout  time.Duration
	// WriteTimeout bounds the write of one frame.
	WriteTimeout time.Duration
	// MaxQueueAge drops messages that waited longer, since their sender has asked again by then.
	MaxQueueAge time.Duration
	// MinBackoff and MaxBackoff bound the delay between two attempts to open a link.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultTiming notices a one-way partition within 2 s, before freshness (3 s) ends.
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

// Bounds of the queue and of frames.
const (
	defaultQueue = 4096
	// maxQueueBytes holds two frames of the greatest length.
	maxQueueBytes = 16 << 20
	// maxBatchBytes bounds the messages written as one frame; a longer message has a frame of its own.
	maxBatchBytes = 64 << 10
	// maxHandshakes bounds connections that have not authenticated yet.
	maxHandshakes = 128
	// flushTimeout bounds the last write of a stopping process.
	flushTimeout = 500 * time.Millisecond
)

type options struct {
	cluster string
	log     logr.Logger
	queue   int
	timing  Timing
	faults  *Faults
	tls     *trust.Source
	resolve func(model.HostID) string
	// compress is set if frames are compressed.
	compress bool
	// forward is set if messages between other hosts are passed on.
	forward bool
	// optional is set while links without TLS are taken too.
	optional bool
}

// Option changes how a mesh works.
type Option func(*options)

// WithFleet sets the name of the fleet. Links to hosts of another fleet are refused.
func WithFleet(name string) Option {
	return func(o *options) { o.cluster = name }
}

// WithLogger logs links that open, fail and close.
func WithLogger(log logr.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithQueueLimit bounds the messages that wait for one host.
func WithQueueLimit(messages int) Option {
	return func(o *options) { o.queue = messages }
}

// WithResolver finds the addresses of hosts that were never learned, such as
// those whose name tells it. It returns "" for a name without an address.
func WithResolver(resolve func(model.HostID) string) Option {
	return func(o *options) { o.resolve = resolve }
}

// WithCompression compresses frames against the earlier ones of their link: most
// messages repeat names and lists. It is used where both sides ask for it.
func WithCompression() Option {
	return func(o *options) { o.compress = true }
}

// compressed is the WebSocket subprotocol of links with compressed frames. The
// extension of WebSocket itself needs more than 1 MB of memory for each link.
const compressed = "deflate.tarragongauge"

// subprotocols returns what a new connection offers or takes.
func (o options) subprotocols() []string {
	if !o.compress {
		return nil
	}
	return []string{compressed}
}

// WithTiming replaces the time limits.
func WithTiming(t Timing) Option {
	return func(o *options) { o.timing = t }
}

// WithTLS encrypts links with TLS 1.3 and demands a certificate of the fleet
// from every peer, in addition to the secret. The name and role in the Hello of
// a peer must be those of its certificate. Serve links on Mesh.Listener.
func WithTLS(s *trust.Source) Option {
	return func(o *options) { o.tls = s }
}

// WithOptionalTLS also takes links without TLS, and opens them so to hosts that
// do not speak it. It has no effect without WithTLS.
func WithOptionalTLS() Option {
	return func(o *options) { o.optional = true }
}

// WithFaults injects network faults, for tests.
func WithFaults(f *Faults) Option {
	return func(o *options) { o.faults = f }
}
