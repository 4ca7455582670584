package codec

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// drawContent returns a content over few names, so that contents drawn one after the other overlap.
func drawContent(t *rapid.T) model.Content {
	some := func(what string, i int) bool { return rapid.IntRange(0, 3).Draw(t, fmt.Sprint(what, i)) > 0 }
	number := func(what string) int { return rapid.IntRange(1, 3).Draw(t, what) }
	c := model.Content{Services: []model.Service{{Name: "main"}}}
	for i := range 3 {
		if some("service", i) {
			c.Services = append(c.Services, model.Service{Name: model.ServiceName(fmt.Sprint("s", i)), Connections: number("connections")})
		}
	}
	for i := range 4 {
		if !some("route", i) {
			continue
		}
		r := model.Route{Name: model.RouteName(fmt.Sprint("r", i)), PathPrefix: fmt.Sprint("/p", i), Service: "main", Attempts: number("attempts")}
		if some("split", i) {
			r.Split = []model.Share{{Service: "main", Weight: float64(number("weight"))}}
		}
		c.Routes = append(c.Routes, r)
	}
	for i := range 4 {
		if !some("workspace", i) {
			continue
		}
		w := model.WorkspaceContent{Workspace: model.WorkspaceID(fmt.Sprint("w", i))}
		if some("limited", i) {
			w.Limits = &model.Limits{Rate: float64(10 * number("rate")), Burst: 50}
		}
		for k := range number("keys") {
			// A digest moves between workspaces: its number does not depend on the workspace alone.
			seed := fmt.Sprint(k, (i+number("owner"))%8, len(c.Workspaces))
			w.Keys = append(w.Keys, model.Key{ID: model.KeyID(fmt.Sprint("k", k)), Workspace: w.Workspace, Hash: sha256.Sum256([]byte(seed))})
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	return c
}

// Guards against a host that was told what a whole configuration changed and
// holds another one than a host that was told the whole: a key that stays in
// use after its withdrawal, a route or limit that is kept or lost.
func TestEditLeadsToTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := model.NewConfig(nil, nil)
		told := whole
		apply := func(cfg model.Config, ch model.Change) (model.Config, error) {
			return cfg.Apply(cfg.Version+1, model.Proposal{ID: "x", Base: cfg.Version, Change: ch})
		}
		for revision := range model.Revision(5) {
			var change model.Change = model.ReplaceContent{Revision: revision + 1, Content: drawContent(t), Document: []byte("{}")}
			if rapid.IntRange(0, 4).Draw(t, "operator") == 0 {
				change = model.PutException{Exception: model.Exception{ID: "own", Reason: "measured need", Override: model.LimitsOverride{Workspace: "w1", Limits: model.Limits{Rate: 5, Burst: 9}}}}
			}
			next, err := apply(whole, change)
			if err != nil {
				continue
			}
			if _, ok := change.(model.ReplaceContent); ok {
				data, err := EncodeProposal(model.Proposal{ID: "x", Base: told.Version, Change: model.EditBetween(whole, next)})
				require.NoError(t, err)
				proposal, err := DecodeProposal(data)
				require.NoError(t, err)
				change = proposal.Change
			}
			told, err = apply(told, change)
			require.NoError(t, err)
			whole = next
			want, err := EncodeConfig(whole.WithoutDocument())
			require.NoError(t, err)
			got, err := EncodeConfig(told)
			require.NoError(t, err)
			require.Equal(t, want, got)
			for i := range 4 {
				ws := model.WorkspaceID(fmt.Sprint("w", i))
				require.Equal(t, whole.LimitsFor(ws), told.LimitsFor(ws))
			}
		}
	})
}
