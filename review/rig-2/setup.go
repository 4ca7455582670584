//go:build review

package main

import (
	"net/http"
	"time"
)

// Keys of the tenant. The second one is withdrawn in the revoke case.
const (
	keptKey      = "ctnfzs989anu6wsjnban"
	withdrawnKey = "fqasnmgkcuyj8pjbvk9m"
)

// orders is the configuration of a case with one unsafe and one safe route.
func orders(version string) config {
	return config{
		Version: version,
		Routes: map[string]route{
			"r-order": {Host: "shop.example", PathPrefix: "/order/", Type: "unsafe", TimeoutMs: 3000, Latency: 1000, Priority: 1, Service: "orderbook", Attempts: 2},
			"r-stock": {Host: "shop.example", PathPrefix: "/stock/", Type: "safe", TimeoutMs: 2500, Latency: 1000, Priority: 2, Service: "orderbook", Attempts: 2},
		},
		Services: map[string]service{"orderbook": {HealthPath: "/health", MaxConnections: 360, Protocol: "h1"}},
		Limits:   standardLimits,
		Tenants:  map[string]tenant{"traders": {APIKeys: []string{keptKey}, Priority: 1}},
	}
}

// setUp sends the first configuration, starts back ends and waits until they serve.
func setUp(f *fleet, c config, n, slots int, work time.Duration) ([]*backend, error) {
	if err := f.putConfig(c, 20*time.Second); err != nil {
		return nil, err
	}
	var list []*backend
	for i := range n {
		b, err := f.startBackend("i-"+newID()[:8], "orderbook", zones[i%len(zones)], "", slots, work)
		if err != nil {
			return nil, err
		}
		list = append(list, b)
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2*stableWindow + configApply)
	return list, nil
}

// order is an order of a client without a body.
func order(header map[string]string) request {
	return request{method: http.MethodPost, host: "shop.example", path: "/order/" + newID(), key: keptKey, id: newID(), deadline: 6 * time.Second, header: header}
}

// countRuns returns how often each request ran.
func countRuns(backends []*backend) map[string]int {
	runs := map[string]int{}
	for _, b := range backends {
		for _, r := range b.allRuns() {
			runs[r.id]++
		}
	}
	return runs
}
