//go:build review

package main

import (
	"sync"
	"time"
)

// leaveForgotten lets two back ends leave shortly after each other and kills all
// processes of control right after the second leave was acknowledged.
func leaveForgotten(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 5, 4)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	var backends []*backend
	for i := range 9 {
		b, err := newBackend(f, i, "stock")
		if err != nil {
			return false, err
		}
		defer b.stop()
		b.work = 300 * time.Millisecond
		backends = append(backends, b)
	}
	doc := document(1, map[string]any{"r-stock": route("/stock/", "safe", "stock")}, map[string]any{"stock": service()})
	if err := f.putConfig(doc, 15*time.Second); err != nil {
		return false, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 5*time.Second)
	load := func(until time.Time) {
		var clients sync.WaitGroup
		for n := range 12 {
			clients.Add(1)
			group.Go(func() {
				defer clients.Done()
				for i := n; time.Now().Before(until); i++ {
					once(rec, f.frontAddr(i%len(f.entries)), &request{method: "GET", host: "shop.example", path: "/stock/1", key: tenantKey})
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		clients.Wait()
	}
	load(time.Now().Add(2 * time.Second))
	// Three back ends leave within 0.2 s of each other.
	leaving := backends[:3]
	ackedAt := make([]time.Time, len(leaving))
	var leaves sync.WaitGroup
	for i, b := range leaving {
		leaves.Add(1)
		group.Go(func() {
			defer leaves.Done()
			addr, at := b.leave()
			if addr != "" {
				ackedAt[i] = at
				rec.log("back end %s: %s acknowledged that it leaves", b.id, addr)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	leaves.Wait()
	if trouble {
		for _, p := range f.controls {
			p.cmd.Process.Kill()
		}
		for _, p := range f.controls {
			p.kill()
		}
		rec.log("platform: all control processes were killed")
		time.Sleep(700 * time.Millisecond)
		for _, p := range f.controls {
			if err := p.start(); err != nil {
				return false, err
			}
		}
		rec.log("platform: all control processes were started again")
	}
	// Machines are in touch again stableWindow after the last event at the core.
	time.Sleep(stableWindow + time.Second)
	inTouch := time.Now()
	rec.log("machines are in touch; requests begin")
	load(inTouch.Add(5 * time.Second))
	broken := false
	for i, b := range leaving {
		if ackedAt[i].IsZero() {
			rec.log("back end %s: no control host acknowledged that it leaves", b.id)
			continue
		}
		for _, r := range b.runsSince(inTouch) {
			rec.log("DRAIN: request %s reached back end %s %.1f s after its leave was acknowledged", r.id, b.id, r.at.Sub(ackedAt[i]).Seconds())
			broken = true
		}
	}
	return broken, nil
}
