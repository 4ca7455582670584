package opsapi

import (
	"cmp"
	"slices"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// FromConfig returns the JSON form of a configuration. Empty lists are not null.
func FromConfig(c model.Config) Config {
	out := Config{
		Version:    uint64(c.Version),
		Defaults:   FromDefaults(c.Defaults),
		Workspaces: []Workspace{},
		Keys:       []Key{},
		Services:   []Service{},
		Routes:     []Route{},
		Exceptions: []Exception{},
		Priorities: []WorkspacePriority{},
		Evacuated:  toStrings(c.Evacuated),
		Seats:      toStrings(c.Seats),
		Controls:   toStrings(c.Controls),
	}
	for ws := range c.Workspaces.All() {
		out.Workspaces = append(out.Workspaces, fromWorkspace(ws))
	}
	for _, k := range slices.SortedFunc(c.Keys.All(), compareKeys) {
		out.Keys = append(out.Keys, fromKey(k))
	}
	for service := range c.Services.All() {
		out.Services = append(out.Services, fromService(service))
	}
	for r := range c.Routes.All() {
		out.Routes = append(out.Routes, fromRoute(r))
	}
	for e := range c.Exceptions.All() {
		out.Exceptions = append(out.Exceptions, fromException(e))
	}
	for p := range c.Priorities.All() {
		out.Priorities = append(out.Priorities, WorkspacePriority{Workspace: string(p.Workspace), Priority: &p.Priority})
	}
	return out
}

// compareKeys orders keys by workspace, then by name.
func compareKeys(a, b model.Key) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.ID, b.ID))
}

func toStrings[T ~string](in []T) []string {
	out := make([]string, 0, len(in))
	for _, v := range in {
		out = append(out, string(v))
	}
	return out
}

func toHostIDs(in []string) []model.HostID {
	out := make([]model.HostID, 0, len(in))
	for _, v := range in {
		out = append(out, model.HostID(v))
	}
	return out
}

// Model returns the configuration as a model.Config. Its lists may be in any
// order. Model returns an error for an exception without exactly one override and
// one name, and for duplicate workspaces or keys.
func (c Config) Model() (model.Config, error) {
	out := model.NewConfig(toHostIDs(c.Controls), toHostIDs(c.Seats)).WithVersion(model.Version(c.Version))
	out.Defaults = c.Defaults.Model()
	out.Services = model.NewIndex(mapSlice(c.Services, Service.model), func(s model.Service) model.ServiceName { return s.Name })
	out.Routes = model.NewRoutes(mapSlice(c.Routes, Route.model))
	var exceptions []model.Exception
	for _, e := range c.Exceptions {
		m, err := e.Model()
		if err != nil {
			return model.Config{}, err
		}
		exceptions = append(exceptions, m)
	}
	out.Exceptions = model.NewExceptions(exceptions)
	var priorities []model.WorkspacePriority
	for _, p := range c.Priorities {
		if p.Priority != nil {
			priorities = append(priorities, model.WorkspacePriority{Workspace: model.WorkspaceID(p.Workspace), Priority: *p.Priority})
		}
	}
	out.Priorities = model.NewIndex(priorities, func(p model.WorkspacePriority) model.WorkspaceID { return p.Workspace })
	for _, zone := range slices.Sorted(slices.Values(c.Evacuated)) {
		out.Evacuated = append(out.Evacuated, model.ZoneName(zone))
	}
	workspaces := mapSlice(c.Workspaces, Workspace.model)
	slices.SortFunc(workspaces, func(a, b model.Workspace) int { return cmp.Compare(a.ID, b.ID) })
	keys := mapSlice(c.Keys, Key.model)
	slices.SortFunc(keys, func(a, b model.Key) int { return slices.Compare(a.Hash[:], b.Hash[:]) })
	var err error
	if out.Workspaces, err = model.NewWorkspaces(slices.Values(workspaces)); err != nil {
		return model.Config{}, err
	}
	out.Keys, err = model.NewKeys(slices.Values(keys))
	return out, err
}

func mapSlice[A, B any](in []A, f func(A) B) []B {
	out := make([]B, 0, len(in))
	for _, a := range in {
		out = append(out, f(a))
	}
	return out
}
