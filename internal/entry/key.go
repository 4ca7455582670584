package entry

import (
	"bytes"
	"crypto/sha256"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// decodeDepth is how often a value is percent-decoded in the search for a key.
	decodeDepth = 3
	// minGuessedKey is the length from which an unknown bearer value on an open
	// route is searched for in the rest of the request. Shorter ones occur by chance.
	minGuessedKey = 16
)

// presentedKeys returns the distinct keys of a request, from every copy of both headers.
func presentedKeys(h http.Header, scheme string) []string {
	var keys []string
	for _, v := range h["Authorization"] {
		named, key, ok := strings.Cut(strings.TrimSpace(v), " ")
		if ok && strings.EqualFold(named, scheme) {
			keys = append(keys, strings.TrimSpace(key))
		}
	}
	for _, v := range h[headerAPIKey] {
		keys = append(keys, strings.TrimSpace(v))
	}
	keys = slices.DeleteFunc(keys, func(k string) bool { return k == "" })
	slices.Sort(keys)
	return slices.Compact(keys)
}

// resolveKey returns the key of a request from the distinct keys that it
// presents. Only digests are compared, and errors never contain a key.
func resolveKey(cfg model.Config, presented []string) (model.Key, *ErrRefused) {
	switch len(presented) {
	case 0:
		return model.Key{}, refuse(http.StatusUnauthorized, CodeNoKey, "the request has no key; send it as \"Authorization: Bearer KEY\" or \"X-Api-Key: KEY\"")
	case 1:
	default:
		return model.Key{}, refuse(http.StatusUnauthorized, CodeKeyMismatch, "the request has different keys; send one key, once")
	}
	key, ok := cfg.KeyFor(sha256.Sum256([]byte(presented[0])))
	if !ok {
		return model.Key{}, refuse(http.StatusUnauthorized, CodeUnknownKey, "the key is unknown or was withdrawn; ask the operators for a valid key")
	}
	return key, nil
}

// cleaner removes keys from what a target sees.
type cleaner struct{ keys []string }

// newCleaner returns a cleaner for the keys of a request on an open or keyed route.
func newCleaner(cfg model.Config, keys []string, open bool) cleaner {
	if !open {
		return cleaner{keys: keys}
	}
	return cleaner{keys: slices.DeleteFunc(slices.Clone(keys), func(k string) bool {
		_, known := cfg.Keys.Get(sha256.Sum256([]byte(k)))
		return !known && len(k) < minGuessedKey
	})}
}

// found reports whether a value contains a key, as it is or percent-encoded up to decodeDepth times.
func (c cleaner) found(value string) bool {
	for range decodeDepth + 1 {
		if c.plain(value) {
			return true
		}
		// A space may be written as a plus sign in a query.
		if strings.Contains(value, "+") && c.plain(strings.ReplaceAll(value, "+", " ")) {
			return true
		}
		next := decodePercent(value)
		if next == value {
			return false
		}
		value = next
	}
	return c.plain(value)
}

func (c cleaner) plain(value string) bool {
	return slices.ContainsFunc(c.keys, func(k string) bool { return strings.Contains(value, k) })
}

func (c cleaner) foundIn(body []byte) bool {
	return slices.ContainsFunc(c.keys, func(k string) bool { return bytes.Contains(body, []byte(k)) })
}

// foundInName is found without regard to case, since header names are changed to their canonical case.
func (c cleaner) foundInName(name string) bool {
	return slices.ContainsFunc(c.keys, func(k string) bool {
		return strings.Contains(strings.ToLower(name), strings.ToLower(k))
	})
}

// decodePercent decodes valid escapes and keeps invalid ones; url.Unescape
// rejects a value with one bad escape, behind which a key could hide.
func decodePercent(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if part, err := url.PathUnescape(s[i : i+3]); err == nil {
				b.WriteString(part)
				i += 2
				continue
			}
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

// query returns a raw query without the parameters that contain a key.
func (c cleaner) query(raw string) string {
	if len(c.keys) == 0 || raw == "" {
		return raw
	}
	parts := strings.Split(raw, "&")
	parts = slices.DeleteFunc(parts, c.found)
	// A target that joins parameters must not see a key that was split over two of them.
	kept := strings.Join(parts, "&")
	if c.found(kept) {
		return ""
	}
	return kept
}

// header returns the headers that a target sees.
func (c cleaner) header(in http.Header) http.Header {
	named := connectionNames(in)
	out := make(http.Header, len(in)+4)
	for name, values := range in {
		if hopByHop(name) || controlled(name) || slices.Contains(named, name) || c.foundInName(name) {
			continue
		}
		if len(c.keys) > 0 {
			values = slices.DeleteFunc(slices.Clone(values), c.found)
		}
		if len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

// trailer is header for trailers, which may not frame or authorize anything.
func (c cleaner) trailer(in http.Header) http.Header {
	out := c.header(in)
	for _, name := range []string{"Content-Length", "Host", "Content-Encoding", "Content-Type", "Trailer", headerOrderKey} {
		out.Del(name)
	}
	return out
}

// trailerNames returns the names that trailer keeps, without values: those are known only after the body.
func (c cleaner) trailerNames(in http.Header) http.Header {
	named := make(http.Header, len(in))
	for name := range in {
		named[name] = []string{""}
	}
	out := c.trailer(named)
	for name := range out {
		out[name] = nil
	}
	return out
}

// connectionNames lists the headers that Connection names, in canonical case.
func connectionNames(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, http.CanonicalHeaderKey(name))
			}
		}
	}
	return names
}

// hopByHop reports whether a header concerns one connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Authentication-Info", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	default:
		return false
	}
}

// controlled reports whether only the fleet may set a header. Underscores count
// as dashes, because some servers treat both alike.
func controlled(name string) bool {
	switch strings.ReplaceAll(strings.ToLower(name), "_", "-") {
	case "authorization", "x-api-key", "x-request-id", "x-deadline-ms", "x-workspace", "x-outcome", "x-shed",
		"content-length", "expect", "host":
		return true
	default:
		return false
	}
}
