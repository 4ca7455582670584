package model

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// Routes is an immutable list of routes. Changes that do not touch routes share it.
type Routes struct {
	// ordered is by descending prefix length, then by name.
	ordered []Route
}

// RoutesOf returns the list of routes in any order.
func RoutesOf(list []Route) Routes {
	if len(list) == 0 {
		return Routes{}
	}
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, compareRoutes)
	return Routes{ordered: ordered}
}

func compareRoutes(a, b Route) int {
	return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
}

// All returns the routes by descending prefix length, then by name.
func (r Routes) All() iter.Seq[Route] { return slices.Values(r.ordered) }

// Get returns a route by its name. It does not allocate.
func (r Routes) Get(name RouteName) (Route, bool) {
	i := slices.IndexFunc(r.ordered, func(r Route) bool { return r.Name == name })
	if i < 0 {
		return Route{}, false
	}
	return r.ordered[i], true
}

// With returns a list that has the route in place of the one of the same name, if there is one.
func (r Routes) With(route Route) Routes { return RoutesOf(append(r.others(route.Name), route)) }

// Without returns a list without the route of a name.
func (r Routes) Without(name RouteName) Routes { return RoutesOf(r.others(name)) }

func (r Routes) others(name RouteName) []Route {
	return slices.DeleteFunc(slices.Clone(r.ordered), func(r Route) bool { return r.Name == name })
}

// Match returns the route with the longest prefix that covers the path and
// takes the method, and of several the first by name. A prefix covers a path
// at segment boundaries only, so /orders covers /orders/7 but not /ordersheet.
func (r Routes) Match(method, path string) (Route, bool) {
	for _, route := range r.ordered {
		if covers(route.PathPrefix, path) && route.takes(method) {
			return route, true
		}
	}
	return Route{}, false
}

func covers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func (r Route) takes(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}
