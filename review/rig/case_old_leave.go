//go:build review

package main

import (
	"sync"
	"time"
)

// oldLeave lets a back end start again under its id, announce itself to another
// control host of its zone than before, and leave when that control host has just
// been killed.
func oldLeave(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 5, 4)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	// Control hosts 0 and 3 are in the zone of back ends 0 and 3.
	const former, present = 0, 3
	var backends []*backend
	for i := range 6 {
		b, err := newBackend(f, i, "stock")
		if err != nil {
			return false, err
		}
		defer func() { backends[i].stop() }()
		b.work = 200 * time.Millisecond
		backends = append(backends, b)
	}
	doc := document(1, map[string]any{"r-stock": route("/stock/", "safe", "stock")}, map[string]any{"stock": service()})
	if err := f.putConfig(doc, 15*time.Second); err != nil {
		return false, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)

	first := backends[0]
	rec.log("back end %s announces itself at %s and ends", first.id, *first.endpoint.Load())
	first.stop()
	time.Sleep(3 * time.Second)
	second, err := startBackend(f, 0, "stock", first.id, f.controlAddr(present))
	if err != nil {
		return false, err
	}
	second.work = first.work
	backends[0] = second
	rec.log("back end %s starts again under its id, born %d, before %d; it announces itself at %s", second.id, second.born, first.born, f.controlAddr(present))
	time.Sleep(stableWindow + 2*time.Second)
	if trouble {
		f.controls[present].kill()
		rec.log("platform: control process %s was killed", f.controls[present].name)
	}
	at, ackedAt := second.leave()
	if at == "" {
		rec.log("no control host acknowledged that the back end leaves")
		return false, nil
	}
	rec.log("back end %s: %s acknowledged that it leaves", second.id, at)
	if trouble {
		time.Sleep(time.Second)
		if err := f.controls[present].start(); err != nil {
			return false, err
		}
		rec.log("platform: control process %s was started again", f.controls[present].name)
	}
	// Machines are in touch again stableWindow after the last event at the core.
	time.Sleep(stableWindow + time.Second)
	rec.log("machines are in touch; requests begin")
	inTouch := time.Now()
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Add(1)
		group.Go(func() {
			defer clients.Done()
			for i := n; time.Since(inTouch) < 5*time.Second; i++ {
				once(rec, f.frontAddr(i%len(f.entries)), &request{method: "GET", host: "shop.example", path: "/stock/1", key: tenantKey})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	broken := false
	for _, r := range second.runsSince(inTouch) {
		if r.at.Sub(ackedAt) > drainTime {
			rec.log("DRAIN: request %s reached back end %s %.1f s after its leave was acknowledged", r.id, second.id, r.at.Sub(ackedAt).Seconds())
			broken = true
		}
	}
	return broken, nil
}
