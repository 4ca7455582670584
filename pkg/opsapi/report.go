package opsapi

import (
	"encoding/json"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// AuditEntry is an entry of the audit list: a change that was accepted or refused.
type AuditEntry struct {
	// Version is the index of the change in the log.
	Version uint64 `json:"version"`
	// Time is the wall-clock time of submission.
	Time time.Time `json:"time"`
	// Actor is the operator who submitted the change.
	Actor  string `json:"actor"`
	Reason string `json:"reason,omitempty"`
	// Base is the version on which the change was based.
	Base uint64 `json:"base"`
	// Change has no field set if the change is no longer kept.
	Change Change `json:"change"`
	Result Result `json:"result"`
}

// FromAudit returns the JSON form of an entry of the audit list. It returns an
// error if the change has no JSON form.
func FromAudit(c model.Committed, r model.Result) (AuditEntry, error) {
	var ch Change
	var err error
	// Old entries of whole configurations are kept without their change.
	if c.Proposal.Change != nil {
		ch, err = FromChange(c.Proposal.Change)
	}
	return AuditEntry{
		Version: uint64(c.Version),
		Time:    time.UnixMilli(c.Proposal.UnixMilli).UTC(),
		Actor:   c.Proposal.Actor,
		Reason:  c.Proposal.Reason,
		Base:    uint64(c.Proposal.Base),
		Change:  ch,
		Result:  FromResult(r),
	}, err
}

// History is the body of the response to PathHistory: entries of the audit list,
// newest first.
type History struct {
	Entries []AuditEntry `json:"entries"`
}

// Evidence is the body of the response to PathSilence. It says whether it is proved
// that a withdrawn workspace has no traffic on any host.
type Evidence struct {
	Workspace string `json:"workspace"`
	// WithdrawnAt is the version that withdrew the workspace, or 0 if it is not withdrawn.
	WithdrawnAt uint64 `json:"withdrawn_at"`
	// Proved is true only if every host is covered.
	Proved bool           `json:"proved"`
	Hosts  []HostEvidence `json:"hosts"`
	// Missing lists, in sentences, what the proof lacks.
	Missing []string `json:"missing"`
}

// HostEvidence is the part of the evidence that concerns one host.
type HostEvidence struct {
	Host string `json:"host"`
	Zone string `json:"zone,omitempty"`
	// Covered is true if the host runs no request of the workspace and will not run any.
	Covered bool `json:"covered"`
	// Answered is true if the host answered the request for evidence.
	Answered bool `json:"answered"`
	// Version is the version of the configuration that the host holds.
	Version uint64 `json:"version,omitempty"`
	// InFlight is the number of the workspace's requests in flight on the host.
	InFlight int `json:"in_flight"`
	// EndsWithinMs is the time within which the requests in flight end at the latest,
	// in milliseconds, or nil if there are none.
	EndsWithinMs *int64 `json:"ends_within_ms,omitempty"`
	// LastAdmittedMs is how long ago the host admitted the last request of the
	// workspace, in milliseconds, or nil if it admitted none.
	LastAdmittedMs *int64 `json:"last_admitted_ms,omitempty"`
	// RightEndedMs is how long ago a host that did not answer lost the right to
	// serve, in milliseconds. It is negative while the host may still serve.
	RightEndedMs *int64 `json:"right_ended_ms,omitempty"`
}

// Status is the body of the response to PathStatus: the state of the fleet as one
// control host sees it.
type Status struct {
	// Host is the control host that answered.
	Host string `json:"host"`
	// Version is the version of the configuration that the control host holds.
	Version uint64 `json:"version"`
	// Leader is the control host that takes changes, or empty if it is not known.
	Leader string `json:"leader,omitempty"`
	Term   uint64 `json:"term"`
	// Evacuated lists the evacuated zones in ascending order.
	Evacuated []string     `json:"evacuated,omitempty"`
	Hosts     []HostStatus `json:"hosts"`
}

// HostStatus is the state of one host of the fleet.
type HostStatus struct {
	Host     string `json:"host"`
	Role     string `json:"role"`
	Zone     string `json:"zone,omitempty"`
	Addr     string `json:"addr,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	// Answered is true if the host answered the request for its state.
	Answered bool `json:"answered"`
	// Detail is the report of the host about itself, such as an EntryDetail.
	Detail json.RawMessage `json:"detail,omitempty"`
}
