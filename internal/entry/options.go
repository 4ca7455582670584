package entry

import (
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Limits bounds the memory, connections and time that one caller or target can
// take up on this host.
type Limits struct {
	// MaxHeader is the maximum length of a request header in bytes, including the
	// request line. It also bounds the header of a target's answer.
	MaxHeader int
	// MaxBody is the maximum length of a request body in bytes.
	MaxBody int64
	// MaxReplayBody is the maximum length in bytes up to which a request body is
	// buffered. A request with a longer body is streamed, is not retried once a byte
	// was sent, and cannot have an order key.
	MaxReplayBody int
	// MaxBufferedAnswer is the maximum length in bytes up to which the body of an
	// answer is read completely before the caller gets any of it, so that a
	// truncated answer can be retried.
	MaxBufferedAnswer int
	// MaxAnswer is the maximum length of an answer's body in bytes. A longer one is
	// broken off and counts against its target.
	MaxAnswer int64
	// MaxStoredAnswer is the maximum length in bytes of the body of an answer that is
	// stored for resends of an order.
	MaxStoredAnswer int
	// MaxAnnouncement is the maximum length of an announcement's body in bytes.
	MaxAnnouncement int64
	// HeaderTimeout bounds the reading of a request header, from its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a caller's connection.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection to a target.
	DialTimeout time.Duration
	// TargetIdleTimeout is the time after which an unused connection to a target is closed.
	TargetIdleTimeout time.Duration
	// MaxTargetConns is the maximum number of connections of this host to one
	// target. SetMaxTargetConns changes it to the fleet's limit divided by the number
	// of live entry hosts.
	MaxTargetConns int
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
}

// DefaultLimits returns limits for a small entry host.
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

// settings holds what options set. Each option documents its fields.
type settings struct {
	host             model.HostID
	limits           Limits
	requireRequestID bool
	checkPeer        bool
	log              logr.Logger
	requestLog       logr.Logger
	metrics          *Metrics
	headerNames      HeaderNames
	statusPromise    bool
	endlessAnswers   bool
	retryFractions   bool
}

// Option changes a setting of a Server.
type Option func(*settings)

// WithHost sets the host's name, with which request ids begin.
func WithHost(host model.HostID) Option {
	return func(s *settings) { s.host = host }
}

// WithLimits replaces all limits, which are DefaultLimits otherwise.
func WithLimits(l Limits) Option {
	return func(s *settings) { s.limits = l }
}

// WithOptionalRequestID accepts answers of targets without a request id. Answers
// with a wrong id stay invalid. By default an answer must have the request's id.
func WithOptionalRequestID() Option {
	return func(s *settings) { s.requireRequestID = false }
}

// WithLog sets the log for faults of this package. Requests are not logged there.
func WithLog(log logr.Logger) Option {
	return func(s *settings) { s.log = log }
}

// WithRequestLog sets the log that gets one line for each request.
func WithRequestLog(log logr.Logger) Option {
	return func(s *settings) { s.requestLog = log }
}

// WithAnnouncementPeerCheck refuses announcements of an address other than the one
// that they were sent from.
func WithAnnouncementPeerCheck() Option {
	return func(s *settings) { s.checkPeer = true }
}
