package entry

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
)

// matchRoute sets the route of the request and picks its service. It refuses a
// path that a target could interpret as another path.
func (c *call) matchRoute() *ErrRefused {
	path := c.r.URL.Path
	if !isCanonicalPath(path) {
		return refuse(http.StatusBadRequest, CodeBadPath, "the path has empty, \".\" or \"..\" segments or control characters; send it in its shortest form")
	}
	c.awaitRoutes()
	if !hasRoutes(c.cfg) {
		return noRoutes()
	}
	route, ok := c.cfg.MatchHost(c.r.Method, hostName(c.r.Host), path)
	if !ok {
		return refuse(http.StatusNotFound, CodeNoRoute, "no route takes %s %q; check the method and the path", c.r.Method, path)
	}
	route.Service = route.Pick(rand.Float64())
	c.route = route
	return nil
}

// hostName returns the host of a Host header in lower case and without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// isCanonicalPath reports whether path has no control characters or backslashes
// and no segments that are empty, "." or "..", apart from a slash at the end.
func isCanonicalPath(path string) bool {
	if strings.ContainsFunc(path, func(r rune) bool { return r < ' ' || r == 0x7f || r == '\\' }) {
		return false
	}
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, seg := range segments {
		if seg == "." || seg == ".." || (seg == "" && i < len(segments)-1) {
			return false
		}
	}
	return true
}
