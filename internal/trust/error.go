package trust

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// ErrExpired tells that a certificate is not valid any more.
type ErrExpired struct {
	// Subject describes the certificate.
	Subject string
	At      time.Time
}

func (e ErrExpired) Error() string {
	return fmt.Sprintf("the certificate of %s expired at %s; issue a new one and replace its file", e.Subject, stamp(e.At))
}

// ErrNotYetValid tells that a certificate is valid only later.
type ErrNotYetValid struct {
	Subject string
	From    time.Time
}

func (e ErrNotYetValid) Error() string {
	return fmt.Sprintf("the certificate of %s is valid only from %s; correct the clock of this host or of the one that issued it", e.Subject, stamp(e.From))
}

// ErrFleet tells that a certificate belongs to another fleet.
type ErrFleet struct {
	Host model.HostID
	Got  string
	Want string
}

func (e ErrFleet) Error() string {
	return fmt.Sprintf("the certificate of host %q belongs to fleet %q instead of %q; issue one with the authority of fleet %q", e.Host, e.Got, e.Want, e.Want)
}

// ErrRole tells that a certificate does not include a role.
type ErrRole struct {
	Host model.HostID
	Got  []Role
	Want Role
}

func (e ErrRole) Error() string {
	return fmt.Sprintf("the certificate of host %q has the roles %s but not %s; issue one with --role %s", e.Host, joinRoles(e.Got), e.Want, e.Want)
}

// ErrHost tells that a certificate belongs to another host.
type ErrHost struct {
	Got  model.HostID
	Want model.HostID
}

func (e ErrHost) Error() string {
	return fmt.Sprintf("the certificate belongs to host %q instead of %q; install the one issued for %q, or correct the address of that host", e.Got, e.Want, e.Want)
}

// ErrAuthority tells that no accepted authority signed a certificate.
type ErrAuthority struct {
	Subject string
	Cause   string
}

func (e ErrAuthority) Error() string {
	return fmt.Sprintf("the certificate of %s is not accepted: %s; issue it with the fleet's authority, and during a rotation put the old and the new authority into authority_file on all hosts", e.Subject, e.Cause)
}

// ErrFile tells that a file is missing, unreadable or faulty. The cause names the remedy.
type ErrFile struct {
	Path  string
	Cause string
}

func (e ErrFile) Error() string {
	if e.Path == "" {
		return e.Cause
	}
	return e.Path + ": " + e.Cause
}

// ErrRequest tells that a certificate cannot be issued as asked.
type ErrRequest struct{ Cause string }

func (e ErrRequest) Error() string { return e.Cause }

// IsErrExpired reports whether err is or wraps an ErrExpired.
func IsErrExpired(err error) bool { return is[ErrExpired](err) }

// IsErrNotYetValid reports whether err is or wraps an ErrNotYetValid.
func IsErrNotYetValid(err error) bool { return is[ErrNotYetValid](err) }

// IsErrFleet reports whether err is or wraps an ErrFleet.
func IsErrFleet(err error) bool { return is[ErrFleet](err) }

// IsErrRole reports whether err is or wraps an ErrRole.
func IsErrRole(err error) bool { return is[ErrRole](err) }

// IsErrHost reports whether err is or wraps an ErrHost.
func IsErrHost(err error) bool { return is[ErrHost](err) }

// IsErrAuthority reports whether err is or wraps an ErrAuthority.
func IsErrAuthority(err error) bool { return is[ErrAuthority](err) }

// IsErrFile reports whether err is or wraps an ErrFile.
func IsErrFile(err error) bool { return is[ErrFile](err) }

// IsErrRequest reports whether err is or wraps an ErrRequest.
func IsErrRequest(err error) bool { return is[ErrRequest](err) }

// IsErr reports whether err is or wraps a refusal of a certificate or a fault of its files.
func IsErr(err error) bool {
	return IsErrExpired(err) || IsErrNotYetValid(err) || IsErrFleet(err) || IsErrRole(err) ||
		IsErrHost(err) || IsErrAuthority(err) || IsErrFile(err)
}

func is[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

func stamp(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func joinRoles(roles []Role) string {
	names := make([]string, 0, len(roles))
	for _, r := range roles {
		names = append(names, string(r))
	}
	return strings.Join(names, ", ")
}
