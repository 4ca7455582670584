package entry

import (
	"errors"
	"net/http"
	"net/textproto"
)

// maxInformational bounds the informational responses before a final one. Each has
// a header of up to Limits.MaxHeader bytes.
const maxInformational = 5

// minFinalStatus and maxFinalStatus bound the statuses of answers that are passed on.
const (
	minFinalStatus = http.StatusOK
	maxFinalStatus = 599
)

var (
	errInformationalBody    = errors.New("an informational answer has a body, which only a final one may have")
	errTooManyInformational = errors.New("too many informational answers came before the final one")
)

// isFinalStatus reports whether a target's answer with the status may be passed on.
// net/http accepts any three characters that strconv.Atoi takes for a number of at
// least 0. Those with a sign give less than 100, so that the range excludes them.
// net/http's server panics on a status below 100.
func isFinalStatus(status int) bool {
	return status >= minFinalStatus && status <= maxFinalStatus
}

// checkInformational returns an error if the n-th informational response of an
// attempt shows that the target does not use it as such. Without this check, a
// target that takes 1xx for a final status would hold the request until its deadline.
func checkInformational(n int, h textproto.MIMEHeader) error {
	_, hasLength := h["Content-Length"]
	_, hasChunks := h["Transfer-Encoding"]
	switch {
	case hasLength || hasChunks:
		return errInformationalBody
	case n > maxInformational:
		return errTooManyInformational
	default:
		return nil
	}
}
