package client

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// idleTimeout closes connections that a command which waits between questions does not use.
const idleTimeout = 90 * time.Second

// Verifier returns the TLS configuration that checks the certificate of one
// control host. It must demand TLS 1.3, an authority of the fleet and the name
// of the host.
type Verifier interface {
	Config(host model.HostID) *tls.Config
}

// WithTLS talks to control hosts over TLS only. Nothing, the token included, is
// sent to a host whose certificate is refused.
func WithTLS(v Verifier) Option {
	return func(c *Client) {
		c.scheme = "https"
		c.http.SetTransport(&http.Transport{
			DialTLSContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return c.dialTLS(ctx, v, network, addr)
			},
			IdleConnTimeout: idleTimeout,
		})
	}
}

func (c *Client) dialTLS(ctx context.Context, v Verifier, network, addr string) (net.Conn, error) {
	i := slices.IndexFunc(c.addrs, func(a Address) bool { return a.Addr == addr })
	if i < 0 {
		return nil, ErrTLS{Cause: fmt.Errorf("address %s belongs to no control host; correct addresses in the client settings", addr)}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, v.Config(c.addrs[i].Host))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // the handshake failed already
		return nil, ErrTLS{Host: c.addrs[i].Host, Cause: err}
	}
	return conn, nil
}

// ErrTLS tells that no encrypted connection to a control host was made, so that nothing was sent to it.
type ErrTLS struct {
	Host  model.HostID
	Cause error
}

func (e ErrTLS) Error() string {
	return fmt.Sprintf("no TLS connection to host %q: %v", e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e ErrTLS) Unwrap() error { return e.Cause }

// IsErrTLS reports whether err is or wraps an ErrTLS.
func IsErrTLS(err error) bool {
	var e ErrTLS
	return errors.As(err, &e)
}
