package model

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// scanRoutes is the reference implementation of Routes.Match. It returns the first
// route, by descending prefix length and then by name, that matches the path and
// the method.
func scanRoutes(routes []Route, method, path string) (Route, bool) {
	for _, r := range routes {
		if covers(r.PathPrefix, path) && r.allowsMethod(method) {
			return r, true
		}
	}
	return Route{}, false
}

// covers reports whether prefix is a prefix of the path that ends at a segment boundary.
func covers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// Guards against a prefix tree that finds another route than a linear scan of the
// ordered list, for example after routes were added and removed.
func TestMatchEqualsLinearScan(t *testing.T) {
	path := rapid.StringMatching(`(/?[ab]{0,3}){0,4}/?`)
	method := rapid.SampledFrom([]string{"GET", "POST", "PUT"})
	route := rapid.Custom(func(t *rapid.T) Route {
		return Route{
			Name:       RouteName(rapid.StringMatching(`[a-e]{1,2}`).Draw(t, "name")),
			PathPrefix: path.Draw(t, "prefix"),
			Methods:    rapid.SliceOfN(method, 0, 2).Draw(t, "methods"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		var routes Routes
		for _, r := range rapid.SliceOfN(route, 0, 30).Draw(t, "routes") {
			routes = routes.With(r)
			if rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
				routes = routes.Without(r.Name)
			}
		}
		ordered := slices.Collect(routes.All())
		require.True(t, slices.IsSortedFunc(ordered, compareRoutes))
		for _, p := range rapid.SliceOfN(path, 20, 20).Draw(t, "paths") {
			for _, m := range []string{"GET", "POST", "DELETE"} {
				want, wantOK := scanRoutes(ordered, m, p)
				got, ok := routes.Match(m, p)
				require.Equal(t, wantOK, ok, "%s %q", m, p)
				require.Equal(t, want, got, "%s %q", m, p)
			}
		}
	})
}
