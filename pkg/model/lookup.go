package model

import (
	"slices"
	"strings"
	"time"
)

func (c Config) hasRoute(name RouteName) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Name == name })
}

// Match returns the route with the longest prefix that covers the path and
// takes the method. A prefix covers a path at segment boundaries only, so
// /orders covers /orders/7 but not /ordersheet.
func (c Config) Match(method, path string) (Route, bool) {
	for _, r := range c.Routes {
		if covers(r.PathPrefix, path) && r.takes(method) {
			return r, true
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

// LimitsFor returns the limits of a workspace.
func (c Config) LimitsFor(ws WorkspaceID) Limits {
	for _, e := range c.Exceptions {
		if o, ok := e.Override.(LimitsOverride); ok && o.Workspace == ws {
			return o.Limits
		}
	}
	return c.Defaults.Limits
}

// DeadlineFor returns the deadline of a route.
func (c Config) DeadlineFor(route RouteName) time.Duration {
	for _, e := range c.Exceptions {
		if o, ok := e.Override.(DeadlineOverride); ok && o.Route == route {
			return o.Deadline
		}
	}
	return c.Defaults.Deadline
}

// FloorFor returns the capacity floor of a service as a share of its capacity.
func (c Config) FloorFor(service ServiceName) float64 {
	for _, e := range c.Exceptions {
		if o, ok := e.Override.(FloorOverride); ok && o.Service == service {
			return o.Floor
		}
	}
	return c.Defaults.Floor
}

// ObjectiveFor returns the objective of a service.
func (c Config) ObjectiveFor(service ServiceName) Objective {
	for _, e := range c.Exceptions {
		if o, ok := e.Override.(ObjectiveOverride); ok && o.Service == service {
			return o.Objective
		}
	}
	return c.Defaults.Objective
}

// Majority returns how many of n hosts make a majority.
func Majority(n int) int { return n/2 + 1 }
