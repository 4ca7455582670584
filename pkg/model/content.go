package model

import (
	"fmt"
	"time"
)

// Revision numbers the whole configurations that operators apply. Revisions are
// chosen by the operator and increase in uneven steps.
type Revision uint64

// Share is one part of a route whose requests go to several services.
type Share struct {
	Service ServiceName
	// Weight is the part's share of the requests, in proportion to the weights of the other parts.
	Weight float64
}

// WorkspaceContent is a workspace in an applied configuration, with all its keys.
type WorkspaceContent struct {
	Workspace WorkspaceID
	// Limits is nil if the workspace has no limit of its own.
	Limits *Limits
	Keys   []Key
}

// Content is everything that a whole configuration defines. Defaults and the
// exceptions that operators wrote are kept when content is replaced.
type Content struct {
	Services   []Service
	Routes     []Route
	Workspaces []WorkspaceContent
}

// ReplaceContent replaces services, routes, workspaces and keys as a whole. The
// highest revision is in force: a change with another revision is superseded.
type ReplaceContent struct {
	Revision Revision
	Content  Content
	// Document is the configuration as the operator wrote it, returned when it
	// is read back. Hosts other than control receive none.
	Document []byte
}

func (ReplaceContent) isChange() {}

// ErrSuperseded tells that a whole configuration has no higher revision than the one in force.
type ErrSuperseded struct {
	Revision Revision
	Newest   Revision
}

func (e ErrSuperseded) Error() string {
	return fmt.Sprintf("revision %d changes nothing, since revision %d is in force; apply a higher revision", e.Revision, e.Newest)
}

// IsErrSuperseded reports whether err is or wraps an ErrSuperseded.
func IsErrSuperseded(err error) bool { return isA[ErrSuperseded](err) }

// contentException is the prefix of the exceptions that content defines. The
// name of the workspace follows, so that a change of one workspace changes one exception.
const contentException = "content-limits-"

// contentReason is the written reason of those exceptions.
const contentReason = "limit of the workspace in the applied configuration"

// Unlimited are the limits of a workspace that an applied configuration does not limit.
func Unlimited() Limits { return Limits{Rate: 1e6, Burst: 1e7} }

// Check returns an error if the content contradicts itself.
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
	}
	if err := c.checkRoutes(services); err != nil {
		return err
	}
	return c.checkWorkspaces()
}

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
	places := map[string]RouteName{}
	for _, r := range c.Routes {
		if len(r.Methods) > 0 {
			continue
		}
		if other, ok := places[r.place()]; ok {
			return ErrInvalid{Field: "routes", Got: fmt.Sprintf("%q and %q with the same host and path prefix", other, r.Name), Want: "one route for each host and path prefix"}
		}
		places[r.place()] = r.Name
	}
	return nil
}

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

// replaceContent puts a whole configuration in force. Exceptions that operators
// wrote are kept as long as what they apply to exists.
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
	next.Exceptions = next.keptExceptions(c.Exceptions, ch.Content.Workspaces)
	return next, nil
}

// replaceWorkspaces changes the tables one by one, so that what stays is shared
// with the older configuration and hosts see only what changed.
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

// keptExceptions returns the operators' exceptions that still apply, and one
// for each limit of the content that none of them replaces.
func (c Config) keptExceptions(before Exceptions, list []WorkspaceContent) Exceptions {
	var kept []Exception
	for e := range before.All() {
		written := e.Reason != contentReason
		if written && c.checkOverride(e.Override) == nil {
			kept = append(kept, e)
		}
	}
	out := NewExceptions(kept)
	for _, w := range list {
		override := LimitsOverride{Workspace: w.Workspace, Limits: Unlimited()}
		if w.Limits != nil {
			override.Limits = *w.Limits
		}
		if _, ok := out.of(scopeOf(override)); !ok {
			out = out.With(Exception{ID: contentException + string(w.Workspace), Reason: contentReason, Override: override})
		}
	}
	return out
}

// Services returns the services that a route sends requests to.
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

// Pick returns the service for a request, where at is a uniformly distributed
// number from 0 to 1, exclusive.
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

// place is what the path of a request is matched against: the host, or nothing
// for a route of all hosts, and the path prefix.
func (r Route) place() string { return r.Host + r.PathPrefix }

// checkSplit returns an ErrInvalid if the weights of a route do not divide its requests.
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
	return valid(total > 0, "split", "weights that add up to 0", "weights that add up to more than 0")
}

// checkTimes returns an ErrInvalid if a time of the route is out of range. A time of 0 is not set.
func (r Route) checkTimes() error {
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

// WithoutDocuments returns changes for hosts that do not read configurations back.
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

// WithoutDocument returns the configuration for hosts that do not read it back.
func (c Config) WithoutDocument() Config {
	c.Document = nil
	return c
}
