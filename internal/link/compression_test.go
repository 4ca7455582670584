package link

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxLinkHeapBytes is how many bytes of heap one end of a link may keep. With it a
// control host with 280 MB of memory uses less than a tenth of it for 450 links.
const maxLinkHeapBytes = 60 << 10

// Guards against control hosts that run out of memory while a large fleet starts,
// as with the compression extension of WebSocket, which kept a compressor of 1.3
// MB for each link.
func TestCompressedLinkMemoryIsBounded(t *testing.T) {
	const hosts = 40
	hub := startHost(t, "hub", 1, WithCompression())
	peers := make([]*testHost, hosts)
	for i := range peers {
		peers[i] = startHost(t, model.HostID(fmt.Sprint("entry-", i)), 1, WithCompression())
	}
	before := heapInUse()
	for i, p := range peers {
		p.UpdateMembers([]proto.Member{hub.member})
		hub.UpdateMembers([]proto.Member{p.member})
		for n := range 20 {
			ask := proto.DrawAsk{Nonce: uint64(n + 1), Workspace: model.WorkspaceID(strings.Repeat("workspace", 30)), Tokens: i}
			require.True(t, p.Send("hub", ask))
			require.Eventually(t, func() bool { return hub.hasReceived(p.member.Host, ask) }, eventTimeout, time.Millisecond)
			require.True(t, hub.Send(p.member.Host, ask))
			require.Eventually(t, func() bool { return p.hasReceived("hub", ask) }, eventTimeout, time.Millisecond)
		}
	}
	used := heapInUse() - before
	require.Less(t, used/(2*hosts), int64(maxLinkHeapBytes), "bytes for one end of a link")
}

// heapInUse returns the bytes of live heap objects after garbage collection.
func heapInUse() int64 {
	var m runtime.MemStats
	for range 2 { // a sync.Pool is emptied by the second collection
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against two hosts that cannot exchange messages because only one of them
// compresses, which happens while the setting is changed host by host.
func TestLinkBetweenHostsWithAndWithoutCompression(t *testing.T) {
	with, without := startHost(t, "with", 1, WithCompression()), startHost(t, "without", 1)
	with.UpdateMembers([]proto.Member{without.member})
	without.UpdateMembers([]proto.Member{with.member})
	ask := proto.DrawAsk{Nonce: 1, Workspace: model.WorkspaceID(strings.Repeat("w", 200)), Tokens: 1}
	require.True(t, with.Send("without", ask))
	require.Eventually(t, func() bool { return without.hasReceived("with", ask) }, eventTimeout, time.Millisecond)
	require.True(t, without.Send("with", ask))
	require.Eventually(t, func() bool { return with.hasReceived("without", ask) }, eventTimeout, time.Millisecond)
}
