package trust

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// ErrExpired reports that the validity of a certificate has ended.
type ErrExpired struct {
	// Subject describes the holder of the certificate.
	Subject string
	// At is the end of the validity.
	At time.Time
}

func (e ErrExpired) Error() string {
	return fmt.Sprintf("the certificate of %s expired at %s; issue a new one and replace its file", e.Subject, formatTime(e.At))
}

// ErrNotYetValid reports that the validity of a certificate has not begun.
type ErrNotYetValid struct {
	// Subject describes the holder of the certificate.
	Subject string
	// From is the beginning of the validity.
	From time.Time
}

func (e ErrNotYetValid) Error() string {
	return fmt.Sprintf("the certificate of %s is valid only from %s; correct the clock of this host or of the one that issued it", e.Subject, formatTime(e.From))
}

// ErrWrongFleet reports that a certificate belongs to a fleet other than the expected one.
type ErrWrongFleet struct {
	Host model.HostID
	Got  string
	Want string
}

func (e ErrWrongFleet) Error() string {
	return fmt.Sprintf("the certificate of host %q belongs to fleet %q instead of %q; issue one with the authority of fleet %q", e.Host, e.Got, e.Want, e.Want)
}

// ErrMissingRole reports that a certificate does not include a required role.
type ErrMissingRole struct {
	Host model.HostID
	Got  []Role
	Want Role
}

func (e ErrMissingRole) Error() string {
	return fmt.Sprintf("the certificate of host %q has the roles %s but not %s; issue one with --role %s", e.Host, joinRoles(e.Got), e.Want, e.Want)
}

// ErrWrongHost reports that a certificate belongs to a host other than the expected one.
type ErrWrongHost struct {
	Got  model.HostID
	Want model.HostID
}

func (e ErrWrongHost) Error() string {
	return fmt.Sprintf("the certificate belongs to host %q instead of %q; install the one issued for %q, or correct the address of that host", e.Got, e.Want, e.Want)
}

// ErrUntrusted reports that a certificate is missing, was not signed by an
// accepted authority or is not valid for the required use.
type ErrUntrusted struct {
	Subject string
	Cause   string
}

func (e ErrUntrusted) Error() string {
	return fmt.Sprintf("the certificate of %s is not accepted: %s; issue it with the fleet's authority, and during a rotation put the old and the new authority into authority_file on all hosts", e.Subject, e.Cause)
}

// ErrInvalidFile reports that a certificate or key file is missing, unreadable
// or malformed, or that a certificate is of the wrong kind.
type ErrInvalidFile struct {
	// Path is the path of the file, or empty if only its contents were parsed.
	Path string
	// Cause says what is wrong and names the remedy.
	Cause string
}

func (e ErrInvalidFile) Error() string {
	if e.Path == "" {
		return e.Cause
	}
	return e.Path + ": " + e.Cause
}

// ErrInvalidRequest reports that an authority or a certificate cannot be created as requested.
type ErrInvalidRequest struct{ Cause string }

func (e ErrInvalidRequest) Error() string { return e.Cause }

// IsErrExpired reports whether err is or wraps an ErrExpired.
func IsErrExpired(err error) bool { return hasType[ErrExpired](err) }

// IsErrNotYetValid reports whether err is or wraps an ErrNotYetValid.
func IsErrNotYetValid(err error) bool { return hasType[ErrNotYetValid](err) }

// IsErrWrongFleet reports whether err is or wraps an ErrFleet.
func IsErrWrongFleet(err error) bool { return hasType[ErrWrongFleet](err) }

// IsErrMissingRole reports whether err is or wraps an ErrRole.
func IsErrMissingRole(err error) bool { return hasType[ErrMissingRole](err) }

// IsErrWrongHost reports whether err is or wraps an ErrHost.
func IsErrWrongHost(err error) bool { return hasType[ErrWrongHost](err) }

// IsErrUntrusted reports whether err is or wraps an ErrAuthority.
func IsErrUntrusted(err error) bool { return hasType[ErrUntrusted](err) }

// IsErrInvalidFile reports whether err is or wraps an ErrFile.
func IsErrInvalidFile(err error) bool { return hasType[ErrInvalidFile](err) }

// IsErrInvalidRequest reports whether err is or wraps an ErrRequest.
func IsErrInvalidRequest(err error) bool { return hasType[ErrInvalidRequest](err) }

// IsCertificateError reports whether err is or wraps any error of this package
// about a certificate or its files, that is, any but ErrInvalidRequest.
func IsCertificateError(err error) bool {
	return IsErrExpired(err) || IsErrNotYetValid(err) || IsErrWrongFleet(err) || IsErrMissingRole(err) ||
		IsErrWrongHost(err) || IsErrUntrusted(err) || IsErrInvalidFile(err)
}

func hasType[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func joinRoles(roles []Role) string {
	names := make([]string, 0, len(roles))
	for _, r := range roles {
		names = append(names, string(r))
	}
	return strings.Join(names, ", ")
}
