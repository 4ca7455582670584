//go:build review

package main

import (
	"errors"
	"time"
)

const prefixOrders = 10

// prefixes is the configuration of the prefix case. With returns it has a second
// route, whose prefix is longer.
func prefixes(version string, returns bool) config {
	c := orders(version)
	c.Routes = map[string]route{
		"r-order": {Host: "shop.example", PathPrefix: "/order/", Type: "unsafe", TimeoutMs: 3000, Latency: 1000, Priority: 1, Service: "orderbook", Attempts: 2},
	}
	c.Services["returns"] = c.Services["orderbook"]
	if returns {
		r := c.Routes["r-order"]
		r.PathPrefix, r.Service = "/order/returns/", "returns"
		c.Routes["r-returns"] = r
	}
	return c
}

// prefix checks ROUTE: a route is added, and orders are sent whose path, as sent, only
// the prefix of the earlier route begins.
func prefix(f *fleet, trouble bool) (bool, error) {
	backends, err := setUp(f, prefixes("r7", false), 3, 3, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	for i := range 3 {
		b, err := f.startBackend("i-"+newID()[:8], "returns", zones[i], "", 3, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	for _, b := range backends {
		defer b.close()
	}
	time.Sleep(stableWindow)
	if trouble {
		if err := f.putConfig(prefixes("r8", true), 5*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(configApply + stableWindow)
	served := 0
	for i := range prefixOrders {
		c, err := f.dial(f.entries[i%len(f.entries)])
		if err != nil {
			return false, err
		}
		q := order(nil)
		q.path, q.body = "/order/returns%2F"+newID(), "tray"
		if a := c.do(q); a.status == 200 {
			served++
		}
		c.conn.Close()
	}
	wrong := 0
	for _, b := range backends {
		if b.service == "returns" {
			wrong += len(b.allRuns())
		}
	}
	f.rec.printf("%d orders sent, %d answered with 200, %d run by the service \"returns\"", prefixOrders, served, wrong)
	if served < prefixOrders/2 {
		return false, errors.New("too few orders were answered")
	}
	return wrong > 0, nil
}
