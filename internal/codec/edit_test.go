package codec

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// drawContent returns a random content. It has few names to draw from, so that
// successive contents overlap.
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
			// The digest does not depend on the workspace alone, so that the key with
			// this digest can move from one workspace to another.
			seed := fmt.Sprint(k, (i+number("owner"))%8, len(c.Workspaces))
			w.Keys = append(w.Keys, model.Key{ID: model.KeyID(fmt.Sprint("k", k)), Workspace: w.Workspace, Hash: sha256.Sum256([]byte(seed))})
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	return c
}

// Guards against an EditContent change that leads to another configuration than
// the ReplaceContent change it was derived from. Hosts would then differ in a
// key that stays in use after its withdrawal, or in a route or limit.
func TestEditYieldsSameConfigAsReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fromWhole := model.NewConfig(nil, nil)
		fromEdits := fromWhole
		apply := func(cfg model.Config, ch model.Change) (model.Config, error) {
			return cfg.Apply(cfg.Version+1, model.Proposal{ID: "x", Base: cfg.Version, Change: ch})
		}
		for revision := range model.Revision(5) {
			var change model.Change = model.ReplaceContent{Revision: revision + 1, Content: drawContent(t), Document: []byte("{}")}
			if rapid.IntRange(0, 4).Draw(t, "operator") == 0 {
				change = model.PutException{Exception: model.Exception{ID: "own", Reason: "measured need", Override: model.LimitsOverride{Workspace: "w1", Limits: model.Limits{Rate: 5, Burst: 9}}}}
			}
			next, err := apply(fromWhole, change)
			if err != nil {
				continue
			}
			if _, ok := change.(model.ReplaceContent); ok {
				data, err := EncodeProposal(model.Proposal{ID: "x", Base: fromEdits.Version, Change: model.EditBetween(fromWhole, next)})
				require.NoError(t, err)
				proposal, err := DecodeProposal(data)
				require.NoError(t, err)
				change = proposal.Change
			}
			fromEdits, err = apply(fromEdits, change)
			require.NoError(t, err)
			fromWhole = next
			want, err := EncodeConfig(fromWhole.WithoutDocument())
			require.NoError(t, err)
			got, err := EncodeConfig(fromEdits)
			require.NoError(t, err)
			require.Equal(t, want, got)
			for i := range 4 {
				ws := model.WorkspaceID(fmt.Sprint("w", i))
				require.Equal(t, fromWhole.LimitsFor(ws), fromEdits.LimitsFor(ws))
			}
		}
	})
}
