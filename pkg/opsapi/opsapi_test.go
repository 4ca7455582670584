package opsapi

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// changes returns changes of all kinds that can be proposed, each of which can be
// applied after the ones before it.
func changes() []model.Change {
	limits := model.Limits{Rate: 10, Burst: 20}
	return []model.Change{
		model.CreateWorkspace{Workspace: "shop-7"},
		model.IssueKey{Key: model.Key{ID: "till", Workspace: "shop-7", Hash: model.KeyHash{1, 2}}},
		model.PutService{Service: model.Service{Name: "stockbook", AnnounceHash: model.KeyHash{3}}},
		model.PutRoute{Route: model.Route{Name: "stock", PathPrefix: "/stock", Methods: []string{"GET"}, Service: "stockbook", Idempotent: true}},
		model.PutException{Exception: model.Exception{ID: "e1", Reason: "trial", Override: model.LimitsOverride{Workspace: "shop-7", Limits: limits}}},
		model.PutException{Exception: model.Exception{ID: "e2", Reason: "trial", Override: model.DeadlineOverride{Route: "stock", Deadline: 1500 * time.Millisecond}}},
		model.PutException{Exception: model.Exception{ID: "e3", Reason: "trial", Override: model.FloorOverride{Service: "stockbook", Floor: 0}}},
		model.PutException{Exception: model.Exception{ID: "e4", Reason: "trial", Override: model.ObjectiveOverride{Service: "stockbook", Objective: model.InitialDefaults().Objective}}},
		model.SetDefaults{Defaults: model.InitialDefaults()},
		model.SetSeats{Seats: []model.HostID{"e1", "e2", "e3"}},
		model.SetControls{Controls: []model.HostID{"c1", "c2"}},
		model.RemoveException{ID: "e2"},
		model.RemoveRoute{Route: "stock"},
		model.WithdrawKey{Workspace: "shop-7", Key: "till"},
		model.WithdrawWorkspace{Workspace: "shop-7"},
	}
}

// Guards against a change or a part of the configuration that the conversion to
// JSON and back loses or alters.
func TestChangesAndConfigurationsRoundTrip(t *testing.T) {
	cfg := model.NewConfig([]model.HostID{"c1"}, []model.HostID{"e1"})
	for i, change := range changes() {
		p, err := FromProposal(model.Proposal{ID: "id", Base: model.Version(i), Reason: "r", Change: change})
		require.NoError(t, err)
		data, err := json.Marshal(p)
		require.NoError(t, err)
		var back Proposal
		require.NoError(t, json.Unmarshal(data, &back))
		got, err := back.Model()
		require.NoError(t, err)
		require.Equal(t, change, got.Change, string(data))

		cfg, err = cfg.Apply(model.Version(i+1), got)
		require.NoError(t, err)
		data, err = json.Marshal(FromConfig(cfg))
		require.NoError(t, err)
		var out Config
		require.NoError(t, json.Unmarshal(data, &out))
		again, err := out.Model()
		require.NoError(t, err)
		require.Equal(t, cfg, again)
	}
}

// Guards against bodies that are accepted although a part of them is missing or
// would be ignored.
func TestAmbiguousBodiesAreRefused(t *testing.T) {
	tests := []struct{ name, body string }{
		{"no change", `{"change_id":"a","change":{}}`},
		{"two changes", `{"change_id":"a","change":{"create_workspace":{"workspace":"a"},"remove_route":{"name":"r"}}}`},
		{"no change id", `{"change":{"create_workspace":{"workspace":"a"}}}`},
		{"no override", `{"change_id":"a","change":{"put_exception":{"id":"e","reason":"r","service":"s"}}}`},
		{"two overrides", `{"change_id":"a","change":{"put_exception":{"id":"e","reason":"r","service":"s","floor":0.5,"deadline":"1s"}}}`},
		{"two names", `{"change_id":"a","change":{"put_exception":{"id":"e","reason":"r","service":"s","route":"x","floor":0.5}}}`},
		{"short hash", `{"change_id":"a","change":{"issue_key":{"id":"k","workspace":"w","hash":"ab"}}}`},
		{"duration without a unit", `{"change_id":"a","change":{"put_exception":{"id":"e","reason":"r","route":"s","deadline":"5"}}}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p Proposal
			err := json.Unmarshal([]byte(tt.body), &p)
			if err == nil {
				_, err = p.Model()
			}
			require.Error(t, err)
		})
	}
}

// Guards against a result of a newer server that an older client takes for acceptance
// because it does not know the kind.
func TestUnknownResultKindsBecomeUnknown(t *testing.T) {
	require.Equal(t, model.ResultUnknown, Result{Kind: "postponed"}.Model().Kind)
	require.Equal(t, "unknown", FromResult(model.Result{}).Kind)
	require.Equal(t, http.StatusGatewayTimeout, ResultStatus(0))
	for kind := model.ResultAccepted; kind <= model.ResultNotLeader; kind++ {
		require.Equal(t, kind, FromResult(model.Result{Kind: kind}).Model().Kind)
	}
}

// Guards against an audit list that cannot be converted to JSON after a whole
// configuration was applied, including when its change is no longer kept.
func TestAuditEntriesOfWholeConfigurations(t *testing.T) {
	edit := model.EditContent{Revision: 7, Routes: []model.Route{{Name: "a"}}, RemovedRoutes: []model.RouteName{"b"}, RemovedKeys: []model.KeyHash{{1}}}
	for _, ch := range []model.Change{edit, model.ReplaceContent{Revision: 7}, nil} {
		entry, err := FromAudit(model.Committed{Version: 3, Proposal: model.Proposal{Change: ch}}, model.Result{Kind: model.ResultAccepted})
		require.NoError(t, err)
		if ch == nil {
			require.Equal(t, Change{}, entry.Change)
			continue
		}
		require.EqualValues(t, 7, entry.Change.ApplyContent.Revision)
	}
	got, err := FromChange(edit)
	require.NoError(t, err)
	require.Equal(t, ContentChange{Revision: 7, Routes: 2, Keys: 1}, *got.ApplyContent)
	_, err = got.Model()
	require.Error(t, err, "operators do not propose it")
}
