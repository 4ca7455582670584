package entry_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/stub"
)

// percentEncode returns s with every byte percent-encoded.
func percentEncode(s string) string {
	var b strings.Builder
	for _, c := range []byte(s) {
		b.WriteString("%" + string("0123456789abcdef"[c>>4]) + string("0123456789ABCDEF"[c&15]))
	}
	return b.String()
}

// TestKeyNeverReachesATarget guards against a key that reaches a target in some part
// of a request or in some encoding. Where it can be removed it is, otherwise the
// request is refused.
func TestKeyNeverReachesATarget(t *testing.T) {
	once, twice := percentEncode(keyA), percentEncode(percentEncode(keyA))
	auth := "Authorization: Bearer " + keyA + "\r\n"
	cases := map[string]struct {
		line   string
		header string
		body   string
		status int
	}{
		"bearer":              {"GET /lookup/x", auth, "", 200},
		"bearer in capitals":  {"GET /lookup/x", "AUTHORIZATION: BEARER " + keyA + "\r\n", "", 200},
		"api key":             {"GET /lookup/x", "X-Api-Key: " + keyA + "\r\n", "", 200},
		"both headers":        {"GET /lookup/x", auth + "X-Api-Key: " + keyA + "\r\n", "", 200},
		"copies":              {"GET /lookup/x", auth + auth + "x-api-key: " + keyA + "\r\n", "", 200},
		"with basic":          {"GET /lookup/x", auth + "Authorization: Basic dTpw\r\n", "", 200},
		"underscore variant":  {"GET /lookup/x", auth + "X_Api_Key: " + keyA + "\r\n", "", 200},
		"other header":        {"GET /lookup/x", auth + "X-Copy: a " + keyA + " b\r\n", "", 200},
		"cookie encoded":      {"GET /lookup/x", auth + "Cookie: k=" + once + "\r\n", "", 200},
		"header twice":        {"GET /lookup/x", auth + "X-Copy: " + twice + "\r\n", "", 200},
		"bad escape before":   {"GET /lookup/x", auth + "X-Copy: %zz" + once + "\r\n", "", 200},
		"named in connection": {"GET /lookup/x", auth + "Connection: X-Hop, Keep-Alive\r\nX-Hop: 1\r\nX-Copy: " + keyA + "\r\n", "", 200},
		"query":               {"GET /lookup/x?a=1&k=" + url.QueryEscape(keyA) + "&b=2", auth, "", 200},
		"query encoded":       {"GET /lookup/x?k=" + once, auth, "", 200},
		"query twice":         {"GET /lookup/x?k=" + twice, auth, "", 200},
		"query as name":       {"GET /lookup/x?" + once + "=1", auth, "", 200},
		"query with plus":     {"GET /lookup/x?k=" + strings.ReplaceAll(url.QueryEscape(keyA), "%2B", "%2b"), auth, "", 200},
		"trailer":             {"POST /lookup/x", auth + "Trailer: X-Copy, X-End\r\nTransfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nX-Copy: " + once + "\r\nX-End: 1\r\n\r\n", 200},
		"authorization late":  {"POST /lookup/x", auth + "Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nAuthorization: Bearer " + keyA + "\r\n\r\n", 200},
		"open route":          {"GET /open/x?k=" + once, auth + "X-Copy: " + keyA + "\r\nX-Workspace: shop-b\r\n", "", 200},
		"path":                {"GET /lookup/" + once, auth, "", 400},
		"body":                {"POST /lookup/x", auth + "Content-Length: 23\r\n", keyA, 400},
		"different keys":      {"GET /lookup/x", auth + "X-Api-Key: " + keyB + "\r\n", "", 401},
		"different copies":    {"GET /lookup/x", auth + "Authorization: Bearer " + keyB + "\r\n", "", 401},
		"none":                {"GET /lookup/x", "", "", 401},
		"unknown":             {"GET /lookup/x", "X-Api-Key: nope\r\n", "", 401},
	}
	require.Len(t, keyA, 23, "the case with a body states this length")
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			target := h.addStubTarget(t, stub.Behavior{})
			conn := h.dial(t)
			_, _ = io.WriteString(conn, c.line+" HTTP/1.1\r\nHost: h\r\nX-Kept: yes\r\n"+c.header+"\r\n"+c.body)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, c.status, res.StatusCode)
			if c.status != 200 {
				require.Equal(t, "not_run", res.Header.Get("X-Outcome"))
				require.Empty(t, target.Journal())
				return
			}
			seen, err := json.Marshal(target.Journal())
			require.NoError(t, err)
			text := string(seen)
			for range 4 {
				require.NotContains(t, text, keyA)
				text, _ = url.PathUnescape(strings.ReplaceAll(text, "%zz", ""))
			}
			e := target.Journal()[0]
			require.Equal(t, "yes", e.Header.Get("X-Kept"))
			require.Empty(t, e.Header.Get("X-Hop"))
			want := "shop-a"
			if name == "open route" {
				want = ""
			}
			require.Equal(t, want, e.Workspace)
			if name == "query" {
				require.Equal(t, "/lookup/x?a=1&b=2", e.URI)
			}
			if name == "trailer" {
				require.Equal(t, http.Header{"X-End": {"1"}}, e.Trailer)
			}
		})
	}
}

// TestKeyInStreamedBodyIsRefused guards against a key that reaches a target in a
// streamed body, which is checked in parts, so that the key may be split over two of
// them.
func TestKeyInStreamedBodyIsRefused(t *testing.T) {
	h := newHost(t)
	target := h.addStubTarget(t, stub.Behavior{})
	body := strings.Repeat("x", 100<<10) + keyA + strings.Repeat("y", 10)
	a, err := h.do(h.newRequest(t, "POST", "/lookup/x", body))
	if err == nil {
		require.Equal(t, 400, a.StatusCode)
		require.NotEqual(t, "ran", a.outcome())
	}
	require.Empty(t, target.Journal())
}
