//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	fileBytes = 200000
	fileParts = 17
	// filePause makes an answer last 2.2 s, well within the route's timeout of 3 s.
	filePause = 130 * time.Millisecond
	secondKey = "fqasnmgkcuyj8pjbvk9m"
)

// sendFile answers with a long body in parts.
func sendFile(b *backend, c net.Conn, r *http.Request, body []byte) bool {
	b.ran(r, body)
	id := r.Header.Get("Tarragongauge-Request-Id")
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTarragongauge-Request-Id: %s\r\nTarragongauge-Response-Signature: %s.1\r\nContent-Length: %d\r\n\r\n", id, b.id, fileBytes)
	part := bytes.Repeat([]byte("x"), fileBytes/fileParts+1)
	for left := fileBytes; left > 0; left -= len(part) {
		part = part[:min(left, len(part))]
		if _, err := c.Write(part); err != nil {
			b.f.rec.log("back end %s: the answer to %s is cut by its receiver: %v", b.id, id, err)
			return false
		}
		time.Sleep(filePause)
	}
	b.f.rec.log("back end %s has sent the whole answer to %s", b.id, id)
	return true
}

// revokeCutsAnswers takes a key away from a tenant while answers to requests with
// this key are on their way.
func revokeCutsAnswers(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 5, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	for i := range 6 {
		b, err := newBackend(f, i, "files")
		if err != nil {
			return false, err
		}
		defer b.stop()
		b.handle = sendFile
	}
	config := func(version int, keys ...string) map[string]any {
		doc := document(version, map[string]any{"r-files": route("/files/", "safe", "files")}, map[string]any{"files": service()})
		doc["tenants"].(map[string]any)["tenant-1"].(map[string]any)["api_keys"] = keys
		return doc
	}
	if err := f.putConfig(config(1, tenantKey, secondKey), 15*time.Second); err != nil {
		return false, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 2*time.Second)
	cut := 0
	round := func(name string, between func() error) error {
		var wg sync.WaitGroup
		var mu sync.Mutex
		n := 0
		for i := range 9 {
			wg.Add(1)
			group.Go(func() {
				defer wg.Done()
				q := &request{method: "GET", host: "shop.example", path: "/files/1", key: tenantKey}
				began := time.Now()
				r := once(rec, f.frontAddr(i%len(f.entries)), q)
				if r.err == nil || r.err == io.EOF {
					return
				}
				used := time.Since(began)
				rec.log("%s: the connection of request %s ends after %.2f s with %d of %d bytes", name, r.id, used.Seconds(), len(r.body), fileBytes)
				if used < 7*routeTimeout/10 {
					mu.Lock()
					n++
					mu.Unlock()
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		err := between()
		wg.Wait()
		rec.log("%s: %d of 9 answers were cut in the first seven tenths of their time", name, n)
		cut = n
		return err
	}
	for range 3 {
		if err := round("no change", func() error { return nil }); err != nil || cut > 0 {
			return false, fmt.Errorf("%d answers were cut without a change: %w", cut, err)
		}
	}
	err = round("configuration", func() error {
		if trouble {
			return f.putConfig(config(2, secondKey), 2*time.Second)
		}
		return f.putConfig(config(2, tenantKey, secondKey), 2*time.Second)
	})
	if cut > 0 {
		rec.log("LOST: %d answers were cut beside the configuration, none at other times", cut)
	}
	return cut > 0, err
}
