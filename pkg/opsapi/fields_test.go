package opsapi

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// fillRandom sets every field of a value to a random value other than zero.
func fillRandom(t *testing.T, rng *rand.Rand, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(1 + rng.Int64N(1<<40))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(1 + rng.Uint64N(255))
	case reflect.Float64:
		v.SetFloat(0.5 + rng.Float64())
	case reflect.String:
		v.SetString("s" + strconv.FormatUint(rng.Uint64(), 36))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillRandom(t, rng, v.Index(0))
		fillRandom(t, rng, v.Index(1))
	case reflect.Array:
		for i := range v.Len() {
			fillRandom(t, rng, v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fillRandom(t, rng, v.Field(i))
		}
	default:
		t.Fatalf("no random value for a %s", v.Type())
	}
}

// requireRoundTrip converts random values to JSON and back.
func requireRoundTrip[M, J any](t *testing.T, from func(M) J, to func(J) M) {
	t.Helper()
	for seed := range uint64(20) {
		var m M
		fillRandom(t, rand.New(rand.NewPCG(seed, 1)), reflect.ValueOf(&m).Elem())
		data, err := json.Marshal(from(m))
		require.NoError(t, err)
		var back J
		require.NoError(t, json.Unmarshal(data, &back))
		require.Equal(t, m, to(back), string(data))
	}
}

// TestEveryFieldOfTheConfigurationRoundTrips guards against a field that the JSON
// form lacks, so that an operator who reads an item and puts it back resets it.
func TestEveryFieldOfTheConfigurationRoundTrips(t *testing.T) {
	t.Run("service", func(t *testing.T) { requireRoundTrip(t, fromService, Service.model) })
	t.Run("route", func(t *testing.T) { requireRoundTrip(t, fromRoute, Route.model) })
	t.Run("workspace", func(t *testing.T) { requireRoundTrip(t, fromWorkspace, Workspace.model) })
	t.Run("key", func(t *testing.T) { requireRoundTrip(t, fromKey, Key.model) })
	t.Run("defaults", func(t *testing.T) { requireRoundTrip(t, FromDefaults, Defaults.Model) })
	t.Run("objective", func(t *testing.T) { requireRoundTrip(t, fromObjective, Objective.model) })
	t.Run("exception", func(t *testing.T) {
		requireRoundTrip(t, func(o model.LimitsOverride) Exception { return fromException(model.Exception{Override: o}) }, overrideOf[model.LimitsOverride](t))
		requireRoundTrip(t, func(o model.DeadlineOverride) Exception { return fromException(model.Exception{Override: o}) }, overrideOf[model.DeadlineOverride](t))
		requireRoundTrip(t, func(o model.FloorOverride) Exception { return fromException(model.Exception{Override: o}) }, overrideOf[model.FloorOverride](t))
		requireRoundTrip(t, func(o model.ObjectiveOverride) Exception { return fromException(model.Exception{Override: o}) }, overrideOf[model.ObjectiveOverride](t))
	})
}

// overrideOf returns a function that returns the override of an exception.
func overrideOf[O model.Override](t *testing.T) func(Exception) O {
	return func(e Exception) O {
		t.Helper()
		m, err := e.Model()
		require.NoError(t, err)
		o, ok := m.Override.(O)
		require.True(t, ok)
		return o
	}
}
