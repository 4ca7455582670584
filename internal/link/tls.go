package link

import (
	"crypto/tls"
	"net"
	"net/http"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Listener returns the listener to serve Handler on: l itself, or l with TLS
// if the mesh was given certificates. The server needs a ReadHeaderTimeout,
// which also bounds the TLS handshake.
func (m *Mesh) Listener(l net.Listener) net.Listener {
	if m.opts.tls == nil {
		return l
	}
	return tls.NewListener(l, m.opts.tls.FleetServer())
}

// scheme returns the URL scheme of links.
func (m *Mesh) scheme() string {
	if m.opts.tls == nil {
		return "ws"
	}
	return "wss"
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
	if m.opts.tls == nil {
		return nil, nil
	}
	id, err := trust.Peer(state)
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
		return trust.ErrHost{Got: id.Host, Want: hello.Host}
	}
	role := certificateRole(hello.Role)
	if !id.Has(role) {
		return trust.ErrRole{Host: id.Host, Got: id.Roles, Want: role}
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
	default:
		return ""
	}
}
