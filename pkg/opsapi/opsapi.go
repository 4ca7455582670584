// Package opsapi defines the operators' API, which the server and the client
// share: its paths, its JSON bodies and their conversion to and from the types of
// package model.
package opsapi

import (
	"net/http"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Paths of the operators' API. Requests to paths below /v1 need a bearer token.
const (
	PathChanges    = "/v1/changes"
	PathConfig     = "/v1/config"
	PathVersion    = "/v1/version"
	PathHistory    = "/v1/history"
	PathSilence    = "/v1/silence/"
	PathStatus     = "/v1/status"
	PathBurn       = "/v1/burn"
	PathQuarantine = "/v1/quarantine/clear"
	PathHealth     = "/healthz"
	PathReady      = "/readyz"
	PathVars       = "/debug/vars"
	PathMetrics    = "/metrics"
)

// Numbers of entries of the audit list in one response.
const (
	// DefaultHistoryEntries is the number of entries if the request does not say.
	DefaultHistoryEntries = 100
	// MaxHistoryEntries is the largest number that a request may ask for.
	MaxHistoryEntries = 1000
)

// Fault is the body of a response to a request that failed. A change that was
// refused has a Result instead.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Message describes the fault and its remedy.
	Message string `json:"message"`
	// Leader is the control host to send the request to, for FaultNotLeader.
	Leader string `json:"leader,omitempty"`
}

// FaultKind is the reason why a request failed.
type FaultKind string

// Kinds of faults.
const (
	// FaultUnauthorized means that the bearer token is missing or unknown.
	FaultUnauthorized FaultKind = "unauthorized"
	FaultRateLimited  FaultKind = "rate_limited"
	FaultMalformed    FaultKind = "malformed"
	// FaultTooLong means that the body of the request is too long.
	FaultTooLong  FaultKind = "too_long"
	FaultNotFound FaultKind = "not_found"
	// FaultNotLeader means that only another control host, the leader, can answer the request.
	FaultNotLeader FaultKind = "not_leader"
	// FaultUnavailable means that the host cannot answer the request at present.
	FaultUnavailable FaultKind = "unavailable"
	FaultInternal    FaultKind = "internal"
)

// IsValid reports whether k is one of the constants.
func (k FaultKind) IsValid() bool {
	switch k {
	case FaultUnauthorized, FaultRateLimited, FaultMalformed, FaultTooLong, FaultNotFound, FaultNotLeader, FaultUnavailable, FaultInternal:
		return true
	default:
		return false
	}
}

// Status returns the HTTP status code of a response with the fault.
func (k FaultKind) Status() int {
	switch k {
	case FaultUnauthorized:
		return http.StatusUnauthorized
	case FaultRateLimited:
		return http.StatusTooManyRequests
	case FaultMalformed:
		return http.StatusBadRequest
	case FaultTooLong:
		return http.StatusRequestEntityTooLarge
	case FaultNotFound:
		return http.StatusNotFound
	case FaultNotLeader:
		return http.StatusMisdirectedRequest
	case FaultUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// Version is the body of the response to PathVersion.
type Version struct {
	// Version is the newest version of the configuration that the host holds.
	Version uint64 `json:"version"`
}

// QuarantineClear is the body of a request that lets the quarantined requests of a
// workspace to a service run again.
type QuarantineClear struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
}

// Result is the JSON form of a model.Result.
type Result struct {
	ChangeID string `json:"change_id"`
	// Kind is one of accepted, conflict, invalid, unknown, not_leader and superseded.
	Kind    string `json:"kind"`
	Version uint64 `json:"version"`
	Message string `json:"message,omitempty"`
	Leader  string `json:"leader,omitempty"`
}

// resultKindNames returns the JSON name of each kind of result.
func resultKindNames() map[model.ResultKind]string {
	return map[model.ResultKind]string{
		model.ResultAccepted:  "accepted",
		model.ResultConflict:  "conflict",
		model.ResultInvalid:   "invalid",
		model.ResultUnknown:   "unknown",
		model.ResultNotLeader: "not_leader",

		model.ResultSuperseded: "superseded",
	}
}

// FromResult returns the JSON form of a result. A kind without a name becomes
// unknown, so that the client assumes neither acceptance nor refusal.
func FromResult(r model.Result) Result {
	kind, ok := resultKindNames()[r.Kind]
	if !ok {
		kind = resultKindNames()[model.ResultUnknown]
	}
	return Result{ChangeID: string(r.ID), Kind: kind, Version: uint64(r.Version), Message: r.Message, Leader: string(r.Leader)}
}

// Model returns the result as a model.Result. A kind that this version of the
// program does not know becomes ResultUnknown.
func (r Result) Model() model.Result {
	m := model.Result{ID: model.ChangeID(r.ChangeID), Kind: model.ResultUnknown, Version: model.Version(r.Version), Message: r.Message, Leader: model.HostID(r.Leader)}
	for kind, name := range resultKindNames() {
		if name == r.Kind {
			m.Kind = kind
		}
	}
	return m
}

// ResultStatus returns the HTTP status code of a response with a result of the kind.
func ResultStatus(kind model.ResultKind) int {
	switch kind {
	case model.ResultAccepted, model.ResultSuperseded:
		return http.StatusOK
	case model.ResultConflict:
		return http.StatusConflict
	case model.ResultInvalid:
		return http.StatusUnprocessableEntity
	case model.ResultNotLeader:
		return http.StatusMisdirectedRequest
	default:
		return http.StatusGatewayTimeout
	}
}
