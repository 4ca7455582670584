package lint

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (c *checker) collectRoutes() {
	for _, r := range c.cfg.Routes {
		addOnce(c, c.routes, sectionRoutes, r.Name, true)
	}
}

func (c *checker) checkRoutes() {
	for _, r := range c.cfg.Routes {
		c.checkRouteValues(r)
		c.checkMatches(r)
		c.checkSplit(r)
		c.checkTimes(r)
		c.checkAttempts(r)
	}
}

// checkRouteValues checks the values of a route and that its services exist.
func (c *checker) checkRouteValues(r opsapi.Route) {
	cfg, err := opsapi.Config{Routes: []opsapi.Route{r}}.Model()
	if err != nil {
		c.addErr(sectionRoutes, r.Name, err)
		return
	}
	m, _ := cfg.Routes.Get(model.RouteName(r.Name))
	c.addErr(sectionRoutes, r.Name, m.Check())
	for _, name := range m.Services() {
		c.refer(sectionRoutes, r.Name, "service", c.services, string(name))
	}
	if r.Priority < 0 {
		c.add(Error, sectionRoutes, r.Name, "priority", "it is %d; it must be at least 0, the most urgent", r.Priority)
	}
}

// checkMatches reports a route that no request can match.
func (c *checker) checkMatches(r opsapi.Route) {
	if r.Host != strings.ToLower(r.Host) || strings.Contains(r.Host, ":") {
		c.add(Warning, sectionRoutes, r.Name, "host", "it is %q, which matches no request; write it in lower case and without a port", r.Host)
	}
	path := strings.TrimSuffix(r.PathPrefix, "/") + "/"
	for _, segment := range []string{"//", "/./", "/../"} {
		if strings.Contains(path, segment) {
			c.add(Warning, sectionRoutes, r.Name, "path_prefix", "it is %q, which matches no request, since paths with %q are refused", r.PathPrefix, segment)
		}
	}
	for _, other := range c.cfg.Routes {
		if other.Name < r.Name && other.Host == r.Host && other.PathPrefix == r.PathPrefix && covers(other.Methods, r.Methods) {
			c.add(Warning, sectionRoutes, r.Name, "", "it matches no request, since route %q has the same host and path prefix, all its methods, and comes first by name", other.Name)
			return
		}
	}
}

// covers reports whether a route for methods matches all requests of a route for
// others. An empty list stands for all methods.
func covers(methods, others []string) bool {
	if len(methods) == 0 || len(others) == 0 {
		return len(methods) == 0
	}
	return !slices.ContainsFunc(others, func(m string) bool { return !slices.Contains(methods, m) })
}

func (c *checker) checkSplit(r opsapi.Route) {
	for i, s := range r.Split {
		if s.Weight == 0 {
			c.add(Warning, sectionRoutes, r.Name, fmt.Sprintf("split[%d].weight", i), "it is 0, so that service %q gets no request of the route", s.Service)
		}
	}
}

// checkTimes reports a timeout that ends requests before their objective.
func (c *checker) checkTimes(r opsapi.Route) {
	timeout, from := time.Duration(c.cfg.Defaults.Deadline), "the default deadline"
	if r.Timeout > 0 {
		timeout, from = time.Duration(r.Timeout), "the timeout"
	}
	if d, ok := c.deadlines[r.Name]; ok {
		timeout, from = d, "the deadline of an exception"
	}
	if objective := time.Duration(r.Objective); objective > timeout {
		c.add(Warning, sectionRoutes, r.Name, "objective", "it is %s, but requests are given up after %s of %s", objective, from, timeout)
	}
}

func (c *checker) checkAttempts(r opsapi.Route) {
	switch {
	case r.Attempts > 1 && c.cfg.Defaults.RetryShare == 0:
		c.add(Warning, sectionRoutes, r.Name, "attempts", "it is %d, but retry_share of the defaults is 0, which allows one", r.Attempts)
	case c.maxAttempts > 0 && r.Attempts > c.maxAttempts:
		c.add(Warning, sectionRoutes, r.Name, "attempts", "it is %d, but a host makes %d at most", r.Attempts, c.maxAttempts)
	}
}
