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

// ErrWrongFleet tells that a certificate belongs to another fleet.
type ErrWrongFleet struct {
	Host model.HostID
	Got  string
	Want string
}

func (e ErrWrongFleet) Error() string {
	return fmt.Sprintf("the certificate of host %q belongs to fleet %q instead of %q; issue one with the authority of fleet %q", e.Host, e.Got, e.Want, e.Want)
}

// ErrMissingRole tells that a certificate does not include a role.
type ErrMissingRole struct {
	Host model.HostID
	Got  []Role
	Want Role
}

func (e ErrMissingRole) Error() string {
	return fmt.Sprintf("the certificate of host %q has the roles %s but not %s; issue one with --role %s", e.Host, joinRoles(e.Got), e.Want, e.Want)
}

// ErrWrongHost tells that a certificate belongs to another host.
type ErrWrongHost struct {
	Got  model.HostID
	Want model.HostID
}

func (e ErrWrongHost) Error() string {
	return fmt.Sprintf("the certificate belongs to host %q instead of %q; install the one issued for %q, or correct the address of that host", e.Got, e.Want, e.Want)
}

// ErrUntrusted tells that no accepted authority signed a certificate.
type ErrUntrusted struct {
	Subject string
	Cause   string
}

func (e ErrUntrusted) Error() string {
	return fmt.Sprintf("the certificate of %s is not accepted: %s; issue it with the fleet's authority, and during a rotation put the old and the new authority into authority_file on all hosts", e.Subject, e.Cause)
}

// ErrInvalidFile tells that a file is missing, unreadable or faulty. The cause names the remedy.
type ErrInvalidFile struct {
	Path  string
	Cause string
}

func (e ErrInvalidFile) Error() string {
	if e.Path == "" {
		return e.Cause
	}
	return e.Path + ": " + e.Cause
}

// ErrInvalidRequest tells that a certificate cannot be issued as asked.
type ErrInvalidRequest struct{ Cause string }

func (e ErrInvalidRequest) Error() string { return e.Cause }

// IsErrExpired reports whether err is or wraps an ErrExpired.
func IsErrExpired(err error) bool { return is[ErrExpired](err) }

// IsErrNotYetValid reports whether err is or wraps an ErrNotYetValid.
func IsErrNotYetValid(err error) bool { return is[ErrNotYetValid](err) }

// IsErrWrongFleet reports whether err is or wraps an ErrFleet.
func IsErrWrongFleet(err error) bool { return is[ErrWrongFleet](err) }

// IsErrMissingRole reports whether err is or wraps an ErrRole.
func IsErrMissingRole(err error) bool { return is[ErrMissingRole](err) }

// IsErrWrongHost reports whether err is or wraps an ErrHost.
func IsErrWrongHost(err error) bool { return is[ErrWrongHost](err) }

// IsErrUntrusted reports whether err is or wraps an ErrAuthority.
func IsErrUntrusted(err error) bool { return is[ErrUntrusted](err) }

// IsErrInvalidFile reports whether err is or wraps an ErrFile.
func IsErrInvalidFile(err error) bool { return is[ErrInvalidFile](err) }

// IsErrInvalidRequest reports whether err is or wraps an ErrRequest.
func IsErrInvalidRequest(err error) bool { return is[ErrInvalidRequest](err) }

// IsCertificateError reports whether err is or wraps a refusal of a certificate or a fault of its files.
func IsCertificateError(err error) bool {
	return IsErrExpired(err) || IsErrNotYetValid(err) || IsErrWrongFleet(err) || IsErrMissingRole(err) ||
		IsErrWrongHost(err) || IsErrUntrusted(err) || IsErrInvalidFile(err)
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
