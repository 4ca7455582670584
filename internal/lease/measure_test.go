package lease

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// memberCounts returns the numbers of members for which the benchmarks run.
func memberCounts() []int { return []int{48, 480, 4000} }

// activeSeat returns an active seat that holds version 7.
func activeSeat(tb testing.TB) *Seat {
	s := NewSeat("entry-0000")
	data, err := codec.EncodeConfig(model.NewConfig(nil, []model.HostID{"entry-0000"}).WithVersion(7))
	require.NoError(tb, err)
	s.hist.advance(nil, data)
	s.started, s.active = true, true
	return s
}

func encodedSize(tb testing.TB, m any) int {
	data, err := cbor.Marshal(m)
	require.NoError(tb, err)
	return len(data)
}

// BenchmarkSeat measures the cost of one member for one seat in the steady state: a
// FreshAsk and a LeaseAsk in each AskInterval. Sizes are those of CBOR maps with field
// names, an upper bound for the size on the wire.
func BenchmarkSeat(b *testing.B) {
	for _, n := range memberCounts() {
		b.Run(fmt.Sprintf("%d members", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := activeSeat(b)
			members := entryMembers(n)
			for _, m := range members {
				s.Step(0, Received{From: m.Host, Msg: proto.FreshAsk{Member: m, HeldVersion: 7}})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			md, od := s.members.digest(), s.grants.digest()
			perSecond := float64(time.Second) / float64(DefaultTiming().AskInterval)
			var bytes int
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := members[i%n]
				now := model.Instant(i)
				ask := proto.FreshAsk{Nonce: uint64(i), HeldVersion: 7, Member: m, MembersDigest: md, OwnersDigest: od}
				reply := s.Step(now, Received{From: m.Host, Msg: ask})[0].(Send).Msg
				lease := proto.LeaseAsk{Nonce: uint64(i)}
				granted := s.Step(now, Received{From: m.Host, Msg: lease})[0].(Send).Msg
				if i%n == 0 {
					s.Step(now, Tick{})
				}
				if i == 0 {
					bytes = encodedSize(b, ask) + encodedSize(b, reply) + encodedSize(b, lease) + encodedSize(b, granted)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)*perSecond, "ns/member/s")
			b.ReportMetric(float64(bytes)*perSecond, "wire-B/member/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/member")
			b.ReportMetric(float64(encodedSize(b, s.members.list())), "list-B")
			runtime.KeepAlive(members)
		})
	}
}

// BenchmarkSeatTick measures the search for members and grants that have expired.
func BenchmarkSeatTick(b *testing.B) {
	for _, n := range memberCounts() {
		b.Run(fmt.Sprintf("%d members", n), func(b *testing.B) {
			s := activeSeat(b)
			for _, m := range entryMembers(n) {
				s.Step(0, Received{From: m.Host, Msg: proto.FreshAsk{Member: m, HeldVersion: 7}})
			}
			for b.Loop() {
				s.Step(1, Tick{})
			}
		})
	}
}

// BenchmarkPlace measures the placement after a change of the members.
func BenchmarkPlace(b *testing.B) {
	for _, n := range memberCounts() {
		members := entryMembers(n)
		b.Run(fmt.Sprintf("%d members", n), func(b *testing.B) {
			for b.Loop() {
				CandidateOwners(members)
			}
		})
	}
}

// BenchmarkClaimer measures one ask of a claimer and the replies of five seats, for
// one shard and for all shards.
func BenchmarkClaimer(b *testing.B) {
	for _, shards := range []int{1, model.Shards} {
		b.Run(fmt.Sprintf("%d shards", shards), func(b *testing.B) {
			list := []model.HostID{"s0", "s1", "s2", "s3", "s4"}
			c := NewClaimer("e")
			now := model.Instant(1e12)
			c.Step(now, QuorumsChanged{Version: 7, Lists: [][]model.HostID{list}})
			c.Step(now, FreshnessExtended{Until: 1 << 62})
			for i := range shards {
				c.shards[i].isCandidate = true
			}
			for b.Loop() {
				now = now.Add(DefaultTiming().AskInterval)
				ask := c.Step(now, Tick{})[0].(Send).Msg.(proto.LeaseAsk)
				reply := proto.LeaseReply{Nonce: ask.Nonce, Granted: ask.Claims}
				for _, seat := range list {
					c.Step(now, Received{From: seat, Msg: reply})
				}
			}
			require.True(b, c.Owns(now, 0))
			perSecond := float64(time.Second) / float64(DefaultTiming().AskInterval)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)*perSecond/float64(shards), "ns/shard/s")
		})
	}
}

// TestMeasureRecovery measures how long shards stay without an owner after their owner
// was lost, and how long it takes until every host knows the new owner. It runs only
// with LEASE_MEASURE set.
func TestMeasureRecovery(t *testing.T) {
	if os.Getenv("LEASE_MEASURE") == "" {
		t.Skip("set LEASE_MEASURE=1 to measure")
	}
	var owned, known []time.Duration
	for seed := range uint64(100) {
		w := newWorld(t, seed)
		w.runUntil(9*time.Second + time.Duration(w.r.Int64N(4e8)))
		gone, start := w.hosts[7], w.now
		gone.frozenUntil = time.Hour
		for !w.allOwned(gone) {
			w.runUntil(w.now + 10*time.Millisecond)
		}
		owned = append(owned, w.now-start)
		for !w.allHostsKnowOwners(gone) {
			w.runUntil(w.now + 10*time.Millisecond)
		}
		known = append(known, w.now-start)
	}
	slices.Sort(owned)
	slices.Sort(known)
	fmt.Printf("owned again: median %v worst %v; known to all hosts: median %v worst %v; 100 seeds\n", owned[50], owned[99], known[50], known[99])
}

// allOwned reports whether hosts other than gone own all shards.
func (w *world) allOwned(gone *worldHost) bool {
	for s := range model.ShardID(model.Shards) {
		if !slices.ContainsFunc(w.hosts, func(h *worldHost) bool {
			return h != gone && h.claimer.Owns(h.localTime(w.now), s)
		}) {
			return false
		}
	}
	return true
}

// allHostsKnowOwners reports whether every host other than gone knows owners other than
// gone for all shards.
func (w *world) allHostsKnowOwners(gone *worldHost) bool {
	for _, h := range w.hosts {
		if h != gone && h.shardsOfLiveOwners(gone) < model.Shards {
			return false
		}
	}
	return true
}

// shardsOfLiveOwners returns the number of shards for which the host knows an owner
// other than gone.
func (h *worldHost) shardsOfLiveOwners(gone *worldHost) int {
	n := 0
	for _, o := range h.owners {
		if o.Host != gone.id {
			n++
		}
	}
	return n
}

// BenchmarkFreshMemberChange measures the cost of the change of one member for an entry
// host to which five seats report it one after another.
func BenchmarkFreshMemberChange(b *testing.B) {
	for _, n := range memberCounts() {
		b.Run(fmt.Sprintf("%d members", n), func(b *testing.B) {
			list := []model.HostID{"s0", "s1", "s2", "s3", "s4"}
			data, err := codec.EncodeConfig(model.NewConfig(nil, list))
			require.NoError(b, err)
			f := NewFreshnessClient(proto.Member{Host: "e"}, WithBootstrap(list, nil))
			r, now, changes := newRoster(), model.Instant(0), 0
			members := entryMembers(n)
			for _, m := range members {
				r.refresh(0, m)
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(DefaultTiming().AskInterval)
				members[i%n].Incarnation++
				r.refresh(now, members[i%n])
				for _, e := range f.Step(now, Tick{}) {
					s, ok := e.(Send)
					if !ok {
						continue
					}
					ask := s.Msg.(proto.FreshAsk)
					reply := proto.FreshReply{Nonce: ask.Nonce, Snapshot: data, OwnersDigest: emptyDigest}
					r.addMembers(&reply, ask.MembersDigest)
					for _, e := range f.Step(now, Received{From: s.To, Msg: reply}) {
						if _, ok := e.(MembersChanged); ok {
							changes++
						}
					}
				}
			}
			require.GreaterOrEqual(b, changes, b.N)
		})
	}
}
