//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	foreignBackEnds = 6
	// foreignNamed is how many back ends another writer names.
	foreignNamed = 3
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
	// quietTime is how long after the last acknowledgement no client sends a request.
	quietTime     = 2500 * time.Millisecond
	foreignOrders = 140
	// foreignClients is more than the slots of the back ends that stay.
	foreignClients = 14
	foreignWork    = 100 * time.Millisecond
)

// foreign checks DRAIN: another writer sends a heartbeat for some back ends, with a
// service that no configuration names, and then these leave.
func foreign(f *fleet, trouble bool) (bool, error) {
	backends, err := setUp(f, orders("r7"), foreignBackEnds, 3, foreignWork)
	if err != nil {
		return false, err
	}
	for _, b := range backends {
		defer b.close()
	}
	if got := f.sendOrders(foreignOrders); got < foreignOrders*9/10 {
		return false, errors.New("orders failed before the disruption")
	}
	leaving := backends[:foreignNamed]
	for i, b := range leaving {
		if !trouble {
			continue
		}
		m := f.controls[b.at]
		body := fmt.Appendf(nil, `{"address":"127.0.0.1:%d","born":%d,"info":{"service":"ledger","version":"v1","zone":%q,"slots":3},"status":{"state":"ready","sequence":1,"cold_remaining_ms":0}}`, 9+i, time.Now().UnixMilli(), b.zone)
		status, _, err := f.callControl(m, http.MethodPut, "/api/instances/"+b.id, body)
		f.rec.printf("another writer sends to %s a heartbeat for %s with the service \"ledger\": status %d, %v", m.name, b.id, status, err)
	}
	time.Sleep(2 * heartbeatInterval)
	acked := map[*backend]time.Time{}
	for _, b := range leaving {
		b.draining.Store(true)
		m, ok := b.sendBeat()
		if !ok {
			return false, fmt.Errorf("the leave of %s was not acknowledged", b.id)
		}
		acked[b] = time.Now()
		f.rec.printf("back end %s leaves; acknowledged by %s", b.id, m.name)
	}
	time.Sleep(quietTime)
	f.sendOrders(foreignOrders)
	late := 0
	for _, b := range leaving {
		for _, r := range b.allRuns() {
			if after := r.at.Sub(acked[b]); after > drainTime {
				late++
				f.rec.printf("request %s reached back end %s %s after its leave was acknowledged", r.id, b.id, after)
			}
		}
	}
	f.rec.printf("%d requests reached back ends later than drain_ms after the acknowledgement of their leave", late)
	return late > 0, nil
}

// sendOrders sends orders from foreignClients clients at once, each one after the other,
// and returns how many were answered with 200.
func (f *fleet) sendOrders(n int) int {
	var served atomic.Int64
	var wg sync.WaitGroup
	for i := range foreignClients {
		wg.Go(func() {
			for range n / foreignClients {
				c, err := f.dial(f.entries[i%len(f.entries)])
				if err != nil {
					continue
				}
				q := order(nil)
				q.body = "tray"
				if a := c.do(q); a.status == http.StatusOK {
					served.Add(1)
				}
				c.conn.Close()
			}
		})
	}
	wg.Wait()
	return int(served.Load())
}
