//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"
)

// newID returns a request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// caller is a client's connection to an entry host.
type caller struct {
	f    *fleet
	m    *machine
	conn net.Conn
	br   *bufio.Reader
}

// dial opens a connection to an entry host.
func (f *fleet) dial(m *machine) (*caller, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, f.front), time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{f: f, m: m, conn: conn, br: bufio.NewReader(conn)}, nil
}

// answer is what a client got for a request.
type answer struct {
	status    int
	signature string
	id        string
	body      string
	close     bool
	err       error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, signature %q, body %q", a.status, a.signature, a.body)
}

// request is a request of a client.
type request struct {
	method, host, path, key string
	id                      string
	deadline                time.Duration
	header                  map[string]string
	body                    string
}

func (q request) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nTarragongauge-Request-Id: %s\r\nTarragongauge-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", q.key)
	}
	names := make([]string, 0, len(q.header))
	for name := range q.header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, q.header[name])
	}
	if q.method == http.MethodPost || q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// do sends a request and reads its answer.
func (c *caller) do(q request) answer {
	c.f.rec.printf("client sends request %s to %s: %s %s%s", q.id, c.m.name, q.method, q.host, q.path)
	c.conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	if _, err := io.WriteString(c.conn, q.encode()); err != nil {
		return c.note(q, answer{err: err})
	}
	return c.read(q)
}

// read reads the answer to a request.
func (c *caller) read(q request) answer {
	res, err := http.ReadResponse(c.br, &http.Request{Method: q.method})
	if err != nil {
		return c.note(q, answer{err: err})
	}
	body, err := io.ReadAll(res.Body)
	res.Body.Close()
	return c.note(q, answer{
		status: res.StatusCode, signature: res.Header.Get("Tarragongauge-Response-Signature"), id: res.Header.Get("Tarragongauge-Request-Id"),
		body: string(body), close: res.Close, err: err,
	})
}

func (c *caller) note(q request, a answer) answer {
	c.f.rec.printf("client gets for request %s: %s", q.id, a)
	return a
}
