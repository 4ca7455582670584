//go:build review

package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// emptyOrderRepeated sends orders without a body that carry X-Idempotency-Key. A
// back end runs one of them and resets the connection in place of the answer.
func emptyOrderRepeated(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 5, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	var lose atomic.Int32
	var backends []*backend
	for i := range 3 {
		b, err := newBackend(f, i, "orders")
		if err != nil {
			return false, err
		}
		defer b.stop()
		b.handle = func(b *backend, c net.Conn, r *http.Request, body []byte) bool {
			b.ran(r, body)
			time.Sleep(b.work)
			if trouble && lose.Add(1)%20 == 0 { // 5 in 100 answers are lost
				rec.log("back end %s loses the answer to %s: connection reset", b.id, r.Header.Get("Tarragongauge-Request-Id"))
				c.(*net.TCPConn).SetLinger(0)
				return false
			}
			return b.answer(c, r, 200, "done")
		}
		backends = append(backends, b)
	}
	doc := document(1, map[string]any{"r-orders": route("/orders/", "unsafe", "orders")}, map[string]any{"orders": service()})
	if err := f.putConfig(doc, 15*time.Second); err != nil {
		return false, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 2*time.Second)
	served := 0
	for i := range 200 {
		c, err := dial(rec, f.frontAddr(i%len(f.entries)))
		if err != nil {
			return false, err
		}
		q := &request{method: "POST", host: "shop.example", path: "/orders/7", key: tenantKey, headers: []string{"X-Idempotency-Key: " + newID()}}
		if res := c.do(q); res.code == 200 {
			served++
		}
		c.c.Close()
		time.Sleep(20 * time.Millisecond)
	}
	rec.log("%d of 200 orders were answered with 200", served)
	runs := map[string]int{}
	for _, b := range backends {
		for _, r := range b.runsSince(rec.start) {
			runs[r.id]++
		}
	}
	broken := false
	for id, n := range runs {
		if n > 1 {
			rec.log("TWICE: request %s ran %d times", id, n)
			broken = true
		}
	}
	return broken, nil
}
