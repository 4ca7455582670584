//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coreMemory is memory_mb of a core machine.
	coreMemory = 280 << 20
	// grownRoutes is the greatest count of big_config on the users' pages.
	grownRoutes = 1400
	changes     = 400
	// Three ends of a process on a tenth of the machines in use, two at least, are a
	// fault. The rig has seven machines.
	faultEnds     = 3
	faultMachines = 2
	restartDelay  = 500 * time.Millisecond
)

// memoryOf returns the resident memory of a process without the pages of its files.
func memoryOf(p *proc) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// memoryLimit stands in for the platform: it kills a control process that uses more
// than its memory and starts it again.
type memoryLimit struct {
	stop chan struct{}
	wg   sync.WaitGroup
	// ends counts, by process, how often that happened.
	ends []atomic.Int32
	// peak holds the greatest memory seen, by process.
	peak []atomic.Int64
}

// faulty returns the number of machines whose process ended faultEnds times or more.
func (m *memoryLimit) faulty() int {
	n := 0
	for i := range m.ends {
		if m.ends[i].Load() >= faultEnds {
			n++
		}
	}
	return n
}

func limitMemory(f *fleet) *memoryLimit {
	m := &memoryLimit{stop: make(chan struct{}), ends: make([]atomic.Int32, len(f.controls)), peak: make([]atomic.Int64, len(f.controls))}
	for i, p := range f.controls {
		m.wg.Add(1)
		group.Go(func() {
			defer m.wg.Done()
			for {
				select {
				case <-m.stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				n := memoryOf(p)
				m.peak[i].Store(max(n, m.peak[i].Load()))
				if n > coreMemory {
					p.kill()
					f.rec.log("platform: %s used %d MB of %d and was killed; ends so far: %d", p.name, n>>20, coreMemory>>20, m.ends[i].Add(1))
					time.Sleep(restartDelay)
					p.start()
				}
			}
		})
	}
	return m
}

// grownConfig returns a configuration with many routes, of which the change number
// version alters the timeout of one.
func grownConfig(version, routes int) map[string]any {
	all := map[string]any{"r-stock": route("/stock/", "safe", "stock")}
	for i := range routes {
		r := route(fmt.Sprintf("/lepu%d/%d/", i, i%7), "safe", "stock")
		if i == version%routes {
			r["timeout_ms"] = 2500 + version
		}
		all[fmt.Sprintf("r-%07d", i)] = r
	}
	return document(version, all, map[string]any{"stock": service()})
}

// growth lets an operator change a configuration with many routes hundreds of times.
func growth(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 5, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	limit := limitMemory(f)
	routes := 20
	if trouble {
		routes = grownRoutes
	}
	began, acknowledged := time.Now(), 0
	var newest []byte
	for v := 1; v <= changes && time.Since(began) < 90*time.Second && limit.faulty() < faultMachines; v++ {
		doc := grownConfig(v, routes)
		if err := f.putConfig(doc, 4*time.Second); err != nil {
			rec.log("operator: change r%d got no acknowledgement within 4 s: %v", v, err)
			continue
		}
		acknowledged = v
		newest, _ = json.Marshal(doc)
	}
	rec.log("operator: the newest acknowledged version is r%d", acknowledged)
	readBack := false
	for end := time.Now().Add(stableWindow); time.Now().Before(end) && !readBack; time.Sleep(200 * time.Millisecond) {
		for i := range f.controls {
			status, body, err := f.call("GET", f.controlAddr(i), "/api/config", nil)
			if err == nil && status == 200 {
				readBack = bytes.Equal(body, newest)
				rec.log("operator: GET /api/config at %s -> %d, %d bytes, the newest acknowledged: %v", f.controlAddr(i), status, len(body), readBack)
				break
			}
		}
	}
	if !readBack {
		rec.log("CONFIG: the newest acknowledged version does not come back within stable_window_ms")
	}
	for _, p := range f.controls {
		rec.log("%s uses %d MB", p.name, memoryOf(p)>>20)
	}
	close(limit.stop)
	limit.wg.Wait()
	for i, p := range f.controls {
		rec.log("%s: ended %d times over its memory", p.name, limit.ends[i].Load())
	}
	n := limit.faulty()
	if n >= faultMachines {
		rec.log("Fault: on %d of %d core machines, processes ended by themselves %d times or more", n, len(f.controls), faultEnds)
	}
	return n >= faultMachines, nil
}
