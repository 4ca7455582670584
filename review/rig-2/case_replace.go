//go:build review

package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

const (
	// successorAfter is how long after a machine is gone its successor starts.
	successorAfter = time.Second
	// catchUpTime is catch_up_s, after which a successor counts and the machine that
	// it replaces does not.
	catchUpTime = 4 * time.Second
	// recoveryTime is recovery_s.
	recoveryTime = 15 * time.Second
)

// replaceCore checks CONFIG and LOST: a control host is replaced by an empty one, and
// once that has had catch_up_s, two control hosts lose their disks, as many as
// fault_tolerance allows.
func replaceCore(f *fleet, trouble bool) (bool, error) {
	successor := f.controls[5]
	f.controls = f.controls[:5]
	backends, err := setUp(f, orders("r7"), 3, 3, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	for _, b := range backends {
		defer b.close()
	}
	if trouble {
		gone := f.controls[2]
		gone.kill()
		f.rec.printf("%s is gone for good", gone.name)
		time.Sleep(successorAfter)
		if err := f.writeSettings(successor, false); err != nil {
			return false, err
		}
		if err := f.start(successor); err != nil {
			return false, err
		}
		f.controls[2] = successor
		f.rec.printf("%s starts in its place, at another address with an empty disk", successor.name)
		time.Sleep(catchUpTime + 1500*time.Millisecond)
	}
	if err := f.putConfig(orders("r8"), 4*time.Second); err != nil {
		return false, err
	}
	for _, m := range f.controls[:2] {
		m.kill()
		if err := os.RemoveAll(filepath.Join(m.dir, "data")); err != nil {
			return false, err
		}
		if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
			return false, err
		}
		f.rec.printf("%s loses its disk", m.name)
	}
	time.Sleep(time.Second)
	for _, m := range f.controls[:2] {
		if err := f.writeSettings(m, false); err != nil {
			return false, err
		}
		if err := f.start(m); err != nil {
			return false, err
		}
		f.rec.printf("%s is back with an empty disk", m.name)
	}
	time.Sleep(recoveryTime)
	for end := time.Now().Add(2 * stableWindow); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		var got struct{ Version string }
		status, data, m, err := f.call("GET", "/api/config", nil, 2*time.Second)
		if err != nil {
			f.rec.printf("the operator reads the configuration: no answer (%v)", err)
			continue
		}
		err = json.Unmarshal(data, &got)
		f.rec.printf("the operator reads the configuration from %s: status %d, version %s", m.name, status, got.Version)
		if err == nil && got.Version == "r8" {
			return false, nil
		}
	}
	if err := f.putConfig(orders("r9"), 10*time.Second); err != nil {
		f.rec.printf("a further configuration is not acknowledged either: %v", err)
	}
	return true, nil
}
