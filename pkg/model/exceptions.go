package model

import (
	"cmp"
	"iter"
	"slices"
)

// Exceptions is an immutable list of exceptions by ID, indexed by the setting
// that they replace. Each setting has at most one exception.
type Exceptions struct {
	byID Index[string, Exception]
	// byScope is in ascending order of the scopes, or nil if there is none.
	byScope []Exception
}

// scopeKind is a kind of setting. Exceptions without an override have kind 0.
type scopeKind uint8

const (
	scopeLimits scopeKind = iota + 1
	scopeDeadline
	scopeFloor
	scopeObjective
)

// scope is the setting that an exception replaces.
type scope struct {
	kind scopeKind
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

func compareScope(e Exception, s scope) int {
	own := scopeOf(e.Override)
	return cmp.Or(cmp.Compare(own.kind, s.kind), cmp.Compare(own.name, s.name))
}

// NewExceptions returns the list of exceptions in any order. The last of several
// with the same ID remains.
func NewExceptions(list []Exception) Exceptions {
	x := Exceptions{byID: NewIndex(list, func(e Exception) string { return e.ID })}
	for e := range x.byID.All() {
		x.byScope = append(x.byScope, e)
	}
	slices.SortStableFunc(x.byScope, func(a, b Exception) int { return compareScope(a, scopeOf(b.Override)) })
	return x
}

// Len returns the number of exceptions.
func (x Exceptions) Len() int { return x.byID.Len() }

// Get returns an exception by its ID.
func (x Exceptions) Get(id string) (Exception, bool) { return x.byID.Get(id) }

// All returns the exceptions by ascending ID.
func (x Exceptions) All() iter.Seq[Exception] { return x.byID.All() }

func (x Exceptions) search(s scope) (int, bool) {
	return slices.BinarySearchFunc(x.byScope, s, compareScope)
}

// of returns the exception that replaces a setting. It does not allocate.
func (x Exceptions) of(s scope) (Exception, bool) {
	i, ok := x.search(s)
	if !ok {
		return Exception{}, false
	}
	return x.byScope[i], true
}

// With returns a list that has the exception in place of the one with the same ID, if there is one.
func (x Exceptions) With(e Exception) Exceptions {
	x = x.Without(e.ID)
	i, _ := x.search(scopeOf(e.Override))
	return Exceptions{byID: x.byID.With(e.ID, e), byScope: slices.Concat(x.byScope[:i], []Exception{e}, x.byScope[i:])}
}

// Without returns a list without the exception of an ID.
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
		i++ // Only a list that was not made by changes has several exceptions for one setting.
	}
	out.byScope = slices.Concat(x.byScope[:i], x.byScope[i+1:])
	return out
}
