package model

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against allocations in the lookups that are done for each request.
func TestLookupsDoNotAllocate(t *testing.T) {
	c := NewConfig(nil, nil)
	long := strings.Repeat("w", MaxNameLength-4)
	var routes []Route
	for i := range 500 {
		name := fmt.Sprintf("%s%04d", long, i)
		c.Workspaces = c.Workspaces.With(Workspace{ID: WorkspaceID(name)})
		c.Keys = c.Keys.With(Key{ID: KeyID(name), Workspace: WorkspaceID(name), Hash: sha256.Sum256([]byte(name))})
		c.Exceptions = c.Exceptions.With(Exception{ID: name, Override: LimitsOverride{Workspace: WorkspaceID(name)}})
		routes = append(routes, Route{Name: RouteName(name), PathPrefix: "/" + name, Service: "s"})
	}
	c.Routes = NewRoutes(routes)
	name := long + "0321"
	hash := KeyHash(sha256.Sum256([]byte(name)))
	path := "/" + name + "/x"
	require.Zero(t, testing.AllocsPerRun(100, func() {
		k, keyOK := c.KeyFor(hash)
		r, routeOK := c.Match("GET", path)
		if !keyOK || !routeOK || string(k.Workspace) != string(r.Name) || c.LimitsFor(k.Workspace) != (Limits{}) || c.DeadlineFor(r.Name) == 0 {
			t.Error("a lookup found something else")
		}
	}))
}
