package model

import "time"

// Match returns the route for any host that matches a request, as Routes.Match does.
func (c Config) Match(method, path string) (Route, bool) { return c.Routes.Match(method, path) }

// MatchHost returns the route of a request to a host, as Routes.MatchHost does.
func (c Config) MatchHost(method, host, path string) (Route, bool) {
	return c.Routes.MatchHost(method, host, path)
}

// TimeoutFor returns the maximum time from the arrival of a request to the end of
// its answer. The deadline of an exception for the route comes first, then the
// route's own timeout, then the default deadline.
func (c Config) TimeoutFor(r Route) time.Duration {
	if _, ok := findOverride[DeadlineOverride](c, scopeDeadline, string(r.Name)); ok || r.Timeout == 0 {
		return c.DeadlineFor(r.Name)
	}
	return r.Timeout
}

// KeyFor returns the key with a digest, unless its workspace is missing or
// withdrawn. It does not allocate.
func (c Config) KeyFor(hash KeyHash) (Key, bool) {
	key, ok := c.Keys.Get(hash)
	if !ok {
		return Key{}, false
	}
	if ws, ok := c.Workspaces.Get(key.Workspace); !ok || ws.Withdrawn {
		return Key{}, false
	}
	return key, true
}

// LimitsFor returns the limits of a workspace: those of an exception, or the default.
func (c Config) LimitsFor(ws WorkspaceID) Limits {
	if o, ok := findOverride[LimitsOverride](c, scopeLimits, string(ws)); ok {
		return o.Limits
	}
	return c.Defaults.Limits
}

// DeadlineFor returns the deadline of a route: that of an exception, or the default.
// It ignores the route's own timeout; see TimeoutFor.
func (c Config) DeadlineFor(route RouteName) time.Duration {
	if o, ok := findOverride[DeadlineOverride](c, scopeDeadline, string(route)); ok {
		return o.Deadline
	}
	return c.Defaults.Deadline
}

// FloorFor returns the capacity floor of a service as a share of its capacity
// between 0 and 1: that of an exception, or the default.
func (c Config) FloorFor(service ServiceName) float64 {
	if o, ok := findOverride[FloorOverride](c, scopeFloor, string(service)); ok {
		return o.Floor
	}
	return c.Defaults.Floor
}

// ObjectiveFor returns the objective of a service: that of an exception, or the default.
func (c Config) ObjectiveFor(service ServiceName) Objective {
	if o, ok := findOverride[ObjectiveOverride](c, scopeObjective, string(service)); ok {
		return o.Objective
	}
	return c.Defaults.Objective
}

// findOverride returns the override of an exception for the setting of the given
// kind and name, and whether there is one.
func findOverride[O Override](c Config, kind scopeKind, name string) (O, bool) {
	e, _ := c.Exceptions.forScope(scope{kind: kind, name: name})
	o, ok := e.Override.(O)
	return o, ok
}

// Majority returns the smallest number of hosts that is a majority of n.
func Majority(n int) int { return n/2 + 1 }
