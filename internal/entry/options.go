package entry

import (
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Limits bounds what one caller or target can make this host hold.
type Limits struct {
	// MaxHeader bounds a request's header in bytes, request line included.
	MaxHeader int
	// MaxBody bounds a request body in bytes.
	MaxBody int64
	// MaxReplayBody is the largest request body that is buffered. A larger body is
	// streamed, is not retried once a byte was sent, and cannot carry an order key.
	MaxReplayBody int
	// MaxBufferedAnswer is the largest response body held back for a retry, in bytes.
	MaxBufferedAnswer int
	// MaxAnswer bounds a response body in bytes. A longer one is broken off and
	// counts against its target.
	MaxAnswer int64
	// MaxStoredAnswer is the largest response body stored for resends of an order, in bytes.
	MaxStoredAnswer int
	// MaxAnnouncement bounds the body of an announcement in bytes.
	MaxAnnouncement int64
	// HeaderTimeout bounds the reading of a header from its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection to a target.
	DialTimeout time.Duration
	// TargetIdleTimeout closes unused target connections.
	TargetIdleTimeout time.Duration
	// MaxTargetConns bounds the connections of this host to one target. The
	// runtime sets it to the fleet's bound divided by the live entry hosts.
	MaxTargetConns int
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
}

// DefaultLimits fit a small entry host.
func DefaultLimits() Limits {
	return Limits{
		MaxHeader:         32 << 10,
		MaxBody:           32 << 20,
		MaxReplayBody:     64 << 10,
		MaxBufferedAnswer: 64 << 10,
		MaxAnswer:         64 << 20,
		MaxStoredAnswer:   64 << 10,
		MaxAnnouncement:   16 << 10,
		HeaderTimeout:     5 * time.Second,
		IdleTimeout:       60 * time.Second,
		DialTimeout:       time.Second,
		TargetIdleTimeout: 30 * time.Second,
		MaxTargetConns:    8, // 350 connections per target over 44 entry hosts
		MaxAttempts:       3,
	}
}

type settings struct {
	host       model.HostID
	limits     Limits
	echo       bool
	peerChecks bool
	log        logr.Logger
	requests   logr.Logger
	metrics    *Metrics
	names      HeaderNames
	promise    bool
	endless    bool
	fractions  bool
}

// Option changes a setting of a Server.
type Option func(*settings)

// WithHost names the host in request ids.
func WithHost(host model.HostID) Option {
	return func(s *settings) { s.host = host }
}

// WithLimits replaces all limits.
func WithLimits(l Limits) Option {
	return func(s *settings) { s.limits = l }
}

// WithOptionalRequestID accepts answers that carry no X-Request-Id. A different id
// stays invalid. Without this option an answer must echo the id.
func WithOptionalRequestID() Option {
	return func(s *settings) { s.echo = false }
}

// WithLog sets the log for faults of this package; requests are not logged.
func WithLog(log logr.Logger) Option {
	return func(s *settings) { s.log = log }
}

// WithRequestLog sets the log for one line on each request.
func WithRequestLog(log logr.Logger) Option {
	return func(s *settings) { s.requests = log }
}

// WithAnnouncementPeerCheck refuses announcements whose address differs from the address
// that they come from.
func WithAnnouncementPeerCheck() Option {
	return func(s *settings) { s.peerChecks = true }
}
