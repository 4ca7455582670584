package model

import "time"

// Match returns the route of a request, see Routes.Match.
func (c Config) Match(method, path string) (Route, bool) { return c.Routes.Match(method, path) }

// MatchHost returns the route of a request to a host, see Routes.MatchHost.
func (c Config) MatchHost(method, host, path string) (Route, bool) {
	return c.Routes.MatchHost(method, host, path)
}

// TimeoutFor returns the bound on a request of a route: that of an exception, of the route, or the default.
func (c Config) TimeoutFor(r Route) time.Duration {
	if _, ok := override[DeadlineOverride](c, scopeDeadline, string(r.Name)); ok || r.Timeout == 0 {
		return c.DeadlineFor(r.Name)
	}
	return r.Timeout
}

// KeyFor returns the key with a digest if its workspace is not withdrawn. It does not allocate.
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

// LimitsFor returns the limits of a workspace.
func (c Config) LimitsFor(ws WorkspaceID) Limits {
	if o, ok := override[LimitsOverride](c, scopeLimits, string(ws)); ok {
		return o.Limits
	}
	return c.Defaults.Limits
}

// DeadlineFor returns the deadline of a route.
func (c Config) DeadlineFor(route RouteName) time.Duration {
	if o, ok := override[DeadlineOverride](c, scopeDeadline, string(route)); ok {
		return o.Deadline
	}
	return c.Defaults.Deadline
}

// FloorFor returns the capacity floor of a service as a share of its capacity.
func (c Config) FloorFor(service ServiceName) float64 {
	if o, ok := override[FloorOverride](c, scopeFloor, string(service)); ok {
		return o.Floor
	}
	return c.Defaults.Floor
}

// ObjectiveFor returns the objective of a service.
func (c Config) ObjectiveFor(service ServiceName) Objective {
	if o, ok := override[ObjectiveOverride](c, scopeObjective, string(service)); ok {
		return o.Objective
	}
	return c.Defaults.Objective
}

func override[O Override](c Config, kind scopeKind, name string) (O, bool) {
	e, _ := c.Exceptions.of(scope{kind: kind, name: name})
	o, ok := e.Override.(O)
	return o, ok
}

// Majority returns how many of n hosts make a majority.
func Majority(n int) int { return n/2 + 1 }
