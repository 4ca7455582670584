package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hashOfByte returns a digest that is different for each n.
func hashOfByte(n byte) KeyHash {
	var h KeyHash
	h[0], h[31] = n, n
	return h
}

// sampleContent returns a content with two services, one plain route, one split route
// and two workspaces, of which one has limits.
func sampleContent() Content {
	return Content{
		Services: []Service{{Name: "stock", HealthPath: "/health", Connections: 90}, {Name: "plan"}},
		Routes: []Route{
			{Name: "lookup", Host: "a.example", PathPrefix: "/stock/", Service: "stock", Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Priority: 2},
			{Name: "order", Host: "b.example", PathPrefix: "/order/", Service: "plan", Split: []Share{{Service: "plan", Weight: 9}, {Service: "stock", Weight: 1}}},
		},
		Workspaces: []WorkspaceContent{
			{Workspace: "shop-1", Limits: &Limits{Rate: 10, Burst: 20}, Keys: []Key{{ID: "k1", Workspace: "shop-1", Hash: hashOfByte(1)}, {ID: "k2", Workspace: "shop-1", Hash: hashOfByte(2)}}},
			{Workspace: "shop-2", Keys: []Key{{ID: "k3", Workspace: "shop-2", Hash: hashOfByte(3)}}},
		},
	}
}

// mustApplyContent returns the configuration after a ReplaceContent, which must not be refused.
func mustApplyContent(t *testing.T, c Config, revision Revision, content Content) Config {
	t.Helper()
	next, err := c.Apply(c.Version+1, Proposal{ID: "x", Base: c.Version, Change: ReplaceContent{Revision: revision, Content: content, Document: []byte{byte(revision)}}})
	require.NoError(t, err)
	return next
}

// Guards against a whole configuration of which only a part comes into force, and
// against one that is replaced by the same or a lower revision.
func TestHighestRevisionReplacesEverything(t *testing.T) {
	c := mustApplyContent(t, NewConfig(nil, nil), 4, sampleContent())
	require.EqualValues(t, 4, c.Revision)
	require.Equal(t, []byte{4}, c.Document)
	require.Equal(t, Limits{Rate: 10, Burst: 20}, c.LimitsFor("shop-1"))
	require.Equal(t, Unlimited(), c.LimitsFor("shop-2"))

	next := sampleContent()
	next.Routes = next.Routes[:1]
	next.Workspaces = next.Workspaces[:1]
	next.Workspaces[0].Keys = next.Workspaces[0].Keys[:1]
	c = mustApplyContent(t, c, 9, next)
	_, ok := c.MatchHost("POST", "b.example", "/order/7")
	require.False(t, ok, "a route that the newer revision lacks")
	_, ok = c.KeyFor(hashOfByte(2))
	require.False(t, ok, "a key that the newer revision lacks")
	_, ok = c.Workspaces.Get("shop-2")
	require.False(t, ok)

	for _, revision := range []Revision{3, 9} {
		_, err := c.Apply(c.Version+1, Proposal{ID: "x", Base: c.Version, Change: ReplaceContent{Revision: revision, Content: sampleContent()}})
		require.True(t, IsErrSuperseded(err), "revision %d", revision)
	}
}

// Guards against a whole configuration that removes an exception an operator wrote
// or makes a withdrawn workspace usable again.
func TestReplacementKeepsExceptionsAndWithdrawals(t *testing.T) {
	c := mustApplyContent(t, NewConfig(nil, nil), 1, sampleContent())
	applyChange := func(change Change) {
		next, err := c.Apply(c.Version+1, Proposal{ID: "x", Base: c.Version, Change: change})
		require.NoError(t, err)
		c = next
	}
	applyChange(PutException{Exception: Exception{ID: "fair", Reason: "asked for by the shop", Override: FloorOverride{Service: "stock", Floor: 0.5}}})
	c = mustApplyContent(t, c, 2, sampleContent())
	require.Equal(t, 0.5, c.FloorFor("stock"))
	require.Equal(t, Limits{Rate: 10, Burst: 20}, c.LimitsFor("shop-1"))

	applyChange(WithdrawWorkspace{Workspace: "shop-1"})
	_, err := c.Apply(c.Version+1, Proposal{ID: "x", Base: c.Version, Change: ReplaceContent{Revision: 3, Content: sampleContent()}})
	require.True(t, IsErrWithdrawn(err))
}

// Guards against an invalid whole configuration that is accepted completely or in part.
func TestInvalidContentIsRefused(t *testing.T) {
	cases := map[string]func(*Content){
		"unknown service":          func(c *Content) { c.Routes[0].Service = "none" },
		"unknown service in split": func(c *Content) { c.Routes[1].Split[1].Service = "none" },
		"no weight":                func(c *Content) { c.Routes[1].Split = []Share{{Service: "plan"}, {Service: "stock"}} },
		"negative weight":          func(c *Content) { c.Routes[1].Split[0].Weight = -1 },
		"same place": func(c *Content) {
			c.Routes[1].Host, c.Routes[1].PathPrefix = c.Routes[0].Host, c.Routes[0].PathPrefix
		},
		"bare prefix":          func(c *Content) { c.Routes[0].PathPrefix = "stock/" },
		"shared key":           func(c *Content) { c.Workspaces[1].Keys[0].Hash = hashOfByte(1) },
		"same service twice":   func(c *Content) { c.Services[1].Name = "stock" },
		"same route twice":     func(c *Content) { c.Routes[1].Name = "lookup" },
		"workspace twice":      func(c *Content) { c.Workspaces[1].Workspace = "shop-1" },
		"limit of 0":           func(c *Content) { c.Workspaces[0].Limits = &Limits{} },
		"timeout out of range": func(c *Content) { c.Routes[0].Timeout = time.Hour },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			content := sampleContent()
			invalidate(&content)
			before := mustApplyContent(t, NewConfig(nil, nil), 1, sampleContent())
			after, err := before.Apply(before.Version+1, Proposal{ID: "x", Base: before.Version, Change: ReplaceContent{Revision: 2, Content: content}})
			require.Error(t, err)
			require.Equal(t, before.Revision, after.Revision)
			require.Equal(t, before.Version, after.Version)
		})
	}
}

// Guards against a route of one host that matches requests to another host, and
// against a route for any host that takes precedence over one of the request's
// host because its prefix is longer.
func TestRoutesMatchTheirHostFirst(t *testing.T) {
	routes := NewRoutes([]Route{
		{Name: "all", PathPrefix: "/stock/deep/", Service: "s"},
		{Name: "a", Host: "a.example", PathPrefix: "/stock/", Service: "s"},
		{Name: "b", Host: "b.example", PathPrefix: "/", Service: "s"},
	})
	cases := []struct{ host, path, want string }{
		{"a.example", "/stock/deep/1", "a"},
		{"a.example", "/other", ""},
		{"b.example", "/other", "b"},
		{"c.example", "/stock/deep/1", "all"},
		{"c.example", "/stock/1", ""},
		{"", "/stock/deep/1", "all"},
	}
	for _, c := range cases {
		got, ok := routes.MatchHost("GET", c.host, c.path)
		require.Equal(t, c.want != "", ok, "%s%s", c.host, c.path)
		require.Equal(t, RouteName(c.want), got.Name, "%s%s", c.host, c.path)
	}
	changed := routes.With(Route{Name: "a", Host: "c.example", PathPrefix: "/stock/", Service: "s"})
	_, ok := changed.MatchHost("GET", "a.example", "/stock/1")
	require.False(t, ok)
	got, _ := changed.MatchHost("GET", "c.example", "/stock/1")
	require.Equal(t, RouteName("a"), got.Name)
}

// Guards against a split route whose services get requests in other proportions than their weights.
func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Service: "a", Split: []Share{{"a", 90}, {"b", 0}, {"c", 10}}}
	got := map[ServiceName]int{}
	const n = 1000
	for i := range n {
		got[r.Pick(float64(i)/n)]++
	}
	require.Equal(t, map[ServiceName]int{"a": 900, "c": 100}, got)
	require.Equal(t, ServiceName("z"), Route{Service: "z"}.Pick(0.5))
}

// Guards against a route's own timeout that is used although an operator's
// exception replaces it.
func TestDeadlineExceptionOverridesRouteTimeout(t *testing.T) {
	c := mustApplyContent(t, NewConfig(nil, nil), 1, sampleContent())
	lookup, _ := c.Routes.Get("lookup")
	order, _ := c.Routes.Get("order")
	require.Equal(t, time.Second, c.TimeoutFor(lookup))
	require.Equal(t, c.Defaults.Deadline, c.TimeoutFor(order))
	c, err := c.Apply(c.Version+1, Proposal{ID: "y", Base: c.Version, Change: PutException{Exception: Exception{ID: "slow", Reason: "nightly count", Override: DeadlineOverride{Route: "lookup", Deadline: 3 * time.Second}}}})
	require.NoError(t, err)
	require.Equal(t, 3*time.Second, c.TimeoutFor(lookup))
}
