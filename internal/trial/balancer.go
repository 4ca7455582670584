package trial

import (
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// balancer is the baseline of one entry host: round robin, with or without
// ejection by the host's own outcomes.
type balancer struct {
	next  int
	views map[*target]*hostView
}

// hostView is what one host knows of one target.
type hostView struct {
	n            int
	errors       float64
	level        float64
	ejectedUntil model.Instant
	ejections    int
}

// Settings of the ejection by each host: five requests at least, half of them
// failed or three times the latency of the host's other targets, for 10 s, and
// at most three in ten targets by its own count.
const (
	hostMinRequests = 5
	hostErrorShare  = 0.5
	hostSlowRatio   = 3
	hostEjectFor    = 10 * time.Second
	hostMaxShare    = 0.3
	hostWeight      = 0.2
)

func newBalancer(start int) *balancer {
	return &balancer{next: start, views: map[*target]*hostView{}}
}

func (b *balancer) pick(w *World, r *request) *target {
	list := r.service.targets
	for range list {
		b.next++
		t := list[b.next%len(list)]
		if t.left != 0 || slices.Contains(r.tried, t.id) {
			continue
		}
		if v := b.views[t]; v != nil && w.now < v.ejectedUntil {
			continue
		}
		return t
	}
	return nil
}

func (b *balancer) observe(w *World, t *target, end model.AttemptEnd, latency time.Duration) {
	if w.policy != PolicyHostEjection || end == model.AttemptShed {
		return
	}
	v := b.views[t]
	if v == nil {
		v = &hostView{level: math.Log(float64(latency))}
		b.views[t] = v
	}
	v.n++
	failed := 0.0
	if end != model.AttemptOK {
		failed = 1
	} else {
		v.level += hostWeight * (math.Log(float64(latency)) - v.level)
	}
	v.errors += hostWeight * (failed - v.errors)
	if v.n < hostMinRequests || w.now < v.ejectedUntil || !b.mayEject(w, t) {
		return
	}
	if v.errors >= hostErrorShare || v.level-b.peers(t) > math.Log(hostSlowRatio) {
		*v = hostView{ejectedUntil: w.now.Add(hostEjectFor), ejections: v.ejections + 1, level: v.level}
		w.hostEjected(t)
	}
}

func (b *balancer) mayEject(w *World, t *target) bool {
	n := 1
	for _, x := range t.service.targets {
		if v := b.views[x]; v != nil && w.now < v.ejectedUntil {
			n++
		}
	}
	return float64(n) <= hostMaxShare*float64(len(t.service.targets))
}

// peers returns the median latency level of the host's other targets.
func (b *balancer) peers(t *target) float64 {
	var levels []float64
	for _, x := range t.service.targets {
		if v := b.views[x]; x != t && v != nil && v.n >= hostMinRequests {
			levels = append(levels, v.level)
		}
	}
	if len(levels) == 0 {
		return math.Inf(1)
	}
	slices.Sort(levels)
	return levels[len(levels)/2]
}
