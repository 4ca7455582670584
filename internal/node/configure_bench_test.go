package node

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/admit"
	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/pool"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// nopLinks accepts messages and sends none.
type nopLinks struct{}

func (nopLinks) SendVia(model.HostID, model.HostID, proto.Message) bool { return true }

func (nopLinks) SendDirect(model.HostID, proto.Message) bool { return true }

func (nopLinks) Send(model.HostID, proto.Message) bool { return true }
func (nopLinks) UpdateMembers([]proto.Member)          {}

// BenchmarkConfigure measures the processor time that an entry host needs for one
// change of the configuration: to apply the change and to handle the new version
// in every core. The host owns all shards, with 1,000 active buckets and 15
// services of 41 targets.
func BenchmarkConfigure(b *testing.B) {
	for _, n := range []int{1000, 32000, 320000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			h := newEntryHost(entrySetup{self: proto.Member{Host: "e1"}, timing: lease.DefaultTiming(), log: logr.Discard()})
			h.mesh = nopLinks{}
			server, stop, err := entry.NewServer(h, h.burn)
			require.NoError(b, err)
			b.Cleanup(func() { require.NoError(b, stop(b.Context())) })
			h.server = server
			cfg := configWithWorkspaces(n)
			h.applyFreshness(lease.ConfigChanged{Config: cfg})
			useAllShards(h)
			require.Len(b, h.status().Services, 15)
			changes := []model.Change{
				model.IssueKey{Key: model.Key{ID: "second", Workspace: "workspace-000007", Hash: model.KeyHash{7}}},
				model.WithdrawKey{Workspace: "workspace-000007", Key: "second"},
			}
			used, i := processorTime(b), 0
			for b.Loop() {
				next, err := cfg.Apply(cfg.Version+1, model.Proposal{Base: cfg.Version, Change: changes[i%2]})
				require.NoError(b, err)
				h.applyFreshness(lease.ConfigChanged{Config: next})
				cfg, i = next, i+1
			}
			b.ReportMetric(float64((processorTime(b)-used).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// useAllShards makes a host own all shards and puts buckets and targets in them.
func useAllShards(h *entryHost) {
	until := h.clock.now().Add(time.Hour)
	for shard := range model.ShardID(model.WorkspaceShards) {
		h.bucketOwner.post(admit.OwnershipGained{Shard: shard, Epoch: 1, Until: until})
	}
	for shard := range model.ShardID(model.ServiceShards) {
		h.poolOwner.post(pool.OwnershipGained{Shard: model.WorkspaceShards + shard, Epoch: 1, Until: until})
	}
	for i := range 1000 {
		h.bucketOwner.post(admit.Received{From: "e1", Msg: proto.DrawAsk{Nonce: uint64(i), Workspace: workspaceName(i), Tokens: 1}})
	}
	for i := range 15 * 41 {
		h.poolOwner.post(pool.Received{From: "e1", Msg: proto.TargetNews{Announcement: model.Announcement{
			Service: model.ServiceName(fmt.Sprintf("service-%02d", i%15)), Target: model.TargetID(fmt.Sprintf("t%d", i)),
			Addr: fmt.Sprintf("10.0.0.1:%d", 1000+i), Slots: 3, Incarnation: 1, State: model.TargetReady,
		}}})
	}
}

func workspaceName(i int) model.WorkspaceID {
	return model.WorkspaceID(fmt.Sprintf("workspace-%06d", i))
}

func configWithWorkspaces(workspaces int) model.Config {
	cfg := model.NewConfig(nil, nil)
	for i := range workspaces {
		ws := workspaceName(i)
		cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: ws})
		cfg.Keys = cfg.Keys.With(model.Key{ID: "main", Workspace: ws, Hash: sha256.Sum256([]byte(ws))})
	}
	return cfg.WithVersion(1)
}
