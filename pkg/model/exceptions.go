package model

import (
	"cmp"
	"iter"
	"slices"
)

// Exceptions is an immutable list of exceptions in ascending order of their IDs,
// with an index by the setting that they replace. Apply keeps at most one
// exception for a setting.
type Exceptions struct {
	byID Index[string, Exception]
	// byScope holds the same exceptions in ascending order of their scopes, or is nil if there are none.
	byScope []Exception
}

// scopeKind is the kind of a setting that an exception replaces. It is 0 for an
// exception without an override.
type scopeKind uint8

const (
	scopeLimits scopeKind = iota + 1
	scopeDeadline
	scopeFloor
	scopeObjective
)

// scope identifies the setting that an exception replaces.
type scope struct {
	kind scopeKind
	// name is the workspace, route or service whose setting is replaced.
	name string
}

func scopeOf(o Override) scope {
	switch o := o.(type) {
	case LimitsOverride:
		return scope{kind: scopeLimits, name: string(o.Workspace)}
	case DeadlineOverride:
		return scope{kind: scopeDeadline, name: string(o.Route)}
	case FloorOverride:
		return scope{kind: scopeFloor, name: string(o.Service)}
	case ObjectiveOverride:
		return scope{kind: scopeObjective, name: string(o.Service)}
	default:
		return scope{}
	}
}

// compareToScope orders an exception relative to a scope, by kind and then by name.
func compareToScope(e Exception, s scope) int {
	own := scopeOf(e.Override)
	return cmp.Or(cmp.Compare(own.kind, s.kind), cmp.Compare(own.name, s.name))
}

// NewExceptions returns the list of the given exceptions, which may be in any
// order. Of several exceptions with the same ID, the last one is kept.
func NewExceptions(list []Exception) Exceptions {
	x := Exceptions{byID: NewIndex(list, func(e Exception) string { return e.ID })}
	for e := range x.byID.All() {
		x.byScope = append(x.byScope, e)
	}
	slices.SortStableFunc(x.byScope, func(a, b Exception) int { return compareToScope(a, scopeOf(b.Override)) })
	return x
}

// Len returns the number of exceptions.
func (x Exceptions) Len() int { return x.byID.Len() }

// Get returns the exception with an ID.
func (x Exceptions) Get(id string) (Exception, bool) { return x.byID.Get(id) }

// All returns the exceptions in ascending order of their IDs.
func (x Exceptions) All() iter.Seq[Exception] { return x.byID.All() }

// search returns the index in byScope of the first exception with the scope, or
// where it would be inserted, and whether there is one.
func (x Exceptions) search(s scope) (int, bool) {
	return slices.BinarySearchFunc(x.byScope, s, compareToScope)
}

// forScope returns the exception that replaces a setting. It does not allocate,
// because it is called for each request.
func (x Exceptions) forScope(s scope) (Exception, bool) {
	i, ok := x.search(s)
	if !ok {
		return Exception{}, false
	}
	return x.byScope[i], true
}

// With returns a list with the exception added, in place of any with the same ID.
func (x Exceptions) With(e Exception) Exceptions {
	x = x.Without(e.ID)
	i, _ := x.search(scopeOf(e.Override))
	return Exceptions{byID: x.byID.With(e.ID, e), byScope: slices.Concat(x.byScope[:i], []Exception{e}, x.byScope[i:])}
}

// Without returns a list without the exception that has the ID.
func (x Exceptions) Without(id string) Exceptions {
	e, ok := x.Get(id)
	if !ok {
		return x
	}
	out := Exceptions{byID: x.byID.Without(id)}
	if len(x.byScope) == 1 {
		return out
	}
	i, _ := x.search(scopeOf(e.Override))
	for x.byScope[i].ID != id {
		i++ // NewExceptions and With accept several exceptions for one setting; Apply does not.
	}
	out.byScope = slices.Concat(x.byScope[:i], x.byScope[i+1:])
	return out
}
