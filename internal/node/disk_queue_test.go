package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/internal/super"
)

// Guards against the queue of a disk that hangs, which kept each snapshot and all
// records before it while other control hosts went on committing changes.
func TestQueueOfAHangingDiskHoldsOneSnapshot(t *testing.T) {
	started, resume := make(chan struct{}), make(chan struct{})
	var written []uint64
	done := make(chan uint64, 100)
	q := newDiskQueue(func(batch []ctrl.Persist) error {
		if len(written) == 0 {
			close(started)
			<-resume
		}
		for _, p := range batch {
			written = append(written, p.Seq)
		}
		return nil
	}, func(p ctrl.Persist) { done <- p.Seq }, func(error) {})
	c := &controlHost{logWrites: q}
	tree, stop := super.New("test")
	t.Cleanup(stop)
	tree.Go("log", q.run)

	c.persist(ctrl.Persist{Seq: 1})
	<-started
	for seq := uint64(2); seq <= 41; seq++ {
		p := ctrl.Persist{Seq: seq}
		if seq%10 == 0 {
			p.Snapshot = &ctrl.Snapshot{Index: seq}
		}
		c.persist(p)
		require.LessOrEqual(t, len(q.queue), 10)
	}
	close(resume)
	for _, seq := range []uint64{1, 40, 41} {
		require.Equal(t, seq, <-done)
	}
	require.Equal(t, []uint64{1, 40, 41}, written)
}
