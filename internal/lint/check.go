package lint

import (
	"errors"
	"fmt"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Option gives a check what is not in the configuration.
type Option func(*checker)

// WithCapacity states how many requests per second the targets of a service can
// handle together. Rates are compared with the sum, if it is given for each service.
func WithCapacity(service string, perSecond float64) Option {
	return func(c *checker) { c.capacity[service] = perSecond }
}

// WithMaxAttempts states how many attempts an entry host makes at most for one
// request, whatever a route says.
func WithMaxAttempts(n int) Option {
	return func(c *checker) { c.maxAttempts = n }
}

// checker holds a configuration, what is known of its parts, and the findings.
type checker struct {
	cfg         opsapi.Config
	capacity    map[string]float64
	maxAttempts int
	findings    []Finding

	services map[string]bool
	routes   map[string]bool
	// workspaces holds whether each workspace is active.
	workspaces map[string]bool
	// keys counts the keys of each workspace.
	keys map[string]int
	// deadlines holds the deadlines of exceptions by route.
	deadlines map[string]time.Duration
}

// Check returns the findings of a configuration in the order of its sections.
func Check(cfg opsapi.Config, opts ...Option) []Finding {
	c := &checker{
		cfg: cfg, capacity: map[string]float64{},
		services: map[string]bool{}, routes: map[string]bool{}, workspaces: map[string]bool{}, keys: map[string]int{}, deadlines: map[string]time.Duration{},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.checkDefaults()
	c.checkWorkspaces()
	c.checkKeys()
	c.checkServices()
	c.collectRoutes()
	c.checkExceptions()
	c.checkRoutes()
	c.checkPriorities()
	c.checkUse()
	return c.findings
}

func (c *checker) add(s Severity, section, entry, key, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Section: section, Entry: entry, Key: key, Text: fmt.Sprintf(format, args...)})
}

// addErr adds an error that a check of the model returned, if it did.
func (c *checker) addErr(section, entry string, err error) {
	var invalid model.ErrInvalid
	switch {
	case err == nil:
	case errors.As(err, &invalid):
		c.add(Error, section, entry, invalid.Field, "it is %s; it must be %s", invalid.Got, invalid.Want)
	default:
		c.add(Error, section, entry, "", "%v", err)
	}
}

// addOnce records a name in a set with its value, or adds an error if it is there.
func addOnce[V any](c *checker, set map[string]V, section, name string, v V) {
	if _, ok := set[name]; ok {
		c.add(Error, section, name, "", "the name occurs more than once")
	}
	set[name] = v
}

func (c *checker) checkDefaults() {
	d := c.cfg.Defaults.Model()
	c.addErr(sectionDefaults, "", d.Check())
	if d.Objective.Latency > d.Deadline {
		c.add(Warning, sectionDefaults, "", "objective.latency", "it is %s, but requests are given up after the deadline of %s", d.Objective.Latency, d.Deadline)
	}
	c.checkRate(sectionDefaults, "", d.Limits)
}

// checkRate compares the rate of one workspace with the capacity of all services.
func (c *checker) checkRate(section, entry string, l model.Limits) {
	if len(c.capacity) == 0 || l == model.Unlimited() {
		return
	}
	total := 0.0
	for _, s := range c.cfg.Services {
		perSecond, ok := c.capacity[s.Name]
		if !ok {
			return
		}
		total += perSecond
	}
	if l.Rate > total {
		c.add(Warning, section, entry, "limits.rate", "it is %g requests per second, but all services together can handle %g", l.Rate, total)
	}
}

func (c *checker) checkWorkspaces() {
	for _, w := range c.cfg.Workspaces {
		c.addErr(sectionWorkspaces, w.ID, model.Content{Workspaces: []model.WorkspaceContent{{Workspace: model.WorkspaceID(w.ID)}}}.Check())
		addOnce(c, c.workspaces, sectionWorkspaces, w.ID, !w.Withdrawn)
	}
}

func (c *checker) checkKeys() {
	names, hashes := map[string]bool{}, map[opsapi.Hash]string{}
	for _, k := range c.cfg.Keys {
		name := k.Workspace + "/" + k.ID
		addOnce(c, names, sectionKeys, name, true)
		if other, ok := hashes[k.Hash]; ok {
			c.add(Error, sectionKeys, name, "hash", "it is that of the key %s too", other)
		}
		hashes[k.Hash] = name
		active, known := c.workspaces[k.Workspace]
		switch {
		case !known:
			c.add(Error, sectionKeys, name, "workspace", "there is no workspace %q", k.Workspace)
		case !active:
			c.add(Warning, sectionKeys, name, "workspace", "the workspace is withdrawn, so that the key matches no request")
		}
		c.keys[k.Workspace]++
	}
}

func (c *checker) checkServices() {
	for _, s := range c.cfg.Services {
		addOnce(c, c.services, sectionServices, s.Name, true)
		service := model.Service{Name: model.ServiceName(s.Name), ColdStart: time.Duration(s.ColdStart), WarmupRate: s.WarmupRate}
		c.addErr(sectionServices, s.Name, model.Content{Services: []model.Service{service}}.Check())
		if (s.ColdStart == 0) != (s.WarmupRate == 0) {
			c.add(Warning, sectionServices, s.Name, "warmup_rate", "cold_start and warmup_rate take effect only together; set both or none")
		}
	}
}

func (c *checker) checkExceptions() {
	names := map[string]bool{}
	for _, e := range c.cfg.Exceptions {
		addOnce(c, names, sectionExceptions, e.ID, true)
		m, err := e.Model()
		if err != nil {
			c.addErr(sectionExceptions, e.ID, err)
			continue
		}
		c.addErr(sectionExceptions, e.ID, m.Check())
		switch o := m.Override.(type) {
		case model.LimitsOverride:
			c.refer(sectionExceptions, e.ID, "workspace", c.workspaces, e.Workspace)
			c.checkRate(sectionExceptions, e.ID, o.Limits)
			if active, ok := c.workspaces[e.Workspace]; ok && !active {
				c.add(Warning, sectionExceptions, e.ID, "workspace", "the workspace is withdrawn, so that the limits apply to no request")
			}
		case model.DeadlineOverride:
			c.refer(sectionExceptions, e.ID, "route", c.routes, e.Route)
			c.deadlines[e.Route] = o.Deadline
		case model.FloorOverride, model.ObjectiveOverride:
			c.refer(sectionExceptions, e.ID, "service", c.services, e.Service)
		}
	}
}

// refer adds an error unless a name that an entry refers to is known.
func (c *checker) refer(section, entry, key string, known map[string]bool, name string) {
	if _, ok := known[name]; !ok {
		c.add(Error, section, entry, key, "there is no %s %q", key, name)
	}
}

func (c *checker) checkPriorities() {
	names := map[string]bool{}
	for _, p := range c.cfg.Priorities {
		addOnce(c, names, sectionPriorities, p.Workspace, true)
		c.refer(sectionPriorities, p.Workspace, "workspace", c.workspaces, p.Workspace)
		active, known := c.workspaces[p.Workspace]
		switch {
		case p.Priority == nil:
			c.add(Warning, sectionPriorities, p.Workspace, "priority", "it is null; leave the entry out")
		case *p.Priority < 0:
			c.add(Error, sectionPriorities, p.Workspace, "priority", "it is %d; it must be at least 0, the most urgent", *p.Priority)
		case known && (!active || c.keys[p.Workspace] == 0):
			c.add(Warning, sectionPriorities, p.Workspace, "priority", "nothing uses the rank, since the workspace has no valid key")
		}
	}
}

// checkUse reports workspaces and services that no request can reach.
func (c *checker) checkUse() {
	for _, w := range c.cfg.Workspaces {
		if !w.Withdrawn && c.keys[w.ID] == 0 {
			c.add(Warning, sectionWorkspaces, w.ID, "", "it has no key, so that no request is its own")
		}
	}
	used := map[string]bool{}
	for _, r := range c.cfg.Routes {
		used[r.Service] = true
		for _, s := range r.Split {
			used[s.Service] = true
		}
	}
	for _, s := range c.cfg.Services {
		if !used[s.Name] {
			c.add(Warning, sectionServices, s.Name, "", "no route leads to it")
		}
	}
}
