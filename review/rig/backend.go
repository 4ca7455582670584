//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in for a server of a service. It runs one request at a time on
// a connection, announces itself, and answers with its signature.
type backend struct {
	f       *fleet
	id      string
	service string
	zone    string
	addr    string
	born    int64
	seq     atomic.Int64
	l       net.Listener
	stopped chan struct{}
	once    sync.Once
	leaving atomic.Bool
	// endpoint is where heartbeats go.
	endpoint atomic.Pointer[string]
	beating  atomic.Bool
	// work is how long a request runs.
	work time.Duration
	// handle answers a request in place of the default, if set. It returns false to
	// close the connection.
	handle func(b *backend, c net.Conn, r *http.Request, body []byte) bool
	// endless is set if health checks are answered with bytes without end.
	endless bool

	mu   sync.Mutex
	runs []run
}

// run is one execution of a request.
type run struct {
	id, from, tenant, path, method, body string
	at                                   time.Time
}

func newBackend(f *fleet, i int, service string) (*backend, error) {
	return startBackend(f, i, service, fmt.Sprintf("i-%08x", rand.Uint32()), f.controlAddr(i%len(f.controls)))
}

// startBackend starts a back end under an id. Its first heartbeat goes to endpoint.
func startBackend(f *fleet, i int, service, id, endpoint string) (*backend, error) {
	b := &backend{
		f: f, id: id, service: service, zone: zones[i%len(zones)], addr: f.backendAddr(i),
		born: time.Now().UnixMilli(), stopped: make(chan struct{}), work: 20 * time.Millisecond,
	}
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return nil, err
	}
	b.l = l
	b.endpoint.Store(&endpoint)
	b.beating.Store(true)
	group.Go(func() { b.serve() })
	group.Go(func() { b.beatLoop() })
	return b, nil
}

func (b *backend) serve() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		group.Go(func() { b.serveConn(c) })
	}
}

func (b *backend) serveConn(c net.Conn) {
	defer c.Close()
	group.Go(func() { <-b.stopped; c.Close() })
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if want := r.Header.Get("Tarragongauge-Expect-Instance"); want != "" && want != b.id {
			io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nTarragongauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.URL.Path == "/health" && b.endless {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTarragongauge-Instance-Id: %s\r\n\r\n", b.id)
			sendEndless(b, c, r.URL.Path)
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTarragongauge-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id)
			continue
		}
		if b.handle != nil {
			if !b.handle(b, c, r, body) {
				return
			}
			continue
		}
		b.ran(r, body)
		time.Sleep(b.work)
		if !b.answer(c, r, 200, "body of "+r.Header.Get("Tarragongauge-Request-Id")) {
			return
		}
	}
}

// ran records that the back end began to work on a request.
func (b *backend) ran(r *http.Request, body []byte) {
	x := run{id: r.Header.Get("Tarragongauge-Request-Id"), from: r.RemoteAddr, tenant: r.Header.Get("Tarragongauge-Tenant-Name"), path: r.URL.RequestURI(), method: r.Method, body: string(body), at: time.Now()}
	b.mu.Lock()
	b.runs = append(b.runs, x)
	b.mu.Unlock()
	b.f.rec.log("back end %s (%s) runs request %s: %s %s tenant=%q", b.id, b.service, x.id, x.method, x.path, x.tenant)
}

func (b *backend) answer(c net.Conn, r *http.Request, status int, body string) bool {
	extra := ""
	if b.leaving.Load() {
		extra = "Server-Leaving: 1\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nTarragongauge-Request-Id: %s\r\nTarragongauge-Response-Signature: %s.%x\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.Header.Get("Tarragongauge-Request-Id"), b.id, rand.Uint32(), extra, len(body), body)
	return err == nil
}

func (b *backend) runsSince(t time.Time) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []run
	for _, r := range b.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

func (b *backend) beatBody(state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"address": b.addr, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": 3},
		"status": map[string]any{"state": state, "sequence": b.seq.Add(1), "cold_remaining_ms": 0},
	})
	return data
}

func (b *backend) beatLoop() {
	for {
		if b.beating.Load() {
			state := "ready"
			if b.leaving.Load() {
				state = "draining"
			}
			b.send("PUT", b.beatBody(state), false)
		}
		select {
		case <-b.stopped:
			return
		case <-time.After(beatInterval):
		}
	}
}

// send makes a call of the back end at its endpoint and, without an acknowledgement,
// at the other control hosts in turn. It returns the address that acknowledged it.
func (b *backend) send(method string, body []byte, logged bool) string {
	addrs := []string{*b.endpoint.Load()}
	for i := range b.f.controls {
		addrs = append(addrs, b.f.controlAddr(i))
	}
	for _, addr := range addrs {
		status, data, err := b.f.call(method, addr, "/api/instances/"+b.id, body)
		if logged {
			b.f.rec.log("back end %s: %s /api/instances/%s at %s -> %d %s %v", b.id, method, b.id, addr, status, strings.TrimSpace(string(data)), err)
		}
		if err != nil || status/100 != 2 {
			continue
		}
		var reply struct {
			Endpoint string `json:"heartbeat_endpoint"`
		}
		if json.Unmarshal(data, &reply) == nil && reply.Endpoint != "" {
			b.endpoint.Store(&reply.Endpoint)
		}
		return addr
	}
	return ""
}

// leave sends DELETE, after which the back end sends no heartbeats and serves on. It
// returns the address that acknowledged it and when.
func (b *backend) leave() (string, time.Time) {
	b.beating.Store(false)
	b.leaving.Store(true)
	at := b.send("DELETE", nil, true)
	return at, time.Now()
}

func (b *backend) stop() { b.once.Do(func() { close(b.stopped); b.l.Close() }) }
