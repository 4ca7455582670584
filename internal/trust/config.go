package trust

import (
	"crypto/tls"
	"crypto/x509"
	"net"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// http1Only returns the application protocols to negotiate. HTTP/2 is left out,
// since a WebSocket link cannot be opened over it.
func http1Only() []string { return []string{"http/1.1"} }

// FleetServer returns the TLS configuration for accepting links. Every peer
// must present a certificate of the fleet. Each connection uses the certificate
// and the authorities that are current when it arrives.
func (s *Source) FleetServer() *tls.Config {
	return s.serverConfig(func(c *tls.Config, remote net.Addr) {
		c.ClientAuth = tls.RequireAnyClientCert // VerifyConnection checks the certificate, with errors that name the remedy
		c.VerifyConnection = func(state tls.ConnectionState) error {
			err := s.verify(state, x509.ExtKeyUsageClientAuth, Expectation{Fleet: s.expected.Fleet})
			s.recordRefusal(err, "remote", remote.String())
			return err
		}
	})
}

// OperatorsServer returns the TLS configuration of the operators' port. Clients
// need no certificate there, since they authenticate with tokens.
func (s *Source) OperatorsServer() *tls.Config {
	return s.serverConfig(func(*tls.Config, net.Addr) {})
}

// serverConfig returns a configuration that, for each connection, builds a
// configuration from the current certificate and passes it to change.
func (s *Source) serverConfig(change func(c *tls.Config, remote net.Addr)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: http1Only(),
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   http1Only(),
				Certificates: []tls.Certificate{s.Current().tlsCertificate},
				// A resumed session would stay valid beyond the certificate that it was opened with.
				SessionTicketsDisabled: true,
			}
			change(c, hello.Conn.RemoteAddr())
			return c, nil
		},
	}
}

// FleetClient returns the TLS configuration for opening a link to a host, whose
// certificate must name that host.
func (s *Source) FleetClient(host model.HostID) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         http1Only(),
		InsecureSkipVerify: true, // the standard check knows domain names only; VerifyConnection checks instead
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair := s.Current().tlsCertificate
			return &pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			err := s.verify(state, x509.ExtKeyUsageServerAuth, Expectation{Fleet: s.expected.Fleet, Host: host})
			s.recordRefusal(err, "host", string(host))
			return err
		},
	}
}

// recordRefusal counts a refused certificate and logs it within the log's rate
// limit. Nothing happens if err is nil. The key and value of the log line that
// name the other side are key and peer.
func (s *Source) recordRefusal(err error, key, peer string) {
	if err == nil {
		return
	}
	s.refusedPeers.Add(1)
	if s.refusalLogLimit.AllowN(s.clock(), 1) {
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

// PeerIdentity returns the identity in the certificate of the other side of a
// connection. The certificate must have been verified already, as FleetServer
// and FleetClient do. Without a certificate it returns an ErrUntrusted.
func PeerIdentity(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, ErrUntrusted{Subject: "the other side", Cause: "the connection is not encrypted or has none"}
	}
	return ParseIdentity(state.PeerCertificates[0])
}

// OperatorsClient verifies the certificates of control hosts for operators' tools.
type OperatorsClient struct {
	authorities Authorities
	clock       Clock
}

// NewOperatorsClient returns an OperatorsClient that accepts hosts with a
// certificate of one of the authorities.
func NewOperatorsClient(a Authorities, clock Clock) OperatorsClient {
	return OperatorsClient{authorities: a, clock: clock}
}

// Config returns the TLS configuration for a connection to the operators' port
// of a host. The host's certificate must name that host and RoleOperators.
func (o OperatorsClient) Config(host model.HostID) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         http1Only(),
		InsecureSkipVerify: true, // the standard check knows domain names only; VerifyConnection checks instead
		VerifyConnection: func(state tls.ConnectionState) error {
			want := Expectation{Host: host, Roles: []Role{RoleOperators}}
			return o.authorities.verifyState(state, x509.ExtKeyUsageServerAuth, o.clock, want)
		},
	}
}
