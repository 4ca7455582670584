package entry

import (
	"time"

	"github.com/go-logr/logr"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Limits bounds what one caller or target can make this host hold.
type Limits struct {
	// Header bounds a request's header in bytes, request line included.
	Header int
	// Body bounds a request body in bytes.
	Body int64
	// Replay is the largest request body that is buffered. A larger body is
	// streamed, is not retried once a byte was sent, and cannot carry an order key.
	Replay int
	// Hold is the largest response body held back for a retry, in bytes.
	Hold int
	// AnswerBody bounds a response body in bytes. A longer one is broken off and
	// counts against its target.
	AnswerBody int64
	// Answer is the largest response body stored for resends of an order, in bytes.
	Answer int
	// Announce bounds the body of an announcement in bytes.
	Announce int64
	// HeaderTime bounds the reading of a header from its first byte.
	HeaderTime time.Duration
	// IdleTime bounds the wait for the next request on a connection.
	IdleTime time.Duration
	// DialTime bounds the opening of a connection to a target.
	DialTime time.Duration
	// TargetIdleTime closes unused target connections.
	TargetIdleTime time.Duration
	// TargetConns bounds the connections of this host to one target. The
	// runtime sets it to the fleet's bound divided by the live entry hosts.
	TargetConns int
	// Attempts bounds the attempts of one request.
	Attempts int
}

// DefaultLimits fit a small entry host.
func DefaultLimits() Limits {
	return Limits{
		Header:         32 << 10,
		Body:           32 << 20,
		Replay:         64 << 10,
		Hold:           64 << 10,
		AnswerBody:     64 << 20,
		Answer:         64 << 10,
		Announce:       16 << 10,
		HeaderTime:     5 * time.Second,
		IdleTime:       60 * time.Second,
		DialTime:       time.Second,
		TargetIdleTime: 30 * time.Second,
		TargetConns:    8, // 350 connections per target over 44 entry hosts
		Attempts:       3,
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
	names      Names
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

// WithOptionalEcho accepts answers that carry no X-Request-Id. A different id
// stays invalid. Without this option an answer must echo the id.
func WithOptionalEcho() Option {
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

// WithPeerCheck refuses announcements whose address differs from the address
// that they come from.
func WithPeerCheck() Option {
	return func(s *settings) { s.peerChecks = true }
}
