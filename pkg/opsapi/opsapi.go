// Package opsapi defines the JSON of the operators' API, which the server and
// the client share: paths, bodies and the mapping to and from domain values.
package opsapi

import (
	"net/http"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Paths of the API. All paths below /v1 need a bearer token.
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

// Bounds of the audit list in one answer.
const (
	DefaultHistoryEntries = 100
	MaxHistoryEntries     = 1000
)

// Fault is the body of an answer that is not a result.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Message names the fault and its remedy.
	Message string `json:"message"`
	// Leader names the control host to ask, for FaultNotLeader.
	Leader string `json:"leader,omitempty"`
}

// FaultKind says why a request was not answered.
type FaultKind string

// Kinds of faults.
const (
	FaultUnauthorized FaultKind = "unauthorized"
	FaultRateLimited  FaultKind = "rate_limited"
	FaultMalformed    FaultKind = "malformed"
	FaultTooLong      FaultKind = "too_long"
	FaultNotFound     FaultKind = "not_found"
	FaultNotLeader    FaultKind = "not_leader"
	FaultUnavailable  FaultKind = "unavailable"
	FaultInternal     FaultKind = "internal"
)

// Status returns the HTTP status of a fault.
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

// Version is the body of the version answer.
type Version struct {
	Version uint64 `json:"version"`
}

// QuarantineClear is the body that clears quarantined requests.
type QuarantineClear struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
}

// Result is the JSON of a model.Result.
type Result struct {
	ChangeID string `json:"change_id"`
	// Kind is one of accepted, conflict, invalid, unknown, not_leader.
	Kind    string `json:"kind"`
	Version uint64 `json:"version"`
	Message string `json:"message,omitempty"`
	Leader  string `json:"leader,omitempty"`
}

// kindNames maps result kinds to their names.
func kindNames() map[model.ResultKind]string {
	return map[model.ResultKind]string{
		model.ResultAccepted:  "accepted",
		model.ResultConflict:  "conflict",
		model.ResultInvalid:   "invalid",
		model.ResultUnknown:   "unknown",
		model.ResultNotLeader: "not_leader",

		model.ResultSuperseded: "superseded",
	}
}

// FromResult returns the JSON of a result. A kind without a name becomes unknown, the one that promises nothing.
func FromResult(r model.Result) Result {
	kind, ok := kindNames()[r.Kind]
	if !ok {
		kind = kindNames()[model.ResultUnknown]
	}
	return Result{ChangeID: string(r.ID), Kind: kind, Version: uint64(r.Version), Message: r.Message, Leader: string(r.Leader)}
}

// Model returns the result. A kind this version does not know becomes ResultUnknown.
func (r Result) Model() model.Result {
	m := model.Result{ID: model.ChangeID(r.ChangeID), Kind: model.ResultUnknown, Version: model.Version(r.Version), Message: r.Message, Leader: model.HostID(r.Leader)}
	for kind, name := range kindNames() {
		if name == r.Kind {
			m.Kind = kind
		}
	}
	return m
}

// ResultStatus returns the HTTP status of a result.
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
