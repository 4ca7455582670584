package lease

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// largeContent returns the content of a configuration with the given numbers of
// workspaces and routes. The hash of one key depends on the salt.
func largeContent(workspaces, routes int, salt string) model.Content {
	c := model.Content{Services: []model.Service{{Name: "stock"}}}
	for i := range routes {
		c.Routes = append(c.Routes, model.Route{Name: model.RouteName(fmt.Sprintf("route-%03d", i)), Host: fmt.Sprintf("host-%03d.example", i%40), PathPrefix: fmt.Sprintf("/area-%03d/", i), Service: "stock"})
	}
	for i := range workspaces {
		ws := model.WorkspaceID(fmt.Sprintf("workspace-%03d", i))
		seed := string(ws)
		if i == 7 {
			seed += salt
		}
		c.Workspaces = append(c.Workspaces, model.WorkspaceContent{
			Workspace: ws, Limits: &model.Limits{Rate: 10 + float64(i), Burst: 50},
			Keys: []model.Key{{ID: "k", Workspace: ws, Hash: sha256.Sum256([]byte(seed))}},
		})
	}
	return c
}

// Guards against a change of one key that is sent to every host as a whole
// configuration, because the change is a ReplaceContent. For one key, 40 KB went to
// each of 442 hosts. On a link of 2 Mbit/s each KB takes 40 ms, so hosts missed the
// bound of 5 s.
func TestChangeOfOneKeyIsSmall(t *testing.T) {
	const most = 1024
	replace := func(v model.Version, salt string) model.Committed {
		return model.Committed{Version: v, Proposal: model.Proposal{
			ID: model.ChangeID(fmt.Sprint("change-", v)), Base: v - 1,
			Change: model.ReplaceContent{Revision: model.Revision(v), Content: largeContent(190, 300, salt)},
		}}
	}
	h := history{}
	h.replace(model.NewConfig(nil, nil))
	require.True(t, h.advance([]model.Committed{replace(1, "old")}, nil))
	require.True(t, h.advance([]model.Committed{replace(2, "new")}, nil))

	changes, ok := h.changesFor(1)
	require.True(t, ok)
	require.Len(t, changes, 1)
	data, err := codec.EncodeCommitted(changes[0])
	require.NoError(t, err)
	require.Less(t, len(data), most)

	other := history{}
	other.replace(model.NewConfig(nil, nil))
	all, ok := h.changesSince(0)
	require.True(t, ok)
	require.True(t, other.advance(all, nil))
	require.Equal(t, h.snapshot(), other.snapshot())
	_, ok = other.cfg.KeyFor(sha256.Sum256([]byte("workspace-007old")))
	require.False(t, ok, "the withdrawn key still exists")
}
