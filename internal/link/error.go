package link

import (
	"errors"
	"fmt"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// ErrSecret is returned if the fleet secret of this host is too short, or if it
// differs from that of another host.
type ErrSecret struct {
	// Peer is the other host, or "" if the secret of this host is too short.
	Peer  model.HostID
	Cause string
}

func (e ErrSecret) Error() string {
	if e.Peer == "" {
		return "fleet secret: " + e.Cause
	}
	return fmt.Sprintf("host %q did not prove the fleet secret: %s; install the same [fleet] secret_file on all hosts", e.Peer, e.Cause)
}

// IsErrSecret reports whether err is or wraps an ErrSecret.
func IsErrSecret(err error) bool {
	var e ErrSecret
	return errors.As(err, &e)
}

// ErrPeerMismatch is returned if the other side of a link has another host name,
// fleet name or protocol version than expected.
type ErrPeerMismatch struct {
	Peer model.HostID
	// Field says in words what differs.
	Field string
	Got   string
	Want  string
}

func (e ErrPeerMismatch) Error() string {
	return fmt.Sprintf("host %q has %s %q instead of %q; correct the settings of one of the hosts", e.Peer, e.Field, e.Got, e.Want)
}

// IsErrPeerMismatch reports whether err is or wraps an ErrPeerMismatch.
func IsErrPeerMismatch(err error) bool {
	var e ErrPeerMismatch
	return errors.As(err, &e)
}

// ErrDuplicateLink is returned if a link is refused because another link to the same host is in use.
type ErrDuplicateLink struct{ Peer model.HostID }

func (e ErrDuplicateLink) Error() string {
	return fmt.Sprintf("another link to host %q is in use; nothing needs to be done", e.Peer)
}

// IsErrDuplicateLink reports whether err is or wraps an ErrDuplicateLink.
func IsErrDuplicateLink(err error) bool {
	var e ErrDuplicateLink
	return errors.As(err, &e)
}

// ErrClosed is returned if the other side closed the connection after this host
// had proved its secret, or if this host is stopping.
type ErrClosed struct{ Peer model.HostID }

func (e ErrClosed) Error() string {
	return fmt.Sprintf("host %q closed the connection after this host's proof; if its log does not name another link in use, install the same [fleet] secret_file on all hosts", e.Peer)
}

// IsErrClosed reports whether err is or wraps an ErrClosed.
func IsErrClosed(err error) bool {
	var e ErrClosed
	return errors.As(err, &e)
}

// errMisdirected returns the error for a message that neither comes from the peer
// of a link nor is for this host, or that was forwarded without WithForwarding.
func errMisdirected(e proto.Envelope, peer model.HostID) error {
	return fmt.Errorf("message from %q to %q does not belong on the link to %q", e.From, e.To, peer)
}
