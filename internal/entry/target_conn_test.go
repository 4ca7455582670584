package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against closing the idle connections to all targets at each change of
// the configuration: the bound is set again each time, and seldom differs.
func TestUnchangedBoundKeepsConnections(t *testing.T) {
	s := &Server{settings: settings{limits: DefaultLimits()}}
	s.SetTargetConns(3)
	kept := s.targetSide.get()
	s.SetTargetConns(3)
	require.Same(t, kept, s.targetSide.get())
	s.SetTargetConns(4)
	require.NotSame(t, kept, s.targetSide.get())
	require.Equal(t, 4, s.targetSide.get().MaxConnsPerHost)
}
