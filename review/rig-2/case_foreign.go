//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	foreignBackEnds = 10
	// foreignNamed is how many back ends another writer names in a heartbeat.
	foreignNamed = 4
	foreignWork  = 100 * time.Millisecond
	// foreignRate is in requests a second: 0.85 of what ten back ends with three slots
	// can run, and 1.4 times what six can.
	foreignRate = 255
	// foreignWait is longer than the time after which the system forgets a back end
	// that has sent no heartbeat.
	foreignWait  = 24 * time.Second
	floorShare   = 0.7
	floorWindow  = 2 * time.Second
	loadDuration = 8 * time.Second
)

// sentRequest is a request of the load with its result.
type sentRequest struct {
	at     time.Time
	served bool
}

// foreign checks FLOOR: another writer sends one heartbeat for each of some back ends,
// with a service that no configuration names.
func foreign(f *fleet, trouble bool) (bool, error) {
	backends, err := setUp(f, orders("r7"), foreignBackEnds, 3, foreignWork)
	if err != nil {
		return false, err
	}
	for _, b := range backends {
		defer b.close()
	}
	if trouble {
		for _, b := range backends[:foreignNamed] {
			m := f.controls[b.at]
			body := fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":"ledger","version":"v1","zone":%q,"slots":3},"status":{"state":"ready","sequence":1000000,"cold_remaining_ms":0}}`, b.addr, b.born, b.zone)
			status, _, err := f.callControl(m, http.MethodPut, "/api/instances/"+b.id, body)
			f.rec.printf("another writer sends to %s a heartbeat for %s with the service \"ledger\": status %d, %v", m.name, b.id, status, err)
		}
	}
	time.Sleep(foreignWait)
	var mu sync.Mutex
	var sent []sentRequest
	var wg sync.WaitGroup
	began := time.Now()
	tick := time.NewTicker(time.Second / foreignRate)
	defer tick.Stop()
	for i := 0; time.Since(began) < loadDuration; i++ {
		<-tick.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			at := time.Now()
			c, err := f.dial(f.entries[i%len(f.entries)])
			if err != nil {
				return
			}
			defer c.conn.Close()
			q := order(nil)
			q.body = "tray"
			a := c.do(q)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, sentRequest{at: at, served: a.status == http.StatusOK})
		}()
	}
	wg.Wait()
	return f.checkFloor(began, sent, backends), nil
}

// checkFloor applies the rule to windows of floorWindow and returns whether it was broken.
func (f *fleet) checkFloor(began time.Time, sent []sentRequest, backends []*backend) bool {
	broken := false
	for from := began.Add(time.Second); from.Add(floorWindow).Before(began.Add(loadDuration)); from = from.Add(time.Second) {
		in := func(at time.Time) bool { return !at.Before(from) && at.Before(from.Add(floorWindow)) }
		all, unserved, used := 0, 0, 0
		for _, s := range sent {
			if in(s.at) {
				all++
				if !s.served {
					unserved++
				}
			}
		}
		for _, b := range backends {
			for _, r := range b.allRuns() {
				if in(r.at) {
					used++
					break
				}
			}
		}
		share := float64(unserved) / float64(max(1, all))
		f.rec.printf("2 s from %s: %d of %d ready back ends get requests, %.2f of %d requests not served", from.Sub(began), used, len(backends), share, all)
		if used > 0 && float64(used) < floorShare*float64(len(backends)) && share > 0.1 && share < 0.5 {
			broken = true
		}
	}
	return broken
}
