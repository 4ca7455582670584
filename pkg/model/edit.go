package model

import (
	"reflect"
	"slices"
	"strings"
)

// EditContent is the difference that a ReplaceContent made to the configuration
// before it. Operators do not propose it: control hosts hold whole
// configurations and send this difference to hosts that hold the version before.
// The lists of items hold those that were added or changed.
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
	Priorities        []WorkspacePriority
	RemovedPriorities []WorkspaceID
}

func (EditContent) isChange() {}

// EditBetween returns the difference that a ReplaceContent made, from the
// configurations before and after it. Applied to before, the difference leads to
// after without its document.
func EditBetween(before, after Config) EditContent {
	e := EditContent{Revision: after.Revision}
	e.Services, e.RemovedServices = diffIndexes(before.Services, after.Services)
	e.Exceptions, e.RemovedExceptions = diffIndexes(before.Exceptions.byID, after.Exceptions.byID)
	e.Priorities, e.RemovedPriorities = diffIndexes(before.Priorities, after.Priorities)
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
	// Names are cloned, because the edit is kept for longer than the tables whose memory they share.
	diffTables(workspaceLayout, before.Workspaces.table, after.Workspaces.table, func(old, current string) bool {
		switch {
		case current != "":
			e.Workspaces = append(e.Workspaces, WorkspaceID(strings.Clone(string(readWorkspace(current).ID))))
		default:
			e.RemovedWorkspaces = append(e.RemovedWorkspaces, WorkspaceID(strings.Clone(string(readWorkspace(old).ID))))
		}
		return true
	})
	diffTables(keyLayout, before.Keys.byHash, after.Keys.byHash, func(old, current string) bool {
		if current == "" {
			e.RemovedKeys = append(e.RemovedKeys, readKey(old).Hash)
			return true
		}
		e.Keys = append(e.Keys, readKey(strings.Clone(current)))
		return true
	})
	return e
}

// diffIndexes returns the values of after that are missing or different in
// before, and the keys of before that are missing in after.
func diffIndexes[K ~string, V comparable](before, after Index[K, V]) (changed []V, removed []K) {
	for _, entry := range after.entries {
		if old, ok := before.Get(entry.key); !ok || old != entry.value {
			changed = append(changed, entry.value)
		}
	}
	for _, entry := range before.entries {
		if _, ok := after.Get(entry.key); !ok {
			removed = append(removed, entry.key)
		}
	}
	return changed, removed
}

// edit returns an index with the changed values put in and the removed keys left out.
func (x Index[K, V]) edit(changed []V, removed []K, key func(V) K) Index[K, V] {
	if len(changed)+len(removed) == 0 {
		return x
	}
	var values []V
	for _, entry := range x.entries {
		if !slices.Contains(removed, entry.key) {
			values = append(values, entry.value)
		}
	}
	// NewIndex keeps the last of several values with the same key, which is the changed one.
	return NewIndex(append(values, changed...), key)
}

// editContent applies the difference that a ReplaceContent made. It returns
// ErrSuperseded if the revision of e is not higher than that of the receiver.
func (c Config) editContent(e EditContent) (Config, error) {
	if e.Revision <= c.Revision {
		return c, ErrSuperseded{Revision: e.Revision, Newest: c.Revision}
	}
	next := c
	next.Revision, next.Document = e.Revision, nil
	next.Services = c.Services.edit(e.Services, e.RemovedServices, func(s Service) ServiceName { return s.Name })
	next.Routes = c.Routes.edit(e.Routes, e.RemovedRoutes)
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
	next.Priorities = c.Priorities.edit(e.Priorities, e.RemovedPriorities, workspaceOfPriority)
	if len(e.Exceptions)+len(e.RemovedExceptions) > 0 {
		byID := c.Exceptions.byID.edit(e.Exceptions, e.RemovedExceptions, func(x Exception) string { return x.ID })
		next.Exceptions = NewExceptions(slices.Collect(byID.All()))
	}
	return next, nil
}

// edit returns a list with the changed routes put in and the removed names left out.
func (r Routes) edit(changed []Route, removed []RouteName) Routes {
	if len(changed)+len(removed) == 0 {
		return r
	}
	affected := make(map[RouteName]bool, len(changed)+len(removed))
	for _, name := range removed {
		affected[name] = true
	}
	for _, route := range changed {
		affected[route.Name] = true
	}
	list := slices.Clone(changed)
	for route := range r.All() {
		if !affected[route.Name] {
			list = append(list, route)
		}
	}
	return NewRoutes(list)
}
