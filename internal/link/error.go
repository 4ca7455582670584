package link

import (
	"errors"
	"fmt"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// ErrSecret tells that the fleet secret is too short or differs between two hosts.
type ErrSecret struct {
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

// ErrPeerMismatch tells that the other side of a link is not the host, fleet or version expected.
type ErrPeerMismatch struct {
	Peer model.HostID
	// Field is what differs.
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

// ErrDuplicateLink tells that a link was refused because another one to the same host is in use.
type ErrDuplicateLink struct{ Peer model.HostID }

func (e ErrDuplicateLink) Error() string {
	return fmt.Sprintf("another link to host %q is in use; nothing needs to be done", e.Peer)
}

// IsErrDuplicateLink reports whether err is or wraps an ErrDuplicateLink.
func IsErrDuplicateLink(err error) bool {
	var e ErrDuplicateLink
	return errors.As(err, &e)
}

// ErrClosed tells that the other side closed the connection after this host's proof.
type ErrClosed struct{ Peer model.HostID }

func (e ErrClosed) Error() string {
	return fmt.Sprintf("host %q closed the connection after this host's proof; if its log does not name another link in use, install the same [fleet] secret_file on all hosts", e.Peer)
}

// IsErrClosed reports whether err is or wraps an ErrClosed.
func IsErrClosed(err error) bool {
	var e ErrClosed
	return errors.As(err, &e)
}

func errMisdirected(e proto.Envelope, peer model.HostID) error {
	return fmt.Errorf("message from %q to %q on the link from %q", e.From, e.To, peer)
}
