package lease

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/wire"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// seatWithWorkspaces returns an active seat whose configuration has one key for each of
// the given number of workspaces.
func seatWithWorkspaces(b testing.TB, workspaces int) *Seat {
	b.Helper()
	cfg := model.NewConfig([]model.HostID{controlHost}, []model.HostID{"seat"}).WithVersion(1)
	for i := range workspaces {
		id := model.WorkspaceID(fmt.Sprintf("workspace-%06d", i))
		key := model.Key{ID: "main", Workspace: id}
		binary.BigEndian.PutUint64(key.Hash[:], uint64(i))
		cfg.Workspaces, cfg.Keys = cfg.Workspaces.With(model.Workspace{ID: id}), cfg.Keys.With(key)
	}
	data, err := codec.EncodeConfig(cfg)
	require.NoError(b, err)
	s := NewSeat("seat", WithBootstrap(cfg.Seats, cfg.Controls))
	s.Step(1, Tick{})
	var nonce uint64
	for _, e := range s.Step(model.Instant(2*time.Second), Tick{}) {
		if ask, ok := e.(Send).Msg.(proto.FreshAsk); ok {
			nonce = ask.Nonce
		}
	}
	s.Step(model.Instant(2*time.Second), Received{From: controlHost, Msg: proto.FreshReply{Nonce: nonce, Newest: 1, FromControl: true, Snapshot: data}})
	require.True(b, s.active)
	return s
}

// peakHeap runs fn and returns the maximum growth of the heap during the run, in bytes.
func peakHeap(fn func()) uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	read := func() uint64 {
		metrics.Read(sample)
		return sample[0].Value.Uint64()
	}
	runtime.GC()
	before, peak := read(), uint64(0)
	ctx, cancel := context.WithCancel(context.Background())
	group := pond.NewPool(1)
	group.Submit(func() {
		for ctx.Err() == nil {
			peak = max(peak, read())
			time.Sleep(time.Millisecond)
		}
	})
	fn()
	cancel()
	group.StopAndWait()
	return max(peak, before) - before
}

// transfer runs a seat and an entry host until the host has received the configuration
// of the seat. It adds the size of all messages to bytes, and returns the longest step
// of the seat and of the host.
func transfer(b *testing.B, s *Seat, f *FreshnessClient, bytes *int) (longestSeat, longestHost time.Duration) {
	b.Helper()
	c, err := wire.NewCodec()
	require.NoError(b, err)
	pass := func(m proto.Message) proto.Message {
		frame, err := c.Encode(proto.Envelope{Body: m})
		require.NoError(b, err)
		*bytes += len(frame)
		e, err := c.Decode(frame)
		require.NoError(b, err)
		return e.Body
	}
	now := model.Instant(3 * time.Second)
	step := func(core Core, ev Event, longest *time.Duration) []Effect {
		start := time.Now()
		out := core.Step(now, ev)
		*longest = max(*longest, time.Since(start))
		return out
	}
	for known := false; !known; _, known = f.Config() {
		queue := step(f, Tick{}, &longestHost)
		for len(queue) > 0 {
			effect := queue[0]
			queue = queue[1:]
			switch e := effect.(type) {
			case DecodeSnapshot:
				cfg, err := codec.DecodeConfig(e.Data)
				require.NoError(b, err)
				queue = append(queue, step(f, SnapshotDecoded{Config: cfg, OK: true}, &longestHost)...)
			case Send:
				if e.To != "seat" {
					continue
				}
				for _, reply := range step(s, Received{From: "host", Msg: pass(e.Msg)}, &longestSeat) {
					switch r := reply.(type) {
					case EncodeConfig:
						data, err := codec.EncodeConfig(r.Config)
						require.NoError(b, err)
						step(s, ConfigEncoded{Version: r.Config.Version, Data: data}, &longestSeat)
					case Send:
						queue = append(queue, step(f, Received{From: "seat", Msg: pass(r.Msg)}, &longestHost)...)
					}
				}
			}
		}
		now = now.Add(s.timing.AskInterval)
	}
	return longestSeat, longestHost
}

// BenchmarkStartOfEntryHost measures the transfer of the whole configuration from a
// seat to a starting entry host without a network: time, bytes, the longest step of
// both cores, and the peak of the heap. The peak includes the encoded configuration of
// the seat and everything on the entry host.
func BenchmarkStartOfEntryHost(b *testing.B) {
	for _, n := range []int{1000, 32000, 320000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			s := seatWithWorkspaces(b, n)
			var seat, host time.Duration
			var peak uint64
			bytes := 0
			for b.Loop() {
				s.hist.encoded, bytes = nil, 0
				f := NewFreshnessClient(proto.Member{Host: "host", Role: proto.RoleEntry}, WithBootstrap([]model.HostID{"seat"}, nil))
				peak = max(peak, peakHeap(func() { seat, host = transfer(b, s, f, &bytes) }))
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(peak)/1e6, "peak-MB")
			b.ReportMetric(float64(bytes)/1e6, "sent-MB")
			b.ReportMetric(seat.Seconds()*1e3, "seat-step-ms")
			b.ReportMetric(host.Seconds()*1e3, "host-step-ms")
		})
	}
}

// Guards against a seat that encodes a large configuration inside a step, which delays
// leases and confirmations, that encodes it again for each host, or that keeps it in
// memory after the last request.
func TestLargeConfigurationIsEncodedOutsideTheStep(t *testing.T) {
	s := seatWithWorkspaces(t, maxInlineItems)
	now := model.Instant(3 * time.Second)
	ask := func(host model.HostID) (proto.FreshReply, []EncodeConfig) {
		var reply proto.FreshReply
		var encodes []EncodeConfig
		for _, e := range s.Step(now, Received{From: host, Msg: proto.FreshAsk{Nonce: 1}}) {
			switch e := e.(type) {
			case Send:
				reply = e.Msg.(proto.FreshReply)
			case EncodeConfig:
				encodes = append(encodes, e)
			}
		}
		return reply, encodes
	}
	reply, encodes := ask("a")
	require.Len(t, encodes, 1)
	require.Nil(t, reply.Snapshot)
	require.Nil(t, reply.Offer)
	_, again := ask("b")
	require.Empty(t, again)
	data, err := codec.EncodeConfig(encodes[0].Config)
	require.NoError(t, err)
	s.Step(now, ConfigEncoded{Version: encodes[0].Config.Version, Data: data})
	reply, again = ask("a")
	require.Empty(t, again)
	require.True(t, reply.Offer != nil || reply.Snapshot != nil)
	for range 3 {
		now = now.Add(part.RetainFor)
		s.Step(now, Tick{})
	}
	require.Nil(t, s.hist.encoded)
}
