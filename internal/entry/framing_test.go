package entry_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/stub"
)

// TestAmbiguousFramingIsRefused guards against request smuggling: requests whose end
// this host and a target could see at different places.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	const good = "GET /open/x HTTP/1.1\r\nHost: h\r\n"
	cases := map[string]struct {
		raw    string
		status int
	}{
		"both lengths":           {good + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"both lengths, reversed": {good + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400},
		"two lengths":            {good + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", 400},
		"two equal lengths":      {good + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd", 400},
		"length list":            {good + "Content-Length: 4, 4\r\n\r\nabcd", 400},
		"signed length":          {good + "Content-Length: +4\r\n\r\nabcd", 400},
		"negative length":        {good + "Content-Length: -1\r\n\r\n", 400},
		"huge length":            {good + "Content-Length: 99999999999999999999\r\n\r\n", 400},
		"bare LF in header":      {"GET /open/x HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", 400},
		"bare LF at the end":     {good + "\n", 400},
		"bare LF throughout":     {"GET /open/x HTTP/1.1\nHost: h\n\n", 400},
		"bare CR in value":       {good + "X: a\rb\r\n\r\n", 400},
		"NUL in value":           {good + "X: a\x00b\r\n\r\n", 400},
		"duplicate host":         {good + "Host: h\r\n\r\n", 400},
		"no host":                {"GET /open/x HTTP/1.1\r\n\r\n", 400},
		"folded header":          {good + "X: a\r\n b\r\n\r\n", 400},
		"folded with tab":        {good + "X: a\r\n\tTransfer-Encoding: chunked\r\n\r\n", 400},
		"space before colon":     {good + "Transfer-Encoding : chunked\r\n\r\n", 400},
		"space in first line":    {"GET /open/x  HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"leading empty line":     {"\r\n" + good + "\r\n", 400},
		"encoding list":          {good + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		"encoding identity":      {good + "Transfer-Encoding: identity\r\n\r\n", 400},
		"encoding twice":         {good + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"encoding with suffix":   {good + "Transfer-Encoding: chunkedx\r\n\r\n0\r\n\r\n", 400},
		"encoding vertical tab":  {good + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n", 400},
		"encoding in 1.0":        {"POST /open/x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"bad target":             {"GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"target not a path":      {"GET x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"bad host":               {"GET /open/x HTTP/1.1\r\nHost: a/b\r\n\r\n", 400},
		"bad expect":             {good + "Expect: more\r\n\r\n", 400},
		"HTTP/2 preface":         {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
		"chunk size sign":        {good + "Transfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n", 400},
		"chunk size 0x":          {good + "Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n", 400},
		"chunk bare LF":          {good + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n", 400},
		"chunk too long":         {good + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400},
		"trailer folded":         {good + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n c\r\n\r\n", 400},
		"large header":           {good + "X: " + strings.Repeat("x", 40<<10) + "\r\n\r\n", 431},
		"large header, no end":   {good + "X: " + strings.Repeat("x", 200<<10), 431},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			target := h.addStubTarget(t, stub.Behavior{})
			conn := h.dial(t)
			// The valid request before the bad one must be answered first, the one after
			// it never.
			_, _ = io.WriteString(conn, good+"\r\n"+c.raw+good+"\r\n")
			in := bufio.NewReader(conn)
			first, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			require.Equal(t, 200, first.StatusCode)
			_, _ = io.Copy(io.Discard, first.Body)
			second, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			require.Equal(t, c.status, second.StatusCode)
			require.Equal(t, "not_run", second.Header.Get("X-Outcome"))
			require.Equal(t, "application/json", second.Header.Get("Content-Type"))
			_, _ = io.Copy(io.Discard, second.Body)
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Len(t, target.Journal(), 1)
		})
	}
}

// TestPipelinedRequestsInSmallPiecesAreServed guards against a framer that misparses
// well-formed requests because they arrive in small pieces.
func TestPipelinedRequestsInSmallPiecesAreServed(t *testing.T) {
	h := newHost(t)
	target := h.addStubTarget(t, stub.Behavior{})
	conn := h.dial(t)
	raw := "POST /open/a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" +
		"POST /open/b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n3;ext=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-End: 1\r\n\r\n" +
		"GET /open/c HTTP/1.1\r\nHost:h\r\n\r\n"
	for i := 0; i < len(raw); i += 7 {
		_, _ = io.WriteString(conn, raw[i:min(len(raw), i+7)])
		time.Sleep(time.Millisecond)
	}
	in := bufio.NewReader(conn)
	for range 3 {
		res, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.Equal(t, 200, res.StatusCode)
		_, _ = io.Copy(io.Discard, res.Body)
	}
	var bodies []string
	for _, e := range target.Journal() {
		bodies = append(bodies, e.URI+" "+e.Body)
	}
	require.Equal(t, []string{"/open/a hello", "/open/b abc0123456789", "/open/c "}, bodies)
}

// TestSlowAndIdleConnectionsAreClosed guards against callers that occupy a
// connection by sending nothing, or only a part of a header.
func TestSlowAndIdleConnectionsAreClosed(t *testing.T) {
	limits := entry.DefaultLimits()
	limits.HeaderTimeout = 100 * time.Millisecond
	limits.IdleTimeout = 300 * time.Millisecond
	const whole = "GET /open/x HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, raw := range map[string]string{
		"nothing":            "",
		"part of a header":   whole[:20],
		"idle":               whole,
		"part of the second": whole + whole[:20],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, entry.WithLimits(limits))
			h.addStubTarget(t, stub.Behavior{})
			conn := h.dial(t)
			_, _ = io.WriteString(conn, raw)
			_, err := io.ReadAll(conn)
			require.NoError(t, err, "the connection is closed before the test's own deadline")
		})
	}
}

// TestExpectIsAnsweredAndNotForwarded guards against a caller that waits forever for
// "100 Continue" before it sends its body, and against forwarding Expect, to which a
// target would respond again.
func TestExpectIsAnsweredAndNotForwarded(t *testing.T) {
	h := newHost(t)
	target := h.addStubTarget(t, stub.Behavior{})
	conn := h.dial(t)
	in := bufio.NewReader(conn)
	_, _ = io.WriteString(conn, "POST /open/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := in.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, _ = io.WriteString(conn, "ok")
	_, err = in.ReadString('\n')
	require.NoError(t, err)
	res, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.Equal(t, 200, res.StatusCode)
	require.Equal(t, "ok", target.Journal()[0].Body)
	require.Empty(t, target.Journal()[0].Header.Get("Expect"))
}
