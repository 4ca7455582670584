package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDifferentRequestsHaveDifferentIdentities guards against different requests
// with equal hashes. An equal fingerprint would quarantine the wrong request, an
// equal body hash would answer an order with the stored answer of another.
func TestDifferentRequestsHaveDifferentIdentities(t *testing.T) {
	base := requestIdentity{method: "POST", path: "/a", query: "b=1", body: []byte("c")}
	others := map[string]requestIdentity{
		"method":   {method: "PUT", path: "/a", query: "b=1", body: []byte("c")},
		"path":     {method: "POST", path: "/aa", query: "b=1", body: []byte("c")},
		"query":    {method: "POST", path: "/a", query: "b=2", body: []byte("c")},
		"body":     {method: "POST", path: "/a", query: "b=1", body: []byte("d")},
		"boundary": {method: "POST", path: "/a", query: "b=", body: []byte("1c")},
		"shifted":  {method: "POST", path: "/ab", query: "=1", body: []byte("c")},
	}
	for name, other := range others {
		require.NotEqual(t, base.fingerprint("ws"), other.fingerprint("ws"), name)
		require.NotEqual(t, base.bodyHash(), other.bodyHash(), name)
	}
	require.NotEqual(t, base.fingerprint("ws"), base.fingerprint("ws2"), "workspaces cannot quarantine each other's requests")
	require.Equal(t, base.fingerprint("ws"), base.fingerprint("ws"))
}

// TestRequestIDsAreUnique guards against request ids that occur twice, above all in
// two processes of one host, such as before and after a restart.
func TestRequestIDsAreUnique(t *testing.T) {
	a, b := newIDSource("h1"), newIDSource("h1")
	require.NotEqual(t, a.id(), b.id())
	require.NotEqual(t, a.id(), a.id())
	require.Regexp(t, "^h1-[0-9a-f]{24}-[0-9a-z]+$", string(a.id()))
}
