package model

import (
	"fmt"
	"time"
)

// Revision is the number that an operator gives to a whole configuration.
// Revisions increase, but not necessarily by one.
type Revision uint64

// Share is the part of a split route's requests that goes to one service.
type Share struct {
	Service ServiceName
	// Weight is between 0 and 1e9. The service gets the share of the requests that
	// Weight has in the sum of the route's weights.
	Weight float64
}

// WorkspaceContent is a workspace in a whole configuration, with its limits and all its keys.
type WorkspaceContent struct {
	Workspace WorkspaceID
	// Limits is nil if the configuration does not limit the workspace.
	Limits *Limits
	Keys   []Key
	// Priority is nil if the configuration gives the workspace none.
	Priority *int
}

// Content is everything that a whole configuration defines. Replacing it keeps
// the defaults and the exceptions that operators wrote.
type Content struct {
	Services   []Service
	Routes     []Route
	Workspaces []WorkspaceContent
}

// ReplaceContent replaces services, routes, workspaces and keys as a whole. It
// is refused with ErrSuperseded unless Revision is higher than the revision of the
// configuration in force.
type ReplaceContent struct {
	Revision Revision
	Content  Content
	// Document is the configuration as the operator wrote it. It is returned when
	// the configuration is read back, so only control hosts receive it.
	Document []byte
}

func (ReplaceContent) isChange() {}

// ErrSuperseded means that the revision of a whole configuration is not higher
// than the revision of the configuration in force.
type ErrSuperseded struct {
	Revision Revision
	Newest   Revision
}

func (e ErrSuperseded) Error() string {
	return fmt.Sprintf("revision %d changes nothing, since revision %d is in force; apply a higher revision", e.Revision, e.Newest)
}

// IsErrSuperseded reports whether err is or wraps an ErrSuperseded.
func IsErrSuperseded(err error) bool { return isA[ErrSuperseded](err) }

// contentExceptionPrefix begins the IDs of the exceptions for limits in content.
// The name of the workspace follows it, so that a change of one workspace
// changes one exception.
const contentExceptionPrefix = "content-limits-"

// contentExceptionReason is the reason of the exceptions for limits in content. It
// distinguishes them from the exceptions that operators wrote.
const contentExceptionReason = "limit of the workspace in the applied configuration"

// Unlimited returns the highest valid limits, for a workspace that a whole
// configuration does not limit.
func Unlimited() Limits { return Limits{Rate: 1e6, Burst: 1e7} }

// Check returns ErrInvalid for a value out of range, ErrExists for a duplicate
// and ErrNotFound for a route to a service that the content does not define.
func (c Content) Check() error {
	services := map[ServiceName]bool{}
	for _, s := range c.Services {
		if err := checkName("service", string(s.Name)); err != nil {
			return err
		}
		if services[s.Name] {
			return ErrExists{Kind: "service", Name: string(s.Name)}
		}
		services[s.Name] = true
		if err := s.checkWarmup(); err != nil {
			return err
		}
	}
	if err := c.checkRoutes(services); err != nil {
		return err
	}
	return c.checkWorkspaces()
}

// checkRoutes checks each route by itself, that its services exist, and that no
// two routes for all methods have the same host and path prefix.
func (c Content) checkRoutes(services map[ServiceName]bool) error {
	names := map[RouteName]bool{}
	for _, r := range c.Routes {
		if err := r.Check(); err != nil {
			return err
		}
		if names[r.Name] {
			return ErrExists{Kind: "route", Name: string(r.Name)}
		}
		names[r.Name] = true
		for _, name := range r.Services() {
			if !services[name] {
				return ErrNotFound{Kind: "service", Name: string(name)}
			}
		}
	}
	namesByHostPath := map[string]RouteName{}
	for _, r := range c.Routes {
		if len(r.Methods) > 0 {
			continue
		}
		if other, ok := namesByHostPath[r.hostPath()]; ok {
			return ErrInvalid{Field: "routes", Got: fmt.Sprintf("%q and %q with the same host and path prefix", other, r.Name), Want: "one route for each host and path prefix"}
		}
		namesByHostPath[r.hostPath()] = r.Name
	}
	return nil
}

// checkWorkspaces checks names and limits, and that each key occurs once and
// belongs to the workspace that lists it.
func (c Content) checkWorkspaces() error {
	names := map[WorkspaceID]bool{}
	keys := map[KeyHash]WorkspaceID{}
	for _, w := range c.Workspaces {
		if err := checkName("workspace", string(w.Workspace)); err != nil {
			return err
		}
		if names[w.Workspace] {
			return ErrExists{Kind: "workspace", Name: string(w.Workspace)}
		}
		names[w.Workspace] = true
		if w.Limits != nil {
			if err := w.Limits.Check(); err != nil {
				return err
			}
		}
		for _, k := range w.Keys {
			if _, ok := keys[k.Hash]; ok || k.Workspace != w.Workspace {
				return ErrExists{Kind: "key", Name: string(k.ID)}
			}
			keys[k.Hash] = w.Workspace
		}
	}
	return nil
}

// replaceContent puts a whole configuration in force. An exception that an
// operator wrote is kept if its workspace, route or service still exists.
// Content that names a withdrawn workspace is refused.
func (c Config) replaceContent(ch ReplaceContent) (Config, error) {
	if ch.Revision <= c.Revision {
		return c, ErrSuperseded{Revision: ch.Revision, Newest: c.Revision}
	}
	if err := ch.Content.Check(); err != nil {
		return c, err
	}
	for _, w := range ch.Content.Workspaces {
		if ws, ok := c.Workspaces.Get(w.Workspace); ok && ws.Withdrawn {
			return c, ErrWithdrawn{Workspace: w.Workspace}
		}
	}
	next := c
	next.Revision, next.Document = ch.Revision, ch.Document
	next.Services = NewIndex(ch.Content.Services, func(s Service) ServiceName { return s.Name })
	next.Routes = NewRoutes(ch.Content.Routes)
	next.Workspaces, next.Keys = c.replaceWorkspaces(ch.Content.Workspaces)
	next.Exceptions = next.replaceExceptions(c.Exceptions, ch.Content.Workspaces)
	next.Priorities = newPriorities(ch.Content.Workspaces)
	return next, nil
}

// replaceWorkspaces returns the tables of workspaces and keys for the listed
// workspaces. Withdrawn workspaces are kept. Entries are changed one at a time,
// so that the new tables share the unchanged records with the old ones and a
// comparison of both finds only what changed.
func (c Config) replaceWorkspaces(list []WorkspaceContent) (Workspaces, Keys) {
	workspaces, keys := c.Workspaces, c.Keys
	wanted := map[WorkspaceID]bool{}
	wantedKeys := map[KeyHash]bool{}
	for _, w := range list {
		wanted[w.Workspace] = true
		if _, ok := workspaces.Get(w.Workspace); !ok {
			workspaces = workspaces.With(Workspace{ID: w.Workspace})
		}
		for _, k := range w.Keys {
			wantedKeys[k.Hash] = true
			if old, ok := keys.Get(k.Hash); !ok || old != k {
				keys = keys.With(k)
			}
		}
	}
	for ws := range c.Workspaces.All() {
		if !wanted[ws.ID] && !ws.Withdrawn {
			workspaces = workspaces.Without(ws.ID)
		}
	}
	for k := range c.Keys.All() {
		if !wantedKeys[k.Hash] {
			keys = keys.Without(k.Hash)
		}
	}
	return workspaces, keys
}

// replaceExceptions returns the exceptions that operators wrote and that still
// apply, and one exception with the limits of each listed workspace for whose
// limits an operator wrote none.
func (c Config) replaceExceptions(before Exceptions, list []WorkspaceContent) Exceptions {
	var kept []Exception
	for e := range before.All() {
		byOperator := e.Reason != contentExceptionReason
		if byOperator && c.checkOverride(e.Override) == nil {
			kept = append(kept, e)
		}
	}
	out := NewExceptions(kept)
	for _, w := range list {
		override := LimitsOverride{Workspace: w.Workspace, Limits: Unlimited()}
		if w.Limits != nil {
			override.Limits = *w.Limits
		}
		if _, ok := out.forScope(scopeOf(override)); !ok {
			out = out.With(Exception{ID: contentExceptionPrefix + string(w.Workspace), Reason: contentExceptionReason, Override: override})
		}
	}
	return out
}

// Services returns the services that the route sends requests to.
func (r Route) Services() []ServiceName {
	if len(r.Split) == 0 {
		return []ServiceName{r.Service}
	}
	names := make([]ServiceName, 0, len(r.Split))
	for _, s := range r.Split {
		names = append(names, s.Service)
	}
	return names
}

// Pick returns the service for one request. If at is uniformly distributed from
// 0, inclusive, to 1, exclusive, services are picked in proportion to their weights.
func (r Route) Pick(at float64) ServiceName {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	for _, s := range r.Split {
		at -= s.Weight / total
		if at < 0 {
			return s.Service
		}
	}
	return r.Service
}

// hostPath returns the host, or nothing for a route for any host, followed by the
// path prefix. It is matched against the host and path of a request.
func (r Route) hostPath() string { return r.Host + r.PathPrefix }

// checkSplit returns an ErrInvalid if a weight of a split route is out of range or if the weights add up to 0.
func (r Route) checkSplit() error {
	if len(r.Split) == 0 {
		return nil
	}
	total := 0.0
	for _, s := range r.Split {
		if !(s.Weight >= 0 && s.Weight <= 1e9) {
			return ErrInvalid{Field: "weight", Got: fmt.Sprint(s.Weight), Want: "between 0 and 1,000,000,000"}
		}
		total += s.Weight
	}
	return invalidUnless(total > 0, "split", "weights that add up to 0", "weights that add up to more than 0")
}

// checkDurations returns an ErrInvalid if the timeout or the objective of the
// route is out of range. Both may be 0, which means that they are not set.
func (r Route) checkDurations() error {
	for _, t := range []struct {
		field string
		value time.Duration
	}{{"timeout", r.Timeout}, {"objective", r.Objective}} {
		if t.value == 0 {
			continue
		}
		if err := checkDeadline(t.field, t.value); err != nil {
			return err
		}
	}
	return nil
}

// WithoutDocuments returns the changes without the documents of whole
// configurations, which only control hosts need.
func WithoutDocuments(changes []Committed) []Committed {
	out := make([]Committed, 0, len(changes))
	for _, c := range changes {
		if ch, ok := c.Proposal.Change.(ReplaceContent); ok {
			ch.Document = nil
			c.Proposal.Change = ch
		}
		out = append(out, c)
	}
	return out
}

// WithoutDocument returns the configuration without its document, which only
// control hosts need.
func (c Config) WithoutDocument() Config {
	c.Document = nil
	return c
}
