//go:build review

package main

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Size and duration of the answers in the revoke case.
const (
	streamParts    = 60
	streamPartSize = 4 << 10
	streamTime     = 3 * time.Second
)

// files is the configuration of the revoke case, with the given keys.
func files(version string, keys ...string) config {
	c := orders(version)
	c.Routes["r-files"] = route{Host: "shop.example", PathPrefix: "/files/", Type: "safe", TimeoutMs: 8000, Latency: 2500, Priority: 2, Service: "orderbook", Attempts: 2}
	c.Tenants = map[string]tenant{"traders": {APIKeys: keys, Priority: 1}}
	return c
}

// streamAnswer sends a long answer of known length in parts.
func streamAnswer(b *backend, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Tarragongauge-Request-Id")
	w.Header().Set("Tarragongauge-Request-Id", id)
	w.Header().Set("Tarragongauge-Response-Signature", signature(b.id, id))
	w.Header().Set("Content-Length", strconv.Itoa(streamParts*streamPartSize))
	part := bytes.Repeat([]byte("x"), streamPartSize)
	for i := range streamParts {
		if _, err := w.Write(part); err != nil {
			b.f.rec.printf("back end %s: the entry host broke off the answer to %s after %d of %d parts: %v", b.id, id, i, streamParts, err)
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(streamTime / streamParts)
	}
}

// revoke checks LOST beside a configuration: a key is taken away while answers to
// requests that were sent with it are on their way.
func revoke(f *fleet, trouble bool) (bool, error) {
	backends, err := setUp(f, files("r7", keptKey, withdrawnKey), 6, 3, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	for _, b := range backends {
		defer b.close()
		b.behave = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			streamAnswer(b, w, r)
			return true
		}
	}
	var mu sync.Mutex
	whole, cut := map[string]int{}, map[string]int{}
	var wg sync.WaitGroup
	get := func(m *machine, key string) {
		c, err := f.dial(m)
		if err != nil {
			return
		}
		defer c.conn.Close()
		began := time.Now()
		q := request{method: http.MethodGet, host: "shop.example", path: "/files/" + newID(), key: key, id: newID(), deadline: 15 * time.Second}
		a := c.do(q)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case a.err != nil:
			cut[key]++
			f.rec.printf("request %s has an answer of %d of %d bytes after %s: %v", q.id, len(a.body), streamParts*streamPartSize, time.Since(began), a.err)
		case a.status == 200 && len(a.body) == streamParts*streamPartSize:
			whole[key]++
		}
	}
	round := func() {
		for i := range 4 {
			wg.Go(func() { get(f.entries[i%2], keptKey) })
			wg.Go(func() { get(f.entries[i%2], withdrawnKey) })
			time.Sleep(100 * time.Millisecond)
		}
	}
	round()
	wg.Wait()
	if whole[keptKey] != 4 || whole[withdrawnKey] != 4 {
		return false, errors.New("answers were not whole before the change")
	}
	round()
	if trouble {
		f.rec.printf("the operator takes away key %s", withdrawnKey)
		if err := f.putConfig(files("r8", keptKey), 5*time.Second); err != nil {
			return false, err
		}
	}
	wg.Wait()
	f.rec.printf("whole answers: %v, cut ones: %v", whole, cut)
	return cut[withdrawnKey] > 0, nil
}
