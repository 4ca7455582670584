//go:build review

package main

import (
	"time"
)

// encodedSlash adds a route whose prefix begins the decoded form of a request's path,
// but not the path that the client sends.
func encodedSlash(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 5, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	var others []*backend
	for i := range 6 {
		name := []string{"orders", "returns"}[i%2]
		b, err := newBackend(f, i, name)
		if err != nil {
			return false, err
		}
		defer b.stop()
		if name == "returns" {
			others = append(others, b)
		}
	}
	services := map[string]any{"orders": service(), "returns": service()}
	routes := map[string]any{"r-orders": route("/orders/", "unsafe", "orders"), "r-back": route("/back/", "unsafe", "returns")}
	if err := f.putConfig(document(1, routes, services), 15*time.Second); err != nil {
		return false, err
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 2*time.Second)
	send := func() {
		for i := range 15 {
			once(rec, f.frontAddr(i%len(f.entries)), &request{method: "POST", host: "shop.example", path: "/orders/returns%2F17", key: tenantKey, body: "one tray"})
			time.Sleep(20 * time.Millisecond)
		}
	}
	send()
	if trouble {
		routes["r-returns"] = route("/orders/returns/", "unsafe", "returns")
	}
	if err := f.putConfig(document(2, routes, services), 4*time.Second); err != nil {
		return false, err
	}
	time.Sleep(configApply + 500*time.Millisecond)
	send()
	broken := false
	for _, b := range others {
		for _, r := range b.runsSince(rec.start) {
			rec.log("ROUTE: request %s for %s was run by service %s", r.id, r.path, b.service)
			broken = true
		}
	}
	return broken, nil
}
