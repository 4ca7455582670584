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

// maxLinkHeap is the heap in bytes that one end of a link may keep. A control
// host of 280 MB takes 450 links with less than a tenth of its memory.
const maxLinkHeap = 60 << 10

// Guards against control hosts that run out of memory while a large fleet
// starts: the WebSocket extension kept a compressor of 1.3 MB for each link.
func TestCompressedLinkKeepsLittleMemory(t *testing.T) {
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
			require.Eventually(t, func() bool { return hub.saw(p.member.Host, ask) }, patience, time.Millisecond)
			require.True(t, hub.Send(p.member.Host, ask))
			require.Eventually(t, func() bool { return p.saw("hub", ask) }, patience, time.Millisecond)
		}
	}
	used := heapInUse() - before
	require.Less(t, used/(2*hosts), int64(maxLinkHeap), "bytes for one end of a link")
}

func heapInUse() int64 {
	var m runtime.MemStats
	for range 2 { // pools are emptied by the second collection
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against two hosts of which one compresses and that do not understand
// each other, as while the setting is changed host by host.
func TestHostsWithAndWithoutCompressionTalk(t *testing.T) {
	with, without := startHost(t, "with", 1, WithCompression()), startHost(t, "without", 1)
	with.UpdateMembers([]proto.Member{without.member})
	without.UpdateMembers([]proto.Member{with.member})
	ask := proto.DrawAsk{Nonce: 1, Workspace: model.WorkspaceID(strings.Repeat("w", 200)), Tokens: 1}
	require.True(t, with.Send("without", ask))
	require.Eventually(t, func() bool { return without.saw("with", ask) }, patience, time.Millisecond)
	require.True(t, without.Send("with", ask))
	require.Eventually(t, func() bool { return with.saw("without", ask) }, patience, time.Millisecond)
}
