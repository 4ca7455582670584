package defl

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// testMaxContentSize is the longest content in bytes that the tests accept.
const testMaxContentSize = 1 << 20

// Guards against contents that differ after decompression. Their lengths and how
// well they compress vary at random, since every frame becomes part of the
// dictionary of the later ones.
func TestDecompressedContentsEqualOriginals(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	c := NewCompressor(NewPool())
	d := NewDecompressor(NewPool(), testMaxContentSize)
	for i := range 2000 {
		content := make([]byte, r.IntN(1+r.IntN(3*windowSize)))
		if i%3 == 0 {
			for j := range content {
				content[j] = byte(r.Uint32())
			}
		} else {
			copy(content, bytes.Repeat([]byte("zone-a host-7 target-"+string(rune('a'+i%7))), 1+len(content)/16))
		}
		frame, err := c.Compress(content)
		require.NoError(t, err)
		require.LessOrEqual(t, len(frame), len(content)+1)
		got, err := d.Decompress(frame)
		require.NoError(t, err)
		require.True(t, bytes.Equal(content, got), "frame %d", i)
	}
}

// Guards against short messages that are sent nearly whole although they differ
// from the one before in a few bytes only.
func TestRepeatedMessageIsCompressedAgainstEarlierOne(t *testing.T) {
	c := NewCompressor(NewPool())
	message := strings.Repeat("workspace-17/stockbook/10.1.0.30:8782/", 4)
	first, err := c.Compress([]byte(message + "1"))
	require.NoError(t, err)
	long := len(first)
	second, err := c.Compress([]byte(message + "2"))
	require.NoError(t, err)
	require.Less(t, len(second), long/2)
}

// Guards against configurations that are sent nearly whole with every change: a
// series of changes of 18 KB each, of which a few bytes differ, filled the 2
// Mbit/s links of entry hosts for seconds, so that a change was in force too late.
func TestRepeatedConfigurationIsCompressedAgainstEarlierOne(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	config := make([]byte, 18<<10)
	for i := range config {
		config[i] = byte(r.Uint32())
	}
	c := NewCompressor(NewPool())
	d := NewDecompressor(NewPool(), testMaxContentSize)
	for i := range 20 {
		config[r.IntN(len(config))]++
		frame, err := c.Compress(config)
		require.NoError(t, err)
		if i > 0 {
			require.Less(t, len(frame), len(config)/20)
		}
		got, err := d.Decompress(frame)
		require.NoError(t, err)
		require.True(t, bytes.Equal(config, got))
		small := bytes.Repeat([]byte{byte(i)}, 200)
		frame, err = c.Compress(small)
		require.NoError(t, err)
		got, err = d.Decompress(frame)
		require.NoError(t, err)
		require.Equal(t, small, got)
	}
}

// Guards against a small frame that takes up the memory of the host, since it
// decompresses to far more bytes.
func TestOversizedContentIsRefused(t *testing.T) {
	c := NewCompressor(NewPool())
	frame, err := c.Compress(make([]byte, testMaxContentSize+1))
	require.NoError(t, err)
	require.Less(t, len(frame), testMaxContentSize/100)
	_, err = NewDecompressor(NewPool(), testMaxContentSize).Decompress(frame)
	require.ErrorAs(t, err, &ErrFrame{})
}

// Guards against a malformed frame that is delivered as a message or crashes the process.
func TestMalformedFramesAreRefused(t *testing.T) {
	c := NewCompressor(NewPool())
	frame, err := c.Compress(bytes.Repeat([]byte("content "), 20))
	require.NoError(t, err)
	for name, bad := range map[string][]byte{
		"empty": {}, "unknown form": {9, 1, 2}, "cut short": frame[:len(frame)-2], "bytes behind": append(bytes.Clone(frame), 1, 2, 3),
	} {
		_, err := NewDecompressor(NewPool(), testMaxContentSize).Decompress(bad)
		require.ErrorAs(t, err, &ErrFrame{}, name)
	}
}

// FuzzDecompress guards against a panic, and against contents above the limit,
// when a peer sends arbitrary bytes.
func FuzzDecompress(f *testing.F) {
	f.Add([]byte{formPlain, 1, 2})
	f.Add([]byte{formDeflate, 3, 0})
	f.Fuzz(func(t *testing.T, frame []byte) {
		content, err := NewDecompressor(NewPool(), 4096).Decompress(frame)
		if err == nil {
			require.LessOrEqual(t, len(content), 4096)
		}
	})
}

// BenchmarkCompressShortFrame measures compressing and decompressing a message of some 230 bytes.
func BenchmarkCompressShortFrame(b *testing.B) {
	c := NewCompressor(NewPool())
	d := NewDecompressor(NewPool(), testMaxContentSize)
	r := rand.New(rand.NewPCG(1, 2))
	message := []byte(strings.Repeat("workspace-17/stockbook/10.1.0.30:8782/", 6))
	for b.Loop() {
		message[r.IntN(len(message))]++
		frame, err := c.Compress(message)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := d.Decompress(frame); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCompressLongFrame measures compressing a configuration of some 20 KB against the whole window.
func BenchmarkCompressLongFrame(b *testing.B) {
	c := NewCompressor(NewPool())
	r := rand.New(rand.NewPCG(1, 2))
	config := bytes.Repeat([]byte("workspace-17/stockbook/10.1.0.30:8782/"), 500)
	for i := range config {
		if r.IntN(4) == 0 {
			config[i] = byte(r.Uint32())
		}
	}
	for b.Loop() {
		config[r.IntN(len(config))]++
		if _, err := c.Compress(config); err != nil {
			b.Fatal(err)
		}
	}
}
