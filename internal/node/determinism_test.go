package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// recording holds events and the instants at which they were stepped.
type recording[E any] struct {
	mu       sync.Mutex
	events   []E
	instants []model.Instant
}

// record adds every event that a runner steps from now on to a recording.
func record[E, F any](r *runner[E, F], into *recording[E]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step := r.step
	r.step = func(now model.Instant, ev E) []F {
		into.mu.Lock()
		into.events = append(into.events, ev)
		into.instants = append(into.instants, now)
		into.mu.Unlock()
		return step(now, ev)
	}
}

// replay steps a new core through a recording and returns all effects as text.
func replay[E, F any](rec *recording[E], step func(model.Instant, E) []F) string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var out strings.Builder
	for i, ev := range rec.events {
		for _, f := range step(rec.instants[i], ev) {
			_, _ = fmt.Fprintf(&out, "%d %#v\n", i, f)
		}
	}
	return out.String()
}

// Guards against decisions that depend on anything but the events, their instants
// and the seed, such as the iteration order of a map. A recorded session could
// then not be replayed to find a fault.
func TestCoresAreDeterministic(t *testing.T) {
	var pickerEvents, ownerEvents recording[pool.Event]
	var limiterEvents, bucketEvents recording[admit.Event]
	f := newFleetWith(t, 5, func(h *entryHost) {
		if h.self.Host == "e1" {
			record(h.picker, &pickerEvents)
			record(h.limiter, &limiterEvents)
		}
		record(h.poolOwner, &ownerEvents)
		record(h.bucketOwner, &bucketEvents)
	})
	f.addTarget("stockbook-1", stub.Behavior{ErrorShare: 0.3})
	f.addTarget("stockbook-2", stub.Behavior{})
	for range 40 {
		f.send(0, http.MethodGet, "/stock/a", "", "")
		time.Sleep(5 * time.Millisecond)
	}

	source := func() pool.Option { return pool.WithSource(rand.NewPCG(1, 2)) }
	tests := []struct {
		name string
		run  func() string
	}{
		{"picker", func() string { return replay(&pickerEvents, pool.NewPicker("e1", "z1", source()).Step) }},
		{"pool owner", func() string { return replay(&ownerEvents, pool.NewOwner("e1", source()).Step) }},
		{"limiter", func() string { return replay(&limiterEvents, admit.NewLimiter("e1").Step) }},
		{"bucket owner", func() string { return replay(&bucketEvents, admit.NewOwner("e1").Step) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := tt.run()
			require.NotEmpty(t, first)
			require.Equal(t, first, tt.run())
		})
	}
}
