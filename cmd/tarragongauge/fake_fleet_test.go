package main

import (
	"context"
	"slices"
	"sync"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// fakeFleet is a backend of the operators' API that applies changes in memory. Like
// a control host it keeps results by change id, so that a change is applied once.
type fakeFleet struct {
	mu      sync.Mutex
	cfg     model.Config
	results map[model.ChangeID]model.Result
	history []opsapi.AuditEntry
	// cleared lists the cleared quarantines as SERVICE/WORKSPACE.
	cleared []string
	// nextFault names the fault of the next proposal or request for evidence: race,
	// unknown, accept-silently, slow, or empty for none.
	nextFault string
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{cfg: model.NewConfig([]model.HostID{"c1"}, []model.HostID{"e1"}), results: map[model.ChangeID]model.Result{}}
}

// setNextFault sets the fault that the next call meets.
func (f *fakeFleet) setNextFault(fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextFault = fault
}

// takeFault returns the next fault and clears it. The caller holds mu.
func (f *fakeFleet) takeFault() string {
	fault := f.nextFault
	f.nextFault = ""
	return fault
}

func (f *fakeFleet) Ready() error { return nil }

// Propose applies a change. Its faults are "race", in which another operator's
// change is accepted first; "unknown", in which no result is known and nothing is
// applied from then on; and "accept-silently", in which the change is applied
// but no result is known from then on.
func (f *fakeFleet) Propose(_ context.Context, p model.Proposal) (model.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unknown := model.Result{ID: p.ID, Kind: model.ResultUnknown, Message: "leader lost"}
	switch fault := f.takeFault(); fault {
	case "race":
		f.apply(model.Proposal{ID: "other", Base: f.cfg.Version, Actor: "gwen", Change: model.CreateWorkspace{Workspace: "other"}})
	case "unknown":
		f.nextFault = fault
		return unknown, nil
	case "accept-silently":
		f.apply(p)
		f.nextFault = "unknown"
		return unknown, nil
	}
	return f.apply(p), nil
}

// apply applies a proposal, unless its change id has a result, and returns the
// result. The caller holds mu.
func (f *fakeFleet) apply(p model.Proposal) model.Result {
	if r, ok := f.results[p.ID]; ok {
		return r
	}
	r := model.Result{ID: p.ID, Kind: model.ResultAccepted, Version: f.cfg.Version + 1}
	next, err := f.cfg.Apply(f.cfg.Version+1, p)
	switch {
	case model.IsErrConflict(err):
		r = model.Result{ID: p.ID, Kind: model.ResultConflict, Version: f.cfg.Version, Message: err.Error()}
	case err != nil:
		r = model.Result{ID: p.ID, Kind: model.ResultInvalid, Version: f.cfg.Version, Message: err.Error()}
	default:
		f.cfg = next
	}
	f.results[p.ID] = r
	entry, _ := opsapi.FromAudit(model.Committed{Version: r.Version, Proposal: p}, r)
	f.history = slices.Insert(f.history, 0, entry)
	return r
}

func (f *fakeFleet) Config(context.Context) (model.Config, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg, nil
}

func (f *fakeFleet) History(_ context.Context, n int) ([]opsapi.AuditEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history[:min(n, len(f.history))], nil
}

// Silence returns a proof for a withdrawn workspace. With the fault "slow",
// the proof is returned from the second call on.
func (f *fakeFleet) Silence(_ context.Context, ws model.WorkspaceID) (opsapi.Evidence, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.cfg.Workspaces.Get(ws)
	if !ok {
		return opsapi.Evidence{}, model.ErrNotFound{Kind: "workspace", Name: string(ws)}
	}
	ms := int64(1500)
	e := opsapi.Evidence{Workspace: string(ws), WithdrawnAt: uint64(w.WithdrawnAt), Hosts: []opsapi.HostEvidence{{Host: "e1", Answered: true, LastAdmittedMs: &ms}}}
	e.Proved = w.Withdrawn && f.takeFault() != "slow"
	if !e.Proved {
		e.Missing = []string{"host e1 has not answered since version 2 was accepted"}
	}
	return e, nil
}

func (f *fakeFleet) Status(context.Context) (opsapi.Status, error) {
	return opsapi.Status{Host: "c1", Leader: "c1", Hosts: []opsapi.HostStatus{{Host: "c1", Role: "control", Answered: true}, {Host: "e1", Role: "entry", Zone: "z"}}}, nil
}

func (f *fakeFleet) Burn(context.Context) ([]byte, error) { return []byte("counters"), nil }

func (f *fakeFleet) ClearQuarantine(_ context.Context, service model.ServiceName, ws model.WorkspaceID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.cfg.Services.Get(service); !ok {
		return model.ErrNotFound{Kind: "service", Name: string(service)}
	}
	f.cleared = append(f.cleared, string(service)+"/"+string(ws))
	return nil
}
