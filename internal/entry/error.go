package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Code is the stable identifier of an error in an answer to a caller or target.
type Code string

// Codes of errors, in the field "code" of error answers.
const (
	CodeBadFraming          Code = "bad_framing"
	CodeHeaderTooLarge      Code = "header_too_large"
	CodeBadRequest          Code = "bad_request"
	CodeBadPath             Code = "bad_path"
	CodeBadDeadline         Code = "bad_deadline"
	CodeBodyTooLarge        Code = "body_too_large"
	CodeBodyUnreadable      Code = "body_unreadable"
	CodeNoRoute             Code = "no_route"
	CodeNoKey               Code = "no_key"
	CodeKeyMismatch         Code = "key_mismatch"
	CodeUnknownKey          Code = "unknown_key"
	CodeKeyInRequest        Code = "key_in_request"
	CodeKeyWithdrawn        Code = "key_withdrawn"
	CodeNotFresh            Code = "not_fresh"
	CodeDraining            Code = "draining"
	CodeRateLimited         Code = "rate_limited"
	CodeNoOwner             Code = "no_owner"
	CodeOrderKeyRequired    Code = "order_key_required"
	CodeBadOrderKey         Code = "bad_order_key"
	CodeOrderInFlight       Code = "order_in_flight"
	CodeOrderKeyReused      Code = "order_key_reused"
	CodeNoJournalMajority   Code = "no_journal_majority"
	CodeNoTarget            Code = "no_target"
	CodeQueueFull           Code = "queue_full"
	CodeDeadlineUnreachable Code = "deadline_unreachable"
	CodeDisplaced           Code = "displaced"
	CodeQuarantined         Code = "quarantined"
	CodeDeadlineExceeded    Code = "deadline_exceeded"
	CodeCanceled            Code = "canceled"
	CodeTargetShedding      Code = "target_shedding"
	CodeTargetUnreachable   Code = "target_unreachable"
	CodeTargetBroken        Code = "target_broken"
	CodeTargetInvalid       Code = "target_invalid"
	CodeInternal            Code = "internal"
	CodeBadAnnouncement     Code = "bad_announcement"
	CodeAnnouncementRefused Code = "announcement_refused"
)

// Names of headers between callers, entry hosts and targets, in canonical case.
const (
	headerOutcome   = "X-Outcome"
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline-Ms"
	headerWorkspace = "X-Workspace"
	headerShed      = "X-Shed"
	headerAPIKey    = "X-Api-Key"
	headerOrderKey  = "Idempotency-Key"
	headerReplayed  = "Idempotency-Replayed"
	// headerOtherOrderKey is forwarded like other headers and has no meaning here.
	headerOtherOrderKey = "X-Idempotency-Key"
)

// minRetryAfter is the shortest time sent in Retry-After. It covers a new
// connection and one round trip to the caller.
const minRetryAfter = 50 * time.Millisecond

// statusClientClosedRequest is the status recorded for a request whose caller
// closed the connection. It is not a registered HTTP status.
const statusClientClosedRequest = 499

// ErrRefused is an error answer of this host, sent in place of a target's answer.
type ErrRefused struct {
	// Status is the HTTP status of the answer.
	Status int
	Code   Code
	// Message says what is wrong and what the caller can do.
	Message string
	// RetryAfter is sent as the header Retry-After, unless it is 0.
	RetryAfter time.Duration
	// Outcome is zero when it follows from the attempts of the request.
	Outcome model.Outcome
	// Close is set to close the caller's connection after the answer.
	Close bool
}

func (e *ErrRefused) Error() string { return string(e.Code) + ": " + e.Message }

// IsErrRefused reports whether err is or wraps an ErrRefused.
func IsErrRefused(err error) bool {
	var e *ErrRefused
	return errors.As(err, &e)
}

// refuse returns an ErrRefused with a formatted message.
func refuse(status int, code Code, format string, args ...any) *ErrRefused {
	return &ErrRefused{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// withRetryAfter sets RetryAfter to d, at least minRetryAfter, and returns e.
func (e *ErrRefused) withRetryAfter(d time.Duration) *ErrRefused {
	e.RetryAfter = max(d, minRetryAfter)
	return e
}

// withClose makes the answer close the caller's connection and returns e.
func (e *ErrRefused) withClose() *ErrRefused {
	e.Close = true
	return e
}

// withOutcome sets an outcome that does not follow from the attempts and returns e.
func (e *ErrRefused) withOutcome(o model.Outcome) *ErrRefused {
	e.Outcome = o
	return e
}

// withOutcomeStatus returns a copy of the error whose status alone tells whether
// the request was run, as WithStatusPromise describes.
func (e *ErrRefused) withOutcomeStatus(outcome model.Outcome) *ErrRefused {
	out := *e
	promise := e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests ||
		e.Status == http.StatusRequestTimeout || e.Status == http.StatusMisdirectedRequest
	switch {
	case outcome != model.OutcomeNotRun && promise:
		out.Status, out.RetryAfter = http.StatusBadGateway, 0
	case outcome == model.OutcomeNotRun && e.Status >= http.StatusInternalServerError && !promise,
		outcome == model.OutcomeNotRun && e.Code == CodeQuarantined:
		out.Status, out.RetryAfter = http.StatusServiceUnavailable, max(e.RetryAfter, defaultRetryAfter)
	}
	return &out
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
}

// write sends the error as JSON, with the request's id in the header called name
// unless id is empty. Retry-After has fractions of a second if fractions is set.
func (e *ErrRefused) write(w http.ResponseWriter, name, id string, outcome model.Outcome, fractions bool) {
	body, err := json.Marshal(errorBody{Code: e.Code, Message: e.Message, RequestID: id})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if id != "" {
		h.Set(name, id)
	}
	if outcome != 0 {
		h.Set(headerOutcome, outcome.String())
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterValue(e.RetryAfter, fractions))
	}
	if e.Close {
		h.Set("Connection", "close")
	}
	w.WriteHeader(e.Status)
	w.Write(body) //nolint:errcheck // A failure means that the caller went away.
}

// retryAfterValue returns the value of Retry-After: whole seconds as RFC 9110
// requires or, if fractions is set, seconds with up to three decimals.
func retryAfterValue(d time.Duration, fractions bool) string {
	if fractions {
		return strconv.FormatFloat(float64(d.Milliseconds())/1e3, 'f', -1, 64)
	}
	return strconv.Itoa(ceilSeconds(d))
}

// ceilSeconds rounds up to whole seconds, so that no caller returns too early.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
