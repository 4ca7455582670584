package codec

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// goldenConfig returns a configuration with entries of every kind, with so many
// workspaces and keys that they take several chunks of their tables, and with
// withdrawn workspaces and keys. It is built by changes only.
func goldenConfig(t *testing.T) model.Config {
	t.Helper()
	cfg := model.NewConfig([]model.HostID{"c1", "c2", "c3"}, []model.HostID{"e1"})
	accept := func(ch model.Change) {
		next, err := cfg.Apply(cfg.Version+1, model.Proposal{Base: cfg.Version, Change: ch})
		require.NoError(t, err)
		cfg = next
	}
	for i := range 200 {
		ws := model.WorkspaceID(fmt.Sprintf("shop-%d", i*37%200))
		accept(model.CreateWorkspace{Workspace: ws})
		for _, id := range []string{"till", strings.Repeat("k", 1+i%model.MaxNameLength)} {
			accept(model.IssueKey{Key: model.Key{ID: model.KeyID(id), Workspace: ws, Hash: sha256.Sum256([]byte(id + string(ws)))}})
		}
	}
	for i := range 20 {
		accept(model.WithdrawWorkspace{Workspace: model.WorkspaceID(fmt.Sprintf("shop-%d", i*3))})
		accept(model.WithdrawKey{Workspace: model.WorkspaceID(fmt.Sprintf("shop-%d", i*3+1)), Key: "till"})
	}
	for i, service := range []model.ServiceName{"planner", "stockbook", "orderdesk"} {
		accept(model.PutService{Service: model.Service{Name: service, AnnounceHash: sha256.Sum256([]byte(service))}})
		accept(model.PutRoute{Route: model.Route{Name: model.RouteName(service), PathPrefix: "/" + string(service), Service: service, Open: i == 0}})
	}
	accept(model.PutRoute{Route: model.Route{Name: "trays", PathPrefix: "/planner/trays", Methods: []string{"GET", "HEAD"}, Service: "planner", Idempotent: true}})
	accept(model.PutRoute{Route: model.Route{Name: "orders", PathPrefix: "/orders", Methods: []string{"POST"}, Service: "orderdesk", RequireOrderKey: true}})
	for i, o := range []model.Override{
		model.LimitsOverride{Workspace: "shop-100", Limits: model.Limits{Rate: 500, Burst: 1000}},
		model.DeadlineOverride{Route: "orders", Deadline: 9 * time.Second},
		model.FloorOverride{Service: "planner", Floor: 0.5},
		model.ObjectiveOverride{Service: "planner", Objective: model.InitialDefaults().Objective},
	} {
		accept(model.PutException{Exception: model.Exception{ID: fmt.Sprintf("x%d", 4-i), Reason: "measured need", Override: o}})
	}
	return cfg
}

// Guards against an encoding that hosts of other versions cannot read, and
// against snapshots of earlier versions that cannot be decoded any more. The
// golden files were written by a version that kept workspaces and keys in maps
// instead of tables.
func TestConfigEncodingIsStable(t *testing.T) {
	for name, cfg := range map[string]model.Config{
		"config.golden":       goldenConfig(t),
		"config_empty.golden": model.NewConfig(nil, nil),
	} {
		text, err := os.ReadFile("testdata/" + name)
		require.NoError(t, err)
		want, err := hex.DecodeString(strings.ReplaceAll(strings.TrimSpace(string(text)), "\n", ""))
		require.NoError(t, err)
		data, err := EncodeConfig(cfg)
		require.NoError(t, err)
		require.Equal(t, want, data, name)
		old, err := DecodeConfig(want)
		require.NoError(t, err)
		again, err := EncodeConfig(old)
		require.NoError(t, err)
		require.Equal(t, want, again, name)
	}
}
