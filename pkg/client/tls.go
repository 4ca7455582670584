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

// idleTimeout is how long an unused connection is kept open, for commands that send
// requests at intervals.
const idleTimeout = 90 * time.Second

// Verifier provides the TLS configurations of connections to control hosts. The
// configuration for a host must require TLS 1.3 and a certificate of that host
// which an authority of the fleet issued.
type Verifier interface {
	Config(host model.HostID) *tls.Config
}

// WithTLS makes the client connect to control hosts over TLS only. No request and
// no token is sent to a host whose certificate is refused.
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

// dialTLS connects to the control host at addr and completes the TLS handshake. It
// returns ErrTLS if the handshake fails.
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
		_ = raw.Close() // the error of the handshake is returned
		return nil, ErrTLS{Host: c.addrs[i].Host, Cause: err}
	}
	return conn, nil
}

// ErrTLS means that no TLS connection to a control host could be made. Nothing was
// sent to the host.
type ErrTLS struct {
	// Host is empty if the address belongs to no control host.
	Host  model.HostID
	Cause error
}

func (e ErrTLS) Error() string {
	return fmt.Sprintf("no TLS connection to host %q: %v", e.Host, e.Cause)
}

// Unwrap returns the reason why the connection failed.
func (e ErrTLS) Unwrap() error { return e.Cause }

// IsErrTLS reports whether err is or wraps an ErrTLS.
func IsErrTLS(err error) bool {
	var e ErrTLS
	return errors.As(err, &e)
}
