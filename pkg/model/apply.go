package model

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// InitialDefaults returns the defaults of a new fleet, before any SetDefaults.
func InitialDefaults() Defaults {
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

// NewConfig returns the configuration of a new fleet: version 0 with the initial
// defaults, the given control hosts and seats, and no workspaces, keys, services
// or routes.
func NewConfig(controls, seats []HostID) Config {
	return Config{
		Defaults: InitialDefaults(),
		Controls: slices.Clone(controls),
		Seats:    slices.Clone(seats),
	}
}

// WithVersion returns a copy of the configuration with version v.
func (c Config) WithVersion(v Version) Config {
	c.Version = v
	return c
}

// Apply returns the configuration with the proposal applied and with version v.
// The receiver is unchanged. Apply returns ErrConflict if the base of the
// proposal is not the version of the receiver, ErrSuperseded for a whole
// configuration whose revision is not higher than that of the receiver, and
// ErrNotFound, ErrExists, ErrWithdrawn or ErrInvalid for a change that
// contradicts the configuration.
func (c Config) Apply(v Version, p Proposal) (Config, error) {
	if p.Base != c.Version {
		return c, ErrConflict{Base: p.Base, Newest: c.Version}
	}
	next, err := c.applyChange(v, p.Change)
	if err != nil {
		return c, err
	}
	return next.WithVersion(v), nil
}

func (c Config) applyChange(v Version, ch Change) (Config, error) {
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
	case ReplaceContent:
		return c.replaceContent(ch)
	case EditContent:
		return c.editContent(ch)
	default:
		return c.applySchedulingChange(ch)
	}
}

// applySchedulingChange applies a change of what decides which targets and requests
// come first.
func (c Config) applySchedulingChange(ch Change) (Config, error) {
	switch ch := ch.(type) {
	case SetWorkspacePriority:
		return c.setWorkspacePriority(ch)
	case EvacuateZone:
		return c.evacuateZone(ch)
	case ReturnZone:
		return c.returnZone(ch)
	default:
		return c, ErrInvalid{Field: "change", Got: fmt.Sprintf("%T", ch), Want: "a change this version knows; upgrade this host"}
	}
}

func (c Config) createWorkspace(ch CreateWorkspace) (Config, error) {
	if err := checkName("workspace", string(ch.Workspace)); err != nil {
		return c, err
	}
	if _, ok := c.Workspaces.Get(ch.Workspace); ok {
		return c, ErrExists{Kind: "workspace", Name: string(ch.Workspace)}
	}
	c.Workspaces = c.Workspaces.With(Workspace{ID: ch.Workspace})
	return c, nil
}

// checkActiveWorkspace returns ErrNotFound for an unknown workspace and ErrWithdrawn
// for a withdrawn one.
func (c Config) checkActiveWorkspace(id WorkspaceID) error {
	ws, ok := c.Workspaces.Get(id)
	if !ok {
		return ErrNotFound{Kind: "workspace", Name: string(id)}
	}
	if ws.Withdrawn {
		return ErrWithdrawn{Workspace: id}
	}
	return nil
}

func (c Config) withdrawWorkspace(v Version, ch WithdrawWorkspace) (Config, error) {
	if err := c.checkActiveWorkspace(ch.Workspace); err != nil {
		return c, err
	}
	keys := c.Keys
	for k := range c.Keys.Of(ch.Workspace) {
		keys = keys.Without(k.Hash)
	}
	c.Keys = keys
	c.Workspaces = c.Workspaces.With(Workspace{ID: ch.Workspace, Withdrawn: true, WithdrawnAt: v})
	c.Priorities = c.Priorities.Without(ch.Workspace)
	return c, nil
}

func (c Config) issueKey(ch IssueKey) (Config, error) {
	if err := checkName("key", string(ch.Key.ID)); err != nil {
		return c, err
	}
	if err := c.checkActiveWorkspace(ch.Key.Workspace); err != nil {
		return c, err
	}
	_, hashUsed := c.Keys.Get(ch.Key.Hash)
	_, nameUsed := c.Keys.Find(ch.Key.Workspace, ch.Key.ID)
	if hashUsed || nameUsed {
		return c, ErrExists{Kind: "key", Name: string(ch.Key.ID)}
	}
	c.Keys = c.Keys.With(ch.Key)
	return c, nil
}

func (c Config) withdrawKey(ch WithdrawKey) (Config, error) {
	k, ok := c.Keys.Find(ch.Workspace, ch.Key)
	if !ok {
		return c, ErrNotFound{Kind: "key", Name: string(ch.Key)}
	}
	c.Keys = c.Keys.Without(k.Hash)
	return c, nil
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
	if e, ok := c.Exceptions.forScope(scopeOf(ch.Exception.Override)); ok && e.ID != ch.Exception.ID {
		return c, ErrExists{Kind: "exception", Name: e.ID}
	}
	c.Exceptions = c.Exceptions.With(ch.Exception)
	return c, nil
}

// checkOverride returns an error if the workspace, route or service that an
// override names does not exist, or if the workspace is withdrawn.
func (c Config) checkOverride(o Override) error {
	switch o := o.(type) {
	case LimitsOverride:
		return c.checkActiveWorkspace(o.Workspace)
	case DeadlineOverride:
		return c.checkRoute(o.Route)
	case FloorOverride:
		return c.checkService(o.Service)
	case ObjectiveOverride:
		return c.checkService(o.Service)
	default:
		return missingOverrideError()
	}
}

func (c Config) checkService(name ServiceName) error {
	if _, ok := c.Services.Get(name); !ok {
		return ErrNotFound{Kind: "service", Name: string(name)}
	}
	return nil
}

func (c Config) checkRoute(name RouteName) error {
	if _, ok := c.Routes.Get(name); !ok {
		return ErrNotFound{Kind: "route", Name: string(name)}
	}
	return nil
}

func (c Config) removeException(ch RemoveException) (Config, error) {
	if _, ok := c.Exceptions.Get(ch.ID); !ok {
		return c, ErrNotFound{Kind: "exception", Name: ch.ID}
	}
	c.Exceptions = c.Exceptions.Without(ch.ID)
	return c, nil
}

func (c Config) putService(ch PutService) (Config, error) {
	if err := cmp.Or(checkName("service", string(ch.Service.Name)), ch.Service.checkWarmup()); err != nil {
		return c, err
	}
	c.Services = c.Services.With(ch.Service.Name, ch.Service)
	return c, nil
}

func (c Config) putRoute(ch PutRoute) (Config, error) {
	if err := ch.Route.Check(); err != nil {
		return c, err
	}
	for _, name := range ch.Route.Services() {
		if err := c.checkService(name); err != nil {
			return c, err
		}
	}
	c.Routes = c.Routes.With(ch.Route)
	return c, nil
}

func (c Config) removeRoute(ch RemoveRoute) (Config, error) {
	if err := c.checkRoute(ch.Route); err != nil {
		return c, err
	}
	c.Routes = c.Routes.Without(ch.Route)
	if e, ok := c.Exceptions.forScope(scopeOf(DeadlineOverride{Route: ch.Route})); ok {
		c.Exceptions = c.Exceptions.Without(e.ID)
	}
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
	if countChangedHosts(c.Controls, ch.Controls) > 1 {
		return c, ErrInvalid{Field: "controls", Got: fmt.Sprint(ch.Controls), Want: "the current list with one host added or removed; make further changes one at a time"}
	}
	c.Controls = slices.Clone(ch.Controls)
	return c, nil
}

// checkHosts returns an ErrInvalid unless a list of hosts has one of the allowed
// lengths, valid names and no duplicates.
func checkHosts(field string, hosts []HostID, allowedLengths []int) error {
	if !slices.Contains(allowedLengths, len(hosts)) {
		return ErrInvalid{Field: field, Got: fmt.Sprintf("a list of %d hosts", len(hosts)), Want: fmt.Sprintf("a list with one of these lengths: %v", allowedLengths)}
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

// countChangedHosts returns the number of hosts that are in exactly one of the two lists.
func countChangedHosts(a, b []HostID) int {
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
