package ctrl

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// messageOverhead is the number of bytes that an envelope adds to the encoded
// content of a message.
const messageOverhead = 48

// usage is the processor time that one host used, its longest step, the bytes that
// it sent and, with measureDisk, the bytes of its records and snapshots.
type usage struct {
	cpuTime   time.Duration
	maxStep   time.Duration
	sentBytes int
	diskBytes int
}

// benchFleet connects control hosts and seats without loss or delay. Records
// are durable at once.
type benchFleet struct {
	b     *testing.B
	now   model.Instant
	nodes map[model.HostID]*Node
	ids   []model.HostID
	usage map[model.HostID]*usage
	queue []proto.Envelope
	// measureDisk is set to encode the records as the runtime does.
	measureDisk bool
}

// newBenchFleet returns a fleet with this number of control hosts, seven seats
// and an elected leader.
func newBenchFleet(b *testing.B, hosts int) *benchFleet {
	net := &benchFleet{b: b, now: model.Instant(time.Hour), nodes: map[model.HostID]*Node{}, usage: map[model.HostID]*usage{}}
	for i := range hosts {
		net.ids = append(net.ids, model.HostID(fmt.Sprintf("control-%d", i)))
	}
	seats := []model.HostID{"s0", "s1", "s2", "s3", "s4", "s5", "s6"}
	for i, id := range net.ids {
		n, err := New(id, RecoveredState{Empty: true}, WithBootstrap(net.ids, seats), WithSeed(uint64(i+1)))
		require.NoError(b, err)
		net.nodes[id], net.usage[id] = n, &usage{}
	}
	for net.leader() == nil {
		net.tick()
	}
	return net
}

// leader returns the leader, or nil if there is none.
func (net *benchFleet) leader() *Node {
	i := slices.IndexFunc(net.ids, func(id model.HostID) bool { return net.nodes[id].ConfirmLeadership(net.now).OK })
	if i < 0 {
		return nil
	}
	return net.nodes[net.ids[i]]
}

// tick moves the time forward by 40 ms and sends each host a Tick.
func (net *benchFleet) tick() {
	net.now = net.now.Add(40 * time.Millisecond)
	for _, id := range net.ids {
		net.step(id, Tick{})
	}
}

// step passes an event to a host, and delivers all messages that result from
// it.
func (net *benchFleet) step(id model.HostID, ev Event) {
	n, u := net.nodes[id], net.usage[id]
	events := []Event{ev}
	for len(events) > 0 {
		start := time.Now()
		effects := n.Step(net.now, events[0])
		u.cpuTime += time.Since(start)
		u.maxStep = max(u.maxStep, time.Since(start))
		events = events[1:]
		for _, e := range effects {
			switch e := e.(type) {
			case Persist:
				events = append(events, Persisted{Seq: e.Seq})
				if net.measureDisk {
					data, _, err := EncodePersist(e)
					require.NoError(net.b, err)
					u.diskBytes += len(data)
				}
			case Encode:
				data, err := codec.EncodeControlState(e.State)
				require.NoError(net.b, err)
				events = append(events, Encoded{ID: e.ID, Data: data})
			case Send:
				u.sentBytes += messageSize(net.b, e.Msg)
				net.queue = append(net.queue, proto.Envelope{From: id, To: e.To, Body: e.Msg})
			}
		}
	}
	net.deliver()
}

// deliver delivers the queued messages. Seats acknowledge each staging message.
func (net *benchFleet) deliver() {
	for len(net.queue) > 0 {
		e := net.queue[0]
		net.queue = net.queue[1:]
		if m, ok := e.Body.(proto.SeatStage); !ok {
			net.step(e.To, Received{From: e.From, Msg: e.Body})
		} else {
			net.step(e.From, Received{From: e.To, Msg: proto.SeatStageReply{Term: m.Term, HeldVersion: m.Newest, Incarnation: 1, Round: m.Round}})
		}
	}
}

// messageSize returns about how many bytes a message has on a link.
func messageSize(b *testing.B, msg proto.Message) int {
	size := messageOverhead
	add := func(data []byte, err error) {
		require.NoError(b, err)
		size += len(data)
	}
	switch m := msg.(type) {
	case proto.Append:
		for _, e := range m.Entries {
			add(codec.EncodeLogEntry(e))
		}
	case proto.SeatStage:
		size += len(m.Snapshot)
		for _, c := range m.Changes {
			add(codec.EncodeCommitted(c))
		}
	}
	return size
}

// proposeChange submits change number i to the leader.
func (net *benchFleet) proposeChange(i int) {
	l := net.leader()
	require.NotNil(net.b, l)
	p := model.Proposal{
		ID: model.ChangeID(fmt.Sprintf("change-%d", i)), Base: l.Config().Version, Actor: "operator", Reason: "benchmark",
		Change: model.PutService{Service: model.Service{Name: model.ServiceName(fmt.Sprintf("service-%d", i%50))}},
	}
	net.step(l.self, Proposed{Nonce: uint64(i), Proposal: p})
}

// BenchmarkLoad measures the processor time and the sent bytes of a leader and
// a follower in one second, with 0, 5 and 25 changes. The bytes do not include
// the framing of the links.
func BenchmarkLoad(b *testing.B) {
	for _, hosts := range []int{3, 5} {
		for _, rate := range []int{0, 5, 25} {
			b.Run(fmt.Sprintf("hosts=%d/changes=%d", hosts, rate), func(b *testing.B) {
				net := newBenchFleet(b, hosts)
				for _, u := range net.usage {
					*u = usage{}
				}
				i, seconds := 0, 0
				for b.Loop() {
					for t := range 25 {
						net.tick()
						if rate > 0 && t%(25/rate) == 0 {
							net.proposeChange(i)
							i++
						}
					}
					seconds++
				}
				leader := net.leader().self
				follower := net.ids[slices.IndexFunc(net.ids, func(id model.HostID) bool { return id != leader })]
				for name, id := range map[string]model.HostID{"leader": leader, "follower": follower} {
					b.ReportMetric(float64(net.usage[id].cpuTime.Microseconds())/float64(seconds), name+"-µs/s")
					b.ReportMetric(float64(net.usage[id].sentBytes)/float64(seconds), name+"-B/s")
				}
			})
		}
	}
}

// BenchmarkWholeConfigurations measures what one accepted change of a whole
// configuration costs the leader, with its records and snapshots: processor time
// in steps, the longest step, bytes to the disk, and heap per host at the end.
func BenchmarkWholeConfigurations(b *testing.B) {
	for _, routes := range []int{20, 1400, 10_000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			net := newBenchFleet(b, 5)
			net.measureDisk = true
			for _, u := range net.usage {
				*u = usage{}
			}
			changes := 0
			for b.Loop() {
				changes++
				l := net.leader()
				net.step(l.self, Proposed{Nonce: uint64(changes), Proposal: model.Proposal{
					ID: model.ChangeID(fmt.Sprintf("change-%d", changes)), Change: newReplaceContent(model.Revision(changes), routes),
				}})
				require.Equal(b, model.Revision(changes), l.Config().Revision)
				net.tick()
			}
			u := net.usage[net.leader().self]
			b.ReportMetric(float64(u.cpuTime.Microseconds())/float64(changes), "leader-µs/change")
			b.ReportMetric(float64(u.maxStep.Microseconds()), "max-step-µs")
			b.ReportMetric(float64(u.diskBytes)/float64(changes)/1024, "disk-KiB/change")
			before := heapBytes()
			hosts := len(net.ids)
			clear(net.nodes)
			b.ReportMetric(float64(before-heapBytes())/float64(hosts)/1024, "KiB/host")
		})
	}
}

// BenchmarkHeapPerHost measures the heap of one host after a number of changes.
func BenchmarkHeapPerHost(b *testing.B) {
	for _, changes := range []int{0, 1000, 2000, 10000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			for b.Loop() {
				net := newBenchFleet(b, 3)
				for i := range changes {
					net.proposeChange(i)
				}
				before := heapBytes()
				for _, id := range net.ids {
					net.nodes[id] = nil
				}
				b.ReportMetric(float64(before-heapBytes())/float64(len(net.ids))/1024, "KiB/host")
			}
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
