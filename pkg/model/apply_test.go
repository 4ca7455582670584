package model

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// mustApply returns the configuration after a change, which must not be refused.
func mustApply(t *testing.T, c Config, ch Change) Config {
	t.Helper()
	next, err := c.Apply(c.Version+1, Proposal{Base: c.Version, Change: ch})
	require.NoError(t, err)
	return next
}

// Guards against keys that still work after their workspace was withdrawn, and
// against the name of a withdrawn workspace being used again.
func TestWithdrawWorkspaceRemovesKeysAndReservesName(t *testing.T) {
	c := mustApply(t, NewConfig(nil, nil), CreateWorkspace{Workspace: "shop-7"})
	c = mustApply(t, c, IssueKey{Key: Key{ID: "till", Workspace: "shop-7", Hash: KeyHash{1}}})
	before := c
	c = mustApply(t, c, WithdrawWorkspace{Workspace: "shop-7"})

	require.Zero(t, c.Keys.Len())
	require.Equal(t, 1, before.Keys.Len(), "the older configuration must not change")
	ws, ok := c.Workspaces.Get("shop-7")
	require.True(t, ok)
	require.Equal(t, c.Version, ws.WithdrawnAt)
	_, err := c.Apply(c.Version+1, Proposal{Base: c.Version, Change: IssueKey{Key: Key{ID: "b", Workspace: "shop-7", Hash: KeyHash{2}}}})
	require.True(t, IsErrWithdrawn(err))
	_, err = c.Apply(c.Version+1, Proposal{Base: c.Version, Change: CreateWorkspace{Workspace: "shop-7"}})
	require.True(t, IsErrExists(err))
}

// Guards against a change that refers to missing items or has a value out of range
// and is applied nevertheless.
func TestApplyRefusesContradictingChanges(t *testing.T) {
	base := mustApply(t, NewConfig([]HostID{"c1", "c2", "c3"}, nil), CreateWorkspace{Workspace: "w"})
	base = mustApply(t, base, PutService{Service: Service{Name: "stockbook"}})
	limits := LimitsOverride{Workspace: "w", Limits: Limits{Rate: 1, Burst: 2}}
	tests := []struct {
		name   string
		change Change
		check  func(error) bool
	}{
		{"exception without a reason", PutException{Exception{ID: "e", Override: limits}}, IsErrInvalid},
		{"exception for an unknown workspace", PutException{Exception{ID: "e", Reason: "r", Override: LimitsOverride{Workspace: "x", Limits: limits.Limits}}}, IsErrNotFound},
		{"route to an unknown service", PutRoute{Route{Name: "r", PathPrefix: "/", Service: "x"}}, IsErrNotFound},
		{"route without a slash", PutRoute{Route{Name: "r", PathPrefix: "a", Service: "stockbook"}}, IsErrInvalid},
		{"two control hosts at once", SetControls{Controls: []HostID{"c1", "c2", "c3", "c4", "c5"}}, IsErrInvalid},
		{"even number of seats", SetSeats{Seats: []HostID{"a", "b"}}, IsErrInvalid},
		{"withdrawal of an unknown key", WithdrawKey{Workspace: "w", Key: "k"}, IsErrNotFound},
		{"rate that is not a number", SetDefaults{Defaults{}}, IsErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, err := base.Apply(base.Version+1, Proposal{Base: base.Version, Change: tt.change})
			require.Error(t, err)
			require.True(t, tt.check(err), err.Error())
			require.Equal(t, base.Version, next.Version)
		})
	}
}

// Guards against a change that overwrites the change of another operator: of two
// changes based on the same version, the second must be refused.
func TestApplyStaleBaseConflicts(t *testing.T) {
	c := mustApply(t, NewConfig(nil, nil), CreateWorkspace{Workspace: "a"})
	_, err := c.Apply(c.Version+1, Proposal{Base: c.Version - 1, Change: CreateWorkspace{Workspace: "b"}})
	require.True(t, IsErrConflict(err))
	require.Contains(t, err.Error(), "base 1")
}

// Guards against a request that goes to a route with a shorter prefix, a prefix
// that ends inside a path segment, or another method.
func TestMatchPrefersLongestPrefixAtSegmentBoundary(t *testing.T) {
	c := mustApply(t, NewConfig(nil, nil), PutService{Service: Service{Name: "s"}})
	c = mustApply(t, c, PutRoute{Route{Name: "all", PathPrefix: "/", Service: "s"}})
	c = mustApply(t, c, PutRoute{Route{Name: "orders", PathPrefix: "/orders", Methods: []string{"POST"}, Service: "s"}})
	tests := []struct{ method, path, want string }{
		{"POST", "/orders", "orders"},
		{"POST", "/orders/7", "orders"},
		{"POST", "/ordersheet", "all"},
		{"GET", "/orders", "all"},
	}
	for _, tt := range tests {
		r, ok := c.Match(tt.method, tt.path)
		require.True(t, ok)
		require.Equal(t, RouteName(tt.want), r.Name, tt.path)
	}
}
