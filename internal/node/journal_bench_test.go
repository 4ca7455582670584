package node

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// benchJournal is an open journal that passes each reply to the call that waits
// for it.
type benchJournal struct {
	*journalHost
	mu      sync.Mutex
	waiting map[uint64]chan proto.ReserveReply
	nonce   uint64
}

// openBenchJournal starts a journal in a folder without links to other hosts.
// It returns the journal and a function that stops it.
func openBenchJournal(b *testing.B, dir string) (*benchJournal, func()) {
	j := &benchJournal{waiting: map[uint64]chan proto.ReserveReply{}}
	host, closeFile, err := openJournal(journalSetup{
		dataDir: dir, self: proto.Member{Host: "j1", Incarnation: newIncarnation()}, journals: []model.HostID{"j1"}, createFleet: true, log: logr.Discard(), send: j.deliver,
	})
	require.NoError(b, err)
	j.journalHost = host
	tree, stop := super.New("journal")
	for name, run := range benchTasks(host) {
		tree.Go(name, run)
	}
	host.tick()
	return j, func() { stop(); _ = closeFile() }
}

func (j *benchJournal) deliver(_ model.HostID, m proto.Message) {
	reply := m.(proto.ReserveReply)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiting[reply.Nonce] <- reply
	delete(j.waiting, reply.Nonce)
}

func (j *benchJournal) call(key string) proto.ReserveReply {
	reply := make(chan proto.ReserveReply, 1)
	j.mu.Lock()
	j.nonce++
	m := proto.ReserveAsk{Nonce: j.nonce, Workspace: "shop-7", OrderKey: key, Holder: "0123456789abcdef0123456789abcdef", JournalsDigest: order.JournalListDigest([]model.HostID{"j1"})}
	j.waiting[m.Nonce] = reply
	j.mu.Unlock()
	j.receive("e1", m)
	return <-reply
}

func benchKey(i int) string { return fmt.Sprintf("order-%032d", i) }

// benchRecord returns a record with an answer of 1 KB.
func benchRecord(i int) proto.JournalRecord {
	return proto.JournalRecord{
		Workspace: "shop-7", OrderKey: benchKey(i), Holder: "fedcba9876543210fedcba9876543210", UnixMilli: time.Now().UnixMilli(),
		Answer: &proto.StoredAnswer{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: bytes.Repeat([]byte{byte(i)}, 1024)},
	}
}

func heapAfterGC() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkJournalRecovery measures the start of a journal with 1,000,000
// records, its memory per record, and a resend that is answered from the disk.
// The records have just been written, so they are in the page cache.
func BenchmarkJournalRecovery(b *testing.B) {
	const records = 1_000_000
	dir := b.TempDir()
	fillJournal(b, dir, records)
	for b.Loop() {
		before, start := heapAfterGC(), time.Now()
		j, stop := openBenchJournal(b, dir)
		b.ReportMetric(time.Since(start).Seconds(), "recovery-s")
		b.ReportMetric(float64(heapAfterGC()-before)/records, "B/record")
		r := rand.New(rand.NewPCG(1, 2))
		const resends = 20_000
		start = time.Now()
		for range resends {
			if got := j.call(benchKey(r.IntN(records))); got.Answer == nil || len(got.Answer.Body) != 1024 {
				b.Fatal("no stored answer")
			}
		}
		b.ReportMetric(float64(time.Since(start).Microseconds())/resends, "µs/resend")
		stop()
	}
}

// BenchmarkJournalReserve measures reservations, each of which is synced to the
// disk.
func BenchmarkJournalReserve(b *testing.B) {
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			j, stop := openBenchJournal(b, b.TempDir())
			defer stop()
			pool := pond.NewPool(callers)
			start, cpu := time.Now(), processorTime(b)
			n := 0
			for b.Loop() {
				n++
				key := benchKey(n)
				pool.Submit(func() { j.call(key) })
			}
			pool.StopAndWait()
			b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/float64(n), "µs-cpu/reservation")
			b.ReportMetric(float64(n)/time.Since(start).Seconds(), "reservations/s")
		})
	}
}

// benchTasks returns the background tasks of a journal, by name.
func benchTasks(j *journalHost) map[string]func(context.Context) error {
	return map[string]func(context.Context) error{"disk": j.writes.run, "reads": j.reads.run, "pages": j.pageReads.run}
}

// fillJournal writes a complete journal with the given number of records to a
// folder.
func fillJournal(b *testing.B, dir string, records int) {
	file, _, closeFile, err := store.OpenSegments(filepath.Join(dir, journalFolder), nil)
	require.NoError(b, err)
	for i := 0; i < records; i += 1000 {
		batch := make([][]byte, 1000)
		for k := range batch {
			batch[k], err = encodeRecord(benchRecord(i + k))
			require.NoError(b, err)
		}
		_, err = file.Append(currentSegment(), batch)
		require.NoError(b, err)
	}
	state, err := encodeState(map[string]proto.JournalRecord{"": {Holder: "complete"}})
	require.NoError(b, err)
	require.NoError(b, file.SetState(state))
	require.NoError(b, closeFile())
}
