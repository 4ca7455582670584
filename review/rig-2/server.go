//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in for a back end of the users. It runs requests, counts its
// runs, and registers itself by heartbeats.
type backend struct {
	f       *fleet
	id      string
	service string
	zone    string
	born    int64
	slots   int
	addr    string
	l       net.Listener
	srv     *http.Server
	work    time.Duration
	// behave may take over the answer to a request that has run. It returns true if it
	// has done so.
	behave func(w http.ResponseWriter, r *http.Request, body []byte) bool

	sequence atomic.Int64
	draining atomic.Bool
	inWork   atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once
	mu       sync.Mutex
	runs     []run
	// at is the control host that took the last heartbeat.
	at int
}

// run is one run of a request at a back end.
type run struct {
	id, method, path, tenant, expect string
	at                               time.Time
	backend                          string
	body                             string
}

// signature is what a back end sends as Tarragongauge-Response-Signature.
func signature(backend, id string) string { return backend + "." + id }

// startBackend starts a back end and its heartbeats. An empty addr takes a free port.
func (f *fleet) startBackend(id, service, zone, addr string, slots int, work time.Duration) (*backend, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	b := &backend{f: f, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, addr: l.Addr().String(), l: l, work: work, stop: make(chan struct{})}
	b.srv = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	f.tasks.Go(func() { b.srv.Serve(l) })
	f.tasks.Go(b.beat)
	return b, nil
}

// close ends the back end without a word.
func (b *backend) close() {
	b.stopOnce.Do(func() { close(b.stop) })
	b.srv.Close()
}

func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run{}, b.runs...)
}

// heartbeat returns the body of a heartbeat.
func (b *backend) heartbeat() []byte {
	state := "ready"
	if b.draining.Load() {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"address": b.addr, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "sequence": b.sequence.Add(1), "cold_remaining_ms": 0},
	})
	return data
}

// sendBeat sends a heartbeat until it is acknowledged. It returns the control host that did.
func (b *backend) sendBeat() (*machine, bool) {
	for try := range 2 * len(b.f.controls) {
		m := b.f.controls[(b.at+try)%len(b.f.controls)]
		status, _, err := b.f.callControl(m, http.MethodPut, "/api/instances/"+b.id, b.heartbeat())
		if err == nil && status/100 == 2 {
			b.at = (b.at + try) % len(b.f.controls)
			return m, true
		}
		select {
		case <-b.stop:
			return nil, false
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil, false
}

func (b *backend) beat() {
	for {
		b.sendBeat()
		select {
		case <-b.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// reject answers a request that does not run.
func reject(w http.ResponseWriter, id string, status int) {
	w.Header().Set("Tarragongauge-Request-Id", id)
	w.Header().Set("Tarragongauge-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler as the page describes a back end. One that leaves
// says so in all its answers (letter 6).
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.draining.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" && r.Header.Get("Tarragongauge-Request-Id") == "" {
		w.Header().Set("Tarragongauge-Instance-Id", b.id)
		if b.draining.Load() {
			w.WriteHeader(503)
		}
		return
	}
	id := r.Header.Get("Tarragongauge-Request-Id")
	if expect := r.Header.Get("Tarragongauge-Expect-Instance"); expect != "" && expect != b.id {
		reject(w, id, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		reject(w, id, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.inWork.Add(1) > int64(b.slots) {
		b.inWork.Add(-1)
		reject(w, id, http.StatusServiceUnavailable)
		return
	}
	defer b.inWork.Add(-1)
	b.mu.Lock()
	b.runs = append(b.runs, run{id: id, method: r.Method, path: r.RequestURI, tenant: r.Header.Get("Tarragongauge-Tenant-Name"), expect: r.Header.Get("Tarragongauge-Expect-Instance"), at: time.Now(), backend: b.id, body: string(body)})
	b.mu.Unlock()
	b.f.rec.printf("back end %s (%s) runs request %s: %s %s, from connection %s", b.id, b.service, id, r.Method, r.RequestURI, r.RemoteAddr)
	time.Sleep(b.work)
	if b.behave != nil && b.behave(w, r, body) {
		return
	}
	answer := fmt.Appendf(nil, "answer of %s to %s\n", b.id, id)
	w.Header().Set("Tarragongauge-Request-Id", id)
	w.Header().Set("Tarragongauge-Response-Signature", signature(b.id, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if r.Method == http.MethodHead {
		return
	}
	io.Copy(w, bytes.NewReader(answer))
}
