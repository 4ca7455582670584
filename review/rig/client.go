//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	method, host, path, key, body string
	headers                       []string
	deadline                      time.Duration
	id                            string
}

// result is what the client saw.
type result struct {
	id, status, signature, body string
	code                        int
	err                         error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (q *request) bytes() string {
	if q.id == "" {
		q.id = newID()
	}
	if q.deadline == 0 {
		q.deadline = 5 * time.Second
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nTarragongauge-Request-Id: %s\r\nTarragongauge-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", q.key)
	}
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method == "POST" || q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// client is one connection of a client that sends one request after another.
type client struct {
	rec  *record
	addr string
	c    net.Conn
	br   *bufio.Reader
}

func dial(rec *record, addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{rec: rec, addr: addr, c: c, br: bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer.
func (c *client) do(q *request) result {
	text := q.bytes()
	c.rec.log("client: sends request %s to %s: %s %s", q.id, c.addr, q.method, q.path)
	c.c.SetDeadline(time.Now().Add(q.deadline + time.Second))
	out := result{id: q.id}
	if _, out.err = io.WriteString(c.c, text); out.err == nil {
		out = c.read(q)
	}
	if out.err != nil {
		c.rec.log("client: request %s gets no answer: %v", q.id, out.err)
		c.c.Close()
	} else {
		c.rec.log("client: request %s gets %d signature=%q", q.id, out.code, out.signature)
	}
	return out
}

func (c *client) read(q *request) result {
	out := result{id: q.id}
	res, err := http.ReadResponse(c.br, &http.Request{Method: q.method})
	if err != nil {
		out.err = err
		return out
	}
	data, err := io.ReadAll(res.Body)
	out.err, out.code, out.signature, out.body = err, res.StatusCode, res.Header.Get("Tarragongauge-Response-Signature"), string(data)
	if res.Close {
		c.c.Close()
	}
	return out
}

// once sends a request on a connection of its own.
func once(rec *record, addr string, q *request) result {
	c, err := dial(rec, addr)
	if err != nil {
		return result{err: err}
	}
	defer c.c.Close()
	return c.do(q)
}

// document returns a configuration with one host, the given routes and one tenant.
func document(version int, routes, services map[string]any) map[string]any {
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": map[string]any{"tenant-1": map[string]any{"api_keys": []string{"ctnfzs989anu6wsjnban"}, "priority": 1, "rate_per_s": 200, "burst": 200}},
	}
}

const tenantKey = "ctnfzs989anu6wsjnban"

func route(prefix, kind, service string) map[string]any {
	return map[string]any{"host": "shop.example", "path_prefix": prefix, "type": kind, "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 1, "service": service, "attempts": 2, "public": false}
}

func service() map[string]any {
	return map[string]any{"health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false}
}
