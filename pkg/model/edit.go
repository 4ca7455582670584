package model

import (
	"reflect"
	"slices"
	"strings"
)

// EditContent is what a ReplaceContent changed. Operators do not propose it:
// control hosts keep whole configurations, and hosts that hold the version
// before are told the difference.
type EditContent struct {
	Revision          Revision
	Services          []Service
	RemovedServices   []ServiceName
	Routes            []Route
	RemovedRoutes     []RouteName
	Workspaces        []WorkspaceID
	RemovedWorkspaces []WorkspaceID
	Keys              []Key
	RemovedKeys       []KeyHash
	Exceptions        []Exception
	RemovedExceptions []string
}

func (EditContent) isChange() {}

// EditBetween returns what a ReplaceContent that was applied to before changed.
// Applied to before, it leads to the same configuration without its document.
func EditBetween(before, after Config) EditContent {
	e := EditContent{Revision: after.Revision}
	e.Services, e.RemovedServices = indexEdit(before.Services, after.Services)
	e.Exceptions, e.RemovedExceptions = indexEdit(before.Exceptions.byID, after.Exceptions.byID)
	for r := range after.Routes.All() {
		if old, ok := before.Routes.Get(r.Name); !ok || !reflect.DeepEqual(old, r) {
			e.Routes = append(e.Routes, r)
		}
	}
	for r := range before.Routes.All() {
		if _, ok := after.Routes.Get(r.Name); !ok {
			e.RemovedRoutes = append(e.RemovedRoutes, r.Name)
		}
	}
	// Names are cloned: an edit is kept for longer than the tables whose memory they share.
	changed(workspaceLayout, before.Workspaces.table, after.Workspaces.table, func(old, now string) bool {
		switch {
		case now != "":
			e.Workspaces = append(e.Workspaces, WorkspaceID(strings.Clone(string(readWorkspace(now).ID))))
		default:
			e.RemovedWorkspaces = append(e.RemovedWorkspaces, WorkspaceID(strings.Clone(string(readWorkspace(old).ID))))
		}
		return true
	})
	changed(keyLayout, before.Keys.byHash, after.Keys.byHash, func(old, now string) bool {
		if now == "" {
			e.RemovedKeys = append(e.RemovedKeys, readKey(old).Hash)
			return true
		}
		e.Keys = append(e.Keys, readKey(strings.Clone(now)))
		return true
	})
	return e
}

// indexEdit returns the values that an index gained or has otherwise, and the keys that it lost.
func indexEdit[K ~string, V comparable](before, after Index[K, V]) (put []V, gone []K) {
	for _, entry := range after.entries {
		if old, ok := before.Get(entry.key); !ok || old != entry.value {
			put = append(put, entry.value)
		}
	}
	for _, entry := range before.entries {
		if _, ok := after.Get(entry.key); !ok {
			gone = append(gone, entry.key)
		}
	}
	return put, gone
}

// with returns an index after an edit.
func (x Index[K, V]) with(put []V, gone []K, key func(V) K) Index[K, V] {
	if len(put)+len(gone) == 0 {
		return x
	}
	var values []V
	for _, entry := range x.entries {
		if !slices.Contains(gone, entry.key) {
			values = append(values, entry.value)
		}
	}
	// The last of several values with the same key remains.
	return NewIndex(append(values, put...), key)
}

func (c Config) editContent(e EditContent) (Config, error) {
	if e.Revision <= c.Revision {
		return c, ErrSuperseded{Revision: e.Revision, Newest: c.Revision}
	}
	next := c
	next.Revision, next.Document = e.Revision, nil
	next.Services = c.Services.with(e.Services, e.RemovedServices, func(s Service) ServiceName { return s.Name })
	next.Routes = c.Routes.edited(e.Routes, e.RemovedRoutes)
	for _, id := range e.RemovedWorkspaces {
		next.Workspaces = next.Workspaces.Without(id)
	}
	for _, id := range e.Workspaces {
		next.Workspaces = next.Workspaces.With(Workspace{ID: id})
	}
	for _, hash := range e.RemovedKeys {
		next.Keys = next.Keys.Without(hash)
	}
	for _, k := range e.Keys {
		next.Keys = next.Keys.With(k)
	}
	if len(e.Exceptions)+len(e.RemovedExceptions) > 0 {
		byID := c.Exceptions.byID.with(e.Exceptions, e.RemovedExceptions, func(x Exception) string { return x.ID })
		next.Exceptions = NewExceptions(slices.Collect(byID.All()))
	}
	return next, nil
}

// edited returns the list after an edit.
func (r Routes) edited(put []Route, gone []RouteName) Routes {
	if len(put)+len(gone) == 0 {
		return r
	}
	names := make(map[RouteName]bool, len(put)+len(gone))
	for _, name := range gone {
		names[name] = true
	}
	for _, route := range put {
		names[route.Name] = true
	}
	list := slices.Clone(put)
	for route := range r.All() {
		if !names[route.Name] {
			list = append(list, route)
		}
	}
	return NewRoutes(list)
}
