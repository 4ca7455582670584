package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against a seat that keeps 256 large changes for hosts that lag, although
// a host that lacks more than maxUpdateBytes of them is sent a snapshot.
func TestKeptChangesAreBoundedInBytes(t *testing.T) {
	cfg, err := model.NewConfig(nil, nil).Apply(1, model.Proposal{Change: model.PutService{Service: model.Service{Name: "stock"}}})
	require.NoError(t, err)
	h := history{known: true, cfg: cfg}
	for i := 1; i <= 40; i++ {
		edit := model.EditContent{Revision: model.Revision(i)}
		for r := range 1400 {
			name := fmt.Sprintf("route-%05d", r)
			edit.Routes = append(edit.Routes, model.Route{Name: model.RouteName(name), PathPrefix: "/" + name + "/", Service: "stock", Timeout: time.Duration(i) * time.Second})
		}
		v := h.version()
		require.True(t, h.advance([]model.Committed{{Version: v + 1, Proposal: model.Proposal{Base: v, Change: edit}}}, nil))
		size := 0
		for _, c := range h.changes {
			size += c.EstimatedSize()
		}
		require.LessOrEqual(t, size, maxUpdateBytes)
		_, ok := h.changesFor(v)
		require.True(t, ok, "the newest change is kept")
	}
}
