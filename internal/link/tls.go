package link

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"tarragongauge.example/tarragongauge/internal/gate"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Listener returns the listener to serve Handler on: l itself, or with WithTLS a
// gate.Listener over l, which accepts TLS connections.
func (m *Mesh) Listener(l net.Listener) net.Listener {
	if m.opts.tls == nil {
		return l
	}
	opts := []gate.Option{gate.WithLogger(m.opts.log)}
	if m.opts.optionalTLS {
		opts = append(opts, gate.WithOptionalTLS())
	}
	return gate.New(l, m.opts.tls.FleetServer(), opts...)
}

// URL schemes of links.
const (
	schemePlain = "ws"
	schemeTLS   = "wss"
)

// schemes returns the URL schemes to try when a link is opened, in order.
func (m *Mesh) schemes() []string {
	switch {
	case m.opts.tls == nil:
		return []string{schemePlain}
	case m.opts.optionalTLS:
		return []string{schemeTLS, schemePlain}
	default:
		return []string{schemeTLS}
	}
}

// isPlainHTTPError reports whether a connection failed because the other side does
// not speak TLS. Only then may the link be opened without TLS; a refused
// certificate must not lead to an unencrypted link.
func isPlainHTTPError(err error) bool {
	var header tls.RecordHeaderError
	return errors.Is(err, http.ErrSchemeMismatch) || errors.As(err, &header)
}

// transport returns the HTTP transport for opening one link to a host.
func (m *Mesh) transport(host model.HostID) *http.Transport {
	t := &http.Transport{DialContext: m.dialTCP(host)}
	if m.opts.tls != nil {
		t.TLSClientConfig = m.opts.tls.FleetClient(host)
	}
	return t
}

// peerIdentity returns the identity in the certificate of a peer. It returns nil if
// this host does not use TLS, or if TLS is optional and the connection has none.
func (m *Mesh) peerIdentity(state *tls.ConnectionState) (*trust.Identity, error) {
	if m.opts.tls == nil || (state == nil && m.opts.optionalTLS) {
		return nil, nil
	}
	id, err := trust.PeerIdentity(state)
	if err != nil {
		return nil, err
	}
	return &id, nil
}

// checkCertificate checks that the host and the role in the Hello of a peer match
// its certificate. There is nothing to check if id is nil.
func checkCertificate(id *trust.Identity, hello proto.Member) error {
	if id == nil {
		return nil
	}
	if hello.Host != id.Host {
		return trust.ErrWrongHost{Got: id.Host, Want: hello.Host}
	}
	role := certificateRole(hello.Role)
	if !id.HasRole(role) {
		return trust.ErrMissingRole{Host: id.Host, Got: id.Roles, Want: role}
	}
	return nil
}

// certificateRole returns the role that the certificate of a process must include.
// For an unknown role it returns "", which no certificate includes.
func certificateRole(r proto.Role) trust.Role {
	switch r {
	case proto.RoleControl:
		return trust.RoleControl
	case proto.RoleEntry:
		return trust.RoleEntry
	case proto.RoleJournal:
		return trust.RoleJournal
	case proto.RoleSeat:
		return trust.RoleSeat
	default:
		return ""
	}
}
