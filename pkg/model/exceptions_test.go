package model

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an exception that still applies after it was removed, or after
// another exception with the same ID and another scope replaced it.
func TestReplacedOrRemovedExceptionNoLongerApplies(t *testing.T) {
	limits := func(ws WorkspaceID) Exception {
		return Exception{ID: "x", Override: LimitsOverride{Workspace: ws, Limits: Limits{Rate: 7, Burst: 9}}}
	}
	c := NewConfig(nil, nil)
	c.Exceptions = c.Exceptions.With(limits("a")).With(Exception{ID: "y", Override: DeadlineOverride{Route: "a", Deadline: MinDeadline}})
	require.Equal(t, 7.0, c.LimitsFor("a").Rate)
	require.Equal(t, MinDeadline, c.DeadlineFor("a"))
	require.Equal(t, c.Defaults.Floor, c.FloorFor("a"))
	c.Exceptions = c.Exceptions.With(limits("b"))
	require.Equal(t, 2, c.Exceptions.Len())
	require.Equal(t, c.Defaults.Limits, c.LimitsFor("a"))
	require.Equal(t, 7.0, c.LimitsFor("b").Rate)
	c.Exceptions = c.Exceptions.Without("x")
	require.Equal(t, c.Defaults.Limits, c.LimitsFor("b"))
	require.Equal(t, MinDeadline, c.DeadlineFor("a"))
	require.Equal(t, Exceptions{}, c.Exceptions.Without("y"))
}
