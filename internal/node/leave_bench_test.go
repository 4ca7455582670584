package node

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// BenchmarkAcknowledgedLeave measures what a leave costs five control hosts that
// know a number of targets: the time until it is acknowledged, the records that each
// disk gets for it, and the whole list that follows within minSaveInterval for all
// changes together. Messages take no time.
func BenchmarkAcknowledgedLeave(b *testing.B) {
	for _, targets := range []int{40, 432, 4000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			f := newTargetFleet(b, 5)
			list := make([]model.Announcement, targets+b.N)
			for i := range list {
				list[i] = testLeaver()
				list[i].Target = model.TargetID(fmt.Sprintf("i-%08d", i))
				list[i].Addr = fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)
				require.NoError(b, f.hosts[i%5].running().Announce(list[i]))
			}
			time.Sleep(2 * minSaveInterval)
			folder := filepath.Join(f.hosts[0].dir, knownFolder)
			before := sizeOfFiles(b, folder, "log-")
			times := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for i := range b.N {
				a := list[i]
				a.State = model.TargetLeaving
				began := time.Now()
				require.NoError(b, f.hosts[i%5].running().Announce(a))
				times = append(times, time.Since(began))
			}
			b.StopTimer()
			records := sizeOfFiles(b, folder, "log-") - before
			slices.Sort(times)
			b.ReportMetric(times[len(times)/2].Seconds()*1e3, "p50-ms")
			b.ReportMetric(times[len(times)*99/100].Seconds()*1e3, "p99-ms")
			b.ReportMetric(float64(records)/float64(b.N), "record-B/leave")
			b.ReportMetric(float64(sizeOfFiles(b, folder, "snapshot")), "list-B")
		})
	}
}

// sizeOfFiles returns the length of the files in a folder whose names begin with a prefix.
func sizeOfFiles(b *testing.B, dir, prefix string) int64 {
	b.Helper()
	names, err := filepath.Glob(filepath.Join(dir, prefix+"*"))
	require.NoError(b, err)
	var size int64
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			size += info.Size()
		}
	}
	return size
}
