package trust

import (
	"crypto/tls"
	"crypto/x509"
	"net"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// httpOnly keeps HTTP/2 away, over which a WebSocket link cannot be opened.
func httpOnly() []string { return []string{"http/1.1"} }

// FleetServer returns the configuration that accepts links: every peer must
// present a certificate of the fleet. The certificate and the authorities are
// those in use when a connection arrives.
func (s *Source) FleetServer() *tls.Config {
	return s.server(func(c *tls.Config, remote net.Addr) {
		c.ClientAuth = tls.RequireAnyClientCert // VerifyConnection checks it, with errors that name the remedy
		c.VerifyConnection = func(state tls.ConnectionState) error {
			err := s.verify(state, x509.ExtKeyUsageClientAuth, Expectation{Fleet: s.want.Fleet})
			s.logRefusal(err, "remote", remote.String())
			return err
		}
	})
}

// OperatorsServer returns the configuration of the operators' port, where clients present tokens.
func (s *Source) OperatorsServer() *tls.Config {
	return s.server(func(*tls.Config, net.Addr) {})
}

func (s *Source) server(change func(c *tls.Config, remote net.Addr)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: httpOnly(),
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   httpOnly(),
				Certificates: []tls.Certificate{s.Current().pair},
				// A resumed session would outlive the certificate it began with.
				SessionTicketsDisabled: true,
			}
			change(c, hello.Conn.RemoteAddr())
			return c, nil
		},
	}
}

// FleetClient returns the configuration that opens one link to a host.
func (s *Source) FleetClient(host model.HostID) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         httpOnly(),
		InsecureSkipVerify: true, // the standard check knows domain names only; VerifyConnection checks instead
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair := s.Current().pair
			return &pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			err := s.verify(state, x509.ExtKeyUsageServerAuth, Expectation{Fleet: s.want.Fleet, Host: host})
			s.logRefusal(err, "host", string(host))
			return err
		},
	}
}

// logRefusal counts a refusal, and logs it unless too many were logged just now.
func (s *Source) logRefusal(err error, key, peer string) {
	if err == nil {
		return
	}
	s.refused.Add(1)
	if s.refusals.AllowN(s.clock(), 1) {
		s.log.Info("certificate refused", key, peer, "cause", err.Error())
	}
}

func (s *Source) verify(state tls.ConnectionState, use x509.ExtKeyUsage, want Expectation) error {
	return s.Current().Authorities.verifyState(state, use, s.clock, want)
}

func (a Authorities) verifyState(state tls.ConnectionState, use x509.ExtKeyUsage, clock Clock, want Expectation) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrusted{Subject: "the other side", Cause: "it presented none"}
	}
	_, err := a.Verify(state.PeerCertificates[0], use, clock(), want)
	return err
}

// PeerIdentity returns the identity of the other side of a connection that one of the
// configurations above has verified.
func PeerIdentity(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, ErrUntrusted{Subject: "the other side", Cause: "the connection is not encrypted or has none"}
	}
	return ParseIdentity(state.PeerCertificates[0])
}

// OperatorsClient checks the operators' ports of control hosts.
type OperatorsClient struct {
	authorities Authorities
	clock       Clock
}

// NewOperatorsClient returns the check of operators' tools against the authorities of their fleet.
func NewOperatorsClient(a Authorities, clock Clock) OperatorsClient {
	return OperatorsClient{authorities: a, clock: clock}
}

// Config returns the configuration of one connection to a host.
func (o OperatorsClient) Config(host model.HostID) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         httpOnly(),
		InsecureSkipVerify: true, // the standard check knows domain names only; VerifyConnection checks instead
		VerifyConnection: func(state tls.ConnectionState) error {
			want := Expectation{Host: host, Roles: []Role{RoleOperators}}
			return o.authorities.verifyState(state, x509.ExtKeyUsageServerAuth, o.clock, want)
		},
	}
}
