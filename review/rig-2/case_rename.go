//go:build review

package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	renameOrders = 12
	renameWork   = 3 * time.Second
	// deniedSlack and deniedShare are the numbers of the rule DENIED.
	deniedSlack = 5
	deniedShare = 1.0 / 500
)

// renamed is the configuration of the rename case: one tenant of the given name holds
// both keys.
func renamed(version, name string) config {
	c := orders(version)
	r := c.Routes["r-order"]
	r.TimeoutMs = 8000
	c.Routes["r-order"] = r
	c.Tenants = map[string]tenant{name: {APIKeys: []string{keptKey, withdrawnKey}, Priority: 1}}
	return c
}

// renameTenant checks DENIED: a tenant gets another name and keeps its keys while back
// ends run its orders.
func renameTenant(f *fleet, trouble bool) (bool, error) {
	backends, err := setUp(f, renamed("r7", "traders"), 6, 3, renameWork)
	if err != nil {
		return false, err
	}
	for _, b := range backends {
		defer b.close()
		b.behave = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
			f.rec.printf("back end %s has run request %s to its end for tenant %s", b.id, r.Header.Get("Tarragongauge-Request-Id"), r.Header.Get("Tarragongauge-Tenant-Name"))
			return false
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served, denied := 0, 0, 0
	round := func() {
		for i := range renameOrders {
			wg.Go(func() {
				c, err := f.dial(f.entries[i%len(f.entries)])
				if err != nil {
					return
				}
				defer c.conn.Close()
				q := order(nil)
				q.body, q.deadline = "tray", 15*time.Second
				a := c.do(q)
				mu.Lock()
				defer mu.Unlock()
				sent++
				switch a.status {
				case 200:
					served++
				case 400, 401, 403, 404:
					denied++
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
	}
	round()
	wg.Wait()
	if served != renameOrders {
		return false, errors.New("orders failed before the change")
	}
	round()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		f.rec.printf("the operator gives the tenant another name")
		if err := f.putConfig(renamed("r8", "market-traders"), 5*time.Second); err != nil {
			return false, err
		}
	}
	wg.Wait()
	round()
	wg.Wait()
	time.Sleep(renameWork)
	f.rec.printf("%d orders sent, %d answered with 200, %d with 401, 403 or 404", sent, served, denied)
	return float64(denied) > deniedSlack+deniedShare*float64(sent), nil
}
