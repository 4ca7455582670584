//go:build review

package main

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// linkBytes is what a link of 1,000 Mbit/s carries in a second.
	linkBytes = 125_000_000
	sendPause = 5 * time.Millisecond
	// slowFactor is the greatest x of srv_slow in the site file.
	slowFactor = 12
)

// sendEndless sends bytes without end, as fast as a machine's link, until the caller
// closes the connection.
func sendEndless(b *backend, c net.Conn, path string) {
	began := time.Now()
	part := bytes.Repeat([]byte("x"), linkBytes/int(time.Second/sendPause))
	sent := 0
	for {
		n, err := c.Write(part)
		if sent += n; err != nil {
			b.f.rec.log("back end %s: %s sent %d MB in %.2f s until the caller closed", b.id, path, sent>>20, time.Since(began).Seconds())
			return
		}
		if ahead := time.Duration(sent)*time.Second/linkBytes - time.Since(began); ahead > 0 {
			time.Sleep(ahead)
		}
	}
}

// endlessHealth gives each service one of six back ends that is in trouble: it takes
// twelve times as long as the others, and answers health checks with a body without end.
func endlessHealth(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 5, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	names := []string{"orders", "stock", "guides"}
	routes, services := map[string]any{}, map[string]any{}
	for _, name := range names {
		routes["r-"+name] = route("/"+name+"/", "safe", name)
		services[name] = service()
	}
	for i := range 18 {
		b, err := newBackend(f, i, names[i%3])
		if err != nil {
			return false, err
		}
		defer b.stop()
		b.work = 50 * time.Millisecond
		if i < 3 && trouble {
			b.endless = true
			b.handle = func(b *backend, c net.Conn, r *http.Request, body []byte) bool {
				b.ran(r, body)
				time.Sleep(slowFactor * b.work)
				return b.answer(c, r, 200, "body of "+r.Header.Get("Tarragongauge-Request-Id"))
			}
		}
	}
	if err := f.putConfig(document(1, routes, services), 15*time.Second); err != nil {
		return false, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	limit := limitMemory(f)
	end := time.Now().Add(70 * time.Second)
	var clients sync.WaitGroup
	for n := range 9 {
		clients.Add(1)
		group.Go(func() {
			defer clients.Done()
			for i := n; time.Now().Before(end) && limit.faulty() < faultMachines; i++ {
				once(rec, f.frontAddr(i%len(f.entries)), &request{method: "GET", host: "shop.example", path: "/" + names[n%3] + "/1", key: tenantKey})
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	close(limit.stop)
	limit.wg.Wait()
	for i, p := range f.controls {
		rec.log("%s: ended %d times over its memory, used up to %d MB", p.name, limit.ends[i].Load(), limit.peak[i].Load()>>20)
	}
	n := limit.faulty()
	if n >= faultMachines {
		rec.log("Fault: on %d of %d core machines, processes ended by themselves %d times or more", n, len(f.controls), faultEnds)
	}
	return n >= faultMachines, nil
}
