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

// Listener returns the listener to serve Handler on: l itself, or l behind a
// gate for TLS if the mesh was given certificates.
func (m *Mesh) Listener(l net.Listener) net.Listener {
	if m.opts.tls == nil {
		return l
	}
	opts := []gate.Option{gate.WithLogger(m.opts.log)}
	if m.opts.optional {
		opts = append(opts, gate.WithOptionalTLS())
	}
	return gate.New(l, m.opts.tls.FleetServer(), opts...)
}

// Schemes of the URLs of links.
const (
	schemePlain = "ws"
	schemeTLS   = "wss"
)

// schemes returns the URL schemes to open a link with, in order.
func (m *Mesh) schemes() []string {
	switch {
	case m.opts.tls == nil:
		return []string{schemePlain}
	case m.opts.optional:
		return []string{schemeTLS, schemePlain}
	default:
		return []string{schemeTLS}
	}
}

// speaksNoTLS reports whether a connection failed because the other side
// answered in plain HTTP. A refused certificate is no reason to go without TLS.
func speaksNoTLS(err error) bool {
	var header tls.RecordHeaderError
	return errors.Is(err, http.ErrSchemeMismatch) || errors.As(err, &header)
}

// transport returns the transport that opens one link to a host.
func (m *Mesh) transport(host model.HostID) *http.Transport {
	t := &http.Transport{DialContext: m.dialTCP(host)}
	if m.opts.tls != nil {
		t.TLSClientConfig = m.opts.tls.FleetClient(host)
	}
	return t
}

// identity returns what the certificate of a peer says, or nil without TLS.
func (m *Mesh) identity(state *tls.ConnectionState) (*trust.Identity, error) {
	if m.opts.tls == nil || (state == nil && m.opts.optional) {
		return nil, nil
	}
	id, err := trust.PeerIdentity(state)
	if err != nil {
		return nil, err
	}
	return &id, nil
}

// checkCertificate checks that the Hello of a peer tells what its certificate says.
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

// certificateRole returns the role that a certificate must include, or an empty one that no certificate has.
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
