package node

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/client"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// BenchmarkInForce measures the time from the acceptance of a change until it is
// in force on every entry host.
func BenchmarkInForce(b *testing.B) {
	for _, hosts := range []int{12, 48} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := newFleet(b, hosts)
			var took []time.Duration
			for i := 0; b.Loop(); i++ {
				v := f.applyChange(model.CreateWorkspace{Workspace: model.WorkspaceID(fmt.Sprintf("w%d", i))})
				accepted := time.Now()
				f.pollVersion(v)
				took = append(took, time.Since(accepted))
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)/2].Seconds()*1e3, "median-ms")
			b.ReportMetric(took[len(took)-1].Seconds()*1e3, "worst-ms")
		})
	}
}

// pollVersion polls at a shorter interval than waitInForce, for measurements.
func (f *fleet) pollVersion(v model.Version) {
	for _, e := range f.entries {
		for e.host.Config().Version < v {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkIdleHost measures what control costs an entry host without requests:
// processor time of the whole process divided by its hosts, and the bytes that
// each host sends and receives.
func BenchmarkIdleHost(b *testing.B) {
	const span = 10 * time.Second
	for _, hosts := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := newFleet(b, hosts)
			time.Sleep(3 * time.Second)
			for b.Loop() {
				seats, others := f.bytesPerHost()
				cpu := processorTime(b)
				time.Sleep(span)
				seatsAfter, othersAfter := f.bytesPerHost()
				used := processorTime(b) - cpu
				b.ReportMetric(100*used.Seconds()/span.Seconds()/float64(hosts), "%core/host")
				b.ReportMetric((seatsAfter-seats)/span.Seconds(), "seat-B/s")
				b.ReportMetric((othersAfter-others)/span.Seconds(), "entry-B/s")
			}
		})
	}
}

// bytesPerHost returns the mean of the bytes that seats, and other entry hosts, sent and received so far.
func (f *fleet) bytesPerHost() (seats, others float64) {
	n := len(f.settings.Seats)
	for i, e := range f.entries {
		var sum uint64
		for host, s := range e.host.process.mesh.Stats() {
			if host != e.cfg.Host.Name {
				sum += s.SentBytes + s.ReceivedBytes
			}
		}
		if i < n {
			seats += float64(sum) / float64(n)
		} else {
			others += float64(sum) / float64(len(f.entries)-n)
		}
	}
	return seats, others
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPropose measures changes, one at a time, through three control hosts
// that sync to this machine's disk.
func BenchmarkPropose(b *testing.B) {
	f := newFleet(b, 6)
	ctx := context.Background()
	base, err := f.client.Version(ctx)
	require.NoError(b, err)
	i := 0
	for b.Loop() {
		i++
		id, err := client.NewChangeID()
		require.NoError(b, err)
		got, err := f.client.Propose(ctx, model.Proposal{ID: id, Base: base, Change: model.CreateWorkspace{Workspace: model.WorkspaceID(fmt.Sprintf("w%d", i))}})
		require.NoError(b, err)
		base = got.Version
	}
}
