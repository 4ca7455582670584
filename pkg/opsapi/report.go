package opsapi

import (
	"encoding/json"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// AuditEntry is one accepted or refused change of the audit list.
type AuditEntry struct {
	Version uint64    `json:"version"`
	Time    time.Time `json:"time"`
	Actor   string    `json:"actor"`
	Reason  string    `json:"reason,omitempty"`
	Base    uint64    `json:"base"`
	Change  Change    `json:"change"`
	Result  Result    `json:"result"`
}

// FromAudit returns the JSON of an entry of the audit list.
func FromAudit(c model.Committed, r model.Result) (AuditEntry, error) {
	var ch Change
	var err error
	// What a whole configuration changed is not kept forever.
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

// History is the audit list, newest first.
type History struct {
	Entries []AuditEntry `json:"entries"`
}

// Evidence says whether a workspace has no traffic on any host.
type Evidence struct {
	Workspace string `json:"workspace"`
	// WithdrawnAt is the version that withdrew the workspace, or 0.
	WithdrawnAt uint64 `json:"withdrawn_at"`
	// Proved is true only if every host is covered.
	Proved bool           `json:"proved"`
	Hosts  []HostEvidence `json:"hosts"`
	// Missing names what keeps the proof from being complete, in sentences.
	Missing []string `json:"missing"`
}

// HostEvidence is what one host adds to the evidence.
type HostEvidence struct {
	Host string `json:"host"`
	Zone string `json:"zone,omitempty"`
	// Covered is true if the host runs nothing for the workspace and never will.
	Covered  bool   `json:"covered"`
	Answered bool   `json:"answered"`
	Version  uint64 `json:"version,omitempty"`
	InFlight int    `json:"in_flight"`
	// LastAdmittedMs is how long ago the host admitted the last request, or nil if it never did.
	LastAdmittedMs *int64 `json:"last_admitted_ms,omitempty"`
	// RightEndedMs is how long ago the right to serve of a host that did not
	// answer ended. It is negative while the host may still serve.
	RightEndedMs *int64 `json:"right_ended_ms,omitempty"`
}

// Status is the state of the fleet as one control host sees it.
type Status struct {
	Host    string       `json:"host"`
	Version uint64       `json:"version"`
	Leader  string       `json:"leader,omitempty"`
	Term    uint64       `json:"term"`
	Hosts   []HostStatus `json:"hosts"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	Host     string `json:"host"`
	Role     string `json:"role"`
	Zone     string `json:"zone,omitempty"`
	Addr     string `json:"addr,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	Answered bool   `json:"answered"`
	// Detail is the section that the host reports about itself.
	Detail json.RawMessage `json:"detail,omitempty"`
}
