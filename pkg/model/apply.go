package model

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// DefaultDefaults are the defaults of a new fleet.
func DefaultDefaults() Defaults {
	return Defaults{
		Limits:      Limits{Rate: 50, Burst: 100},
		Deadline:    5 * time.Second,
		RetryShare:  0.1,
		Floor:       0.7,
		Slots:       3,
		Connections: 350,
		QueueLimit:  200,
		Objective:   Objective{Availability: 0.999, Latency: 500 * time.Millisecond, LatencyShare: 0.99},
	}
}

// NewConfig returns version 0: no workspaces, keys, services or routes.
func NewConfig(controls, seats []HostID) Config {
	return Config{
		Defaults:   DefaultDefaults(),
		Workspaces: map[WorkspaceID]Workspace{},
		Keys:       map[KeyHash]Key{},
		Services:   map[ServiceName]Service{},
		Exceptions: map[string]Exception{},
		Controls:   slices.Clone(controls),
		Seats:      slices.Clone(seats),
	}
}

// WithVersion returns a copy at another version.
func (c Config) WithVersion(v Version) Config {
	c.Version = v
	return c
}

// Apply returns the configuration after a proposal with the given version.
// The receiver is unchanged. It returns ErrConflict for a stale base, and
// ErrNotFound, ErrExists, ErrWithdrawn or ErrInvalid for a change that
// contradicts the configuration.
func (c Config) Apply(v Version, p Proposal) (Config, error) {
	if p.Base != c.Version {
		return c, ErrConflict{Base: p.Base, Newest: c.Version}
	}
	next, err := c.change(v, p.Change)
	if err != nil {
		return c, err
	}
	return next.WithVersion(v), nil
}

func (c Config) change(v Version, ch Change) (Config, error) {
	switch ch := ch.(type) {
	case CreateWorkspace:
		return c.createWorkspace(ch)
	case WithdrawWorkspace:
		return c.withdrawWorkspace(v, ch)
	case IssueKey:
		return c.issueKey(ch)
	case WithdrawKey:
		return c.withdrawKey(ch)
	case SetDefaults:
		return c.setDefaults(ch)
	case PutException:
		return c.putException(ch)
	case RemoveException:
		return c.removeException(ch)
	case PutService:
		return c.putService(ch)
	case PutRoute:
		return c.putRoute(ch)
	case RemoveRoute:
		return c.removeRoute(ch)
	case SetSeats:
		return c.setSeats(ch)
	case SetControls:
		return c.setControls(ch)
	default:
		return c, ErrInvalid{Field: "change", Got: fmt.Sprintf("%T", ch), Want: "a change this version knows; upgrade this host"}
	}
}

func (c Config) createWorkspace(ch CreateWorkspace) (Config, error) {
	if err := checkName("workspace", string(ch.Workspace)); err != nil {
		return c, err
	}
	if _, ok := c.Workspaces[ch.Workspace]; ok {
		return c, ErrExists{Kind: "workspace", Name: string(ch.Workspace)}
	}
	c.Workspaces = maps.Clone(c.Workspaces)
	c.Workspaces[ch.Workspace] = Workspace{ID: ch.Workspace}
	return c, nil
}

func (c Config) activeWorkspace(id WorkspaceID) error {
	ws, ok := c.Workspaces[id]
	if !ok {
		return ErrNotFound{Kind: "workspace", Name: string(id)}
	}
	if ws.Withdrawn {
		return ErrWithdrawn{Workspace: id}
	}
	return nil
}

func (c Config) withdrawWorkspace(v Version, ch WithdrawWorkspace) (Config, error) {
	if err := c.activeWorkspace(ch.Workspace); err != nil {
		return c, err
	}
	c.Workspaces = maps.Clone(c.Workspaces)
	c.Workspaces[ch.Workspace] = Workspace{ID: ch.Workspace, Withdrawn: true, WithdrawnAt: v}
	c.Keys = maps.Clone(c.Keys)
	maps.DeleteFunc(c.Keys, func(_ KeyHash, k Key) bool { return k.Workspace == ch.Workspace })
	return c, nil
}

func (c Config) issueKey(ch IssueKey) (Config, error) {
	if err := checkName("key", string(ch.Key.ID)); err != nil {
		return c, err
	}
	if err := c.activeWorkspace(ch.Key.Workspace); err != nil {
		return c, err
	}
	for _, k := range c.Keys {
		if k.Hash == ch.Key.Hash || (k.Workspace == ch.Key.Workspace && k.ID == ch.Key.ID) {
			return c, ErrExists{Kind: "key", Name: string(ch.Key.ID)}
		}
	}
	c.Keys = maps.Clone(c.Keys)
	c.Keys[ch.Key.Hash] = ch.Key
	return c, nil
}

func (c Config) withdrawKey(ch WithdrawKey) (Config, error) {
	for hash, k := range c.Keys {
		if k.Workspace == ch.Workspace && k.ID == ch.Key {
			c.Keys = maps.Clone(c.Keys)
			delete(c.Keys, hash)
			return c, nil
		}
	}
	return c, ErrNotFound{Kind: "key", Name: string(ch.Key)}
}

func (c Config) setDefaults(ch SetDefaults) (Config, error) {
	if err := ch.Defaults.Check(); err != nil {
		return c, err
	}
	c.Defaults = ch.Defaults
	return c, nil
}

func (c Config) putException(ch PutException) (Config, error) {
	if err := ch.Exception.Check(); err != nil {
		return c, err
	}
	if err := c.checkOverride(ch.Exception.Override); err != nil {
		return c, err
	}
	for id, e := range c.Exceptions {
		if id != ch.Exception.ID && sameScope(e.Override, ch.Exception.Override) {
			return c, ErrExists{Kind: "exception", Name: id}
		}
	}
	c.Exceptions = maps.Clone(c.Exceptions)
	c.Exceptions[ch.Exception.ID] = ch.Exception
	return c, nil
}

// checkOverride returns an error if an override names something that does not exist.
func (c Config) checkOverride(o Override) error {
	switch o := o.(type) {
	case LimitsOverride:
		return c.activeWorkspace(o.Workspace)
	case DeadlineOverride:
		if !c.hasRoute(o.Route) {
			return ErrNotFound{Kind: "route", Name: string(o.Route)}
		}
		return nil
	case FloorOverride:
		return c.checkService(o.Service)
	case ObjectiveOverride:
		return c.checkService(o.Service)
	default:
		return ErrInvalid{Field: "override", Got: "missing", Want: "one of limits, deadline, floor, objective"}
	}
}

func (c Config) checkService(name ServiceName) error {
	if _, ok := c.Services[name]; !ok {
		return ErrNotFound{Kind: "service", Name: string(name)}
	}
	return nil
}

// sameScope reports whether two overrides replace the same setting.
func sameScope(a, b Override) bool {
	switch a := a.(type) {
	case LimitsOverride:
		o, ok := b.(LimitsOverride)
		return ok && o.Workspace == a.Workspace
	case DeadlineOverride:
		o, ok := b.(DeadlineOverride)
		return ok && o.Route == a.Route
	case FloorOverride:
		o, ok := b.(FloorOverride)
		return ok && o.Service == a.Service
	case ObjectiveOverride:
		o, ok := b.(ObjectiveOverride)
		return ok && o.Service == a.Service
	default:
		return false
	}
}

func (c Config) removeException(ch RemoveException) (Config, error) {
	if _, ok := c.Exceptions[ch.ID]; !ok {
		return c, ErrNotFound{Kind: "exception", Name: ch.ID}
	}
	c.Exceptions = maps.Clone(c.Exceptions)
	delete(c.Exceptions, ch.ID)
	return c, nil
}

func (c Config) putService(ch PutService) (Config, error) {
	if err := checkName("service", string(ch.Service.Name)); err != nil {
		return c, err
	}
	c.Services = maps.Clone(c.Services)
	c.Services[ch.Service.Name] = ch.Service
	return c, nil
}

func (c Config) putRoute(ch PutRoute) (Config, error) {
	if err := ch.Route.Check(); err != nil {
		return c, err
	}
	if err := c.checkService(ch.Route.Service); err != nil {
		return c, err
	}
	routes := slices.Clone(c.Routes)
	routes = slices.DeleteFunc(routes, func(r Route) bool { return r.Name == ch.Route.Name })
	routes = append(routes, ch.Route)
	slices.SortFunc(routes, compareRoutes)
	c.Routes = routes
	return c, nil
}

func compareRoutes(a, b Route) int {
	if n := len(b.PathPrefix) - len(a.PathPrefix); n != 0 {
		return n
	}
	return strings.Compare(string(a.Name), string(b.Name))
}

func (c Config) removeRoute(ch RemoveRoute) (Config, error) {
	if !c.hasRoute(ch.Route) {
		return c, ErrNotFound{Kind: "route", Name: string(ch.Route)}
	}
	c.Routes = slices.DeleteFunc(slices.Clone(c.Routes), func(r Route) bool { return r.Name == ch.Route })
	c.Exceptions = maps.Clone(c.Exceptions)
	maps.DeleteFunc(c.Exceptions, func(_ string, e Exception) bool {
		o, ok := e.Override.(DeadlineOverride)
		return ok && o.Route == ch.Route
	})
	return c, nil
}

func (c Config) setSeats(ch SetSeats) (Config, error) {
	if err := checkHosts("seats", ch.Seats, []int{1, 3, 5, 7}); err != nil {
		return c, err
	}
	c.Seats = slices.Clone(ch.Seats)
	return c, nil
}

func (c Config) setControls(ch SetControls) (Config, error) {
	if err := checkHosts("controls", ch.Controls, []int{1, 2, 3, 4, 5}); err != nil {
		return c, err
	}
	if changedHosts(c.Controls, ch.Controls) > 1 {
		return c, ErrInvalid{Field: "controls", Got: fmt.Sprint(ch.Controls), Want: "the current list with one host added or removed; make further changes one at a time"}
	}
	c.Controls = slices.Clone(ch.Controls)
	return c, nil
}

func checkHosts(field string, hosts []HostID, sizes []int) error {
	if !slices.Contains(sizes, len(hosts)) {
		return ErrInvalid{Field: field, Got: fmt.Sprintf("a list of %d hosts", len(hosts)), Want: fmt.Sprintf("a list with one of these lengths: %v", sizes)}
	}
	seen := map[HostID]bool{}
	for _, h := range hosts {
		if err := checkName(field, string(h)); err != nil {
			return err
		}
		if seen[h] {
			return ErrInvalid{Field: field, Got: fmt.Sprintf("naming %q twice", h), Want: "a list without duplicates"}
		}
		seen[h] = true
	}
	return nil
}

// changedHosts counts the hosts that stand in only one of the lists.
func changedHosts(a, b []HostID) int {
	n := 0
	for _, h := range a {
		if !slices.Contains(b, h) {
			n++
		}
	}
	for _, h := range b {
		if !slices.Contains(a, h) {
			n++
		}
	}
	return n
}
