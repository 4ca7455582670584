package opsapi

import (
	"cmp"
	"maps"
	"slices"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// FromConfig returns the JSON of a configuration.
func FromConfig(c model.Config) Config {
	out := Config{
		Version:    uint64(c.Version),
		Defaults:   FromDefaults(c.Defaults),
		Workspaces: []Workspace{},
		Keys:       []Key{},
		Services:   []Service{},
		Routes:     []Route{},
		Exceptions: []Exception{},
		Seats:      names(c.Seats),
		Controls:   names(c.Controls),
	}
	for _, id := range slices.Sorted(maps.Keys(c.Workspaces)) {
		out.Workspaces = append(out.Workspaces, fromWorkspace(c.Workspaces[id]))
	}
	for _, k := range slices.SortedFunc(maps.Values(c.Keys), compareKeys) {
		out.Keys = append(out.Keys, fromKey(k))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		out.Services = append(out.Services, fromService(c.Services[name]))
	}
	for _, r := range c.Routes {
		out.Routes = append(out.Routes, fromRoute(r))
	}
	for _, id := range slices.Sorted(maps.Keys(c.Exceptions)) {
		out.Exceptions = append(out.Exceptions, fromException(c.Exceptions[id]))
	}
	return out
}

func compareKeys(a, b model.Key) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.ID, b.ID))
}

func names[T ~string](in []T) []string {
	out := make([]string, 0, len(in))
	for _, v := range in {
		out = append(out, string(v))
	}
	return out
}

func hosts(in []string) []model.HostID {
	out := make([]model.HostID, 0, len(in))
	for _, v := range in {
		out = append(out, model.HostID(v))
	}
	return out
}

// Model returns the configuration.
func (c Config) Model() (model.Config, error) {
	out := model.NewConfig(hosts(c.Controls), hosts(c.Seats)).WithVersion(model.Version(c.Version))
	out.Defaults = c.Defaults.Model()
	for _, w := range c.Workspaces {
		out.Workspaces[model.WorkspaceID(w.ID)] = w.model()
	}
	for _, k := range c.Keys {
		out.Keys[model.KeyHash(k.Hash)] = k.model()
	}
	for _, s := range c.Services {
		out.Services[model.ServiceName(s.Name)] = s.model()
	}
	for _, r := range c.Routes {
		out.Routes = append(out.Routes, r.model())
	}
	for _, e := range c.Exceptions {
		m, err := e.Model()
		if err != nil {
			return model.Config{}, err
		}
		out.Exceptions[e.ID] = m
	}
	return out, nil
}
