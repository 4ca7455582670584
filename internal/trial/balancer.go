package trial

import (
	"math"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// balancer is the target selection of one entry host in the baseline policies:
// round robin, with or without ejection based on the outcomes at this host alone.
type balancer struct {
	// next counts the targets considered and selects the next one, modulo their number.
	next  int
	views map[*target]*hostView
}

// hostView holds the outcomes that one host observed at one target.
type hostView struct {
	// samples counts the attempts since the last ejection.
	samples int
	// errorRate and logLatency are exponentially weighted moving averages of the
	// failures and of the logarithm of the latency in nanoseconds.
	errorRate    float64
	logLatency   float64
	ejectedUntil model.Instant
	ejections    int
}

// Settings of the ejection by each host. A host ejects a target after at least
// five requests if half of them failed or the latency is three times that of the
// host's other targets. The ejection lasts 10 s, and a host ejects at most three
// in ten targets of a service.
const (
	hostMinRequests     = 5
	hostErrorShare      = 0.5
	hostSlowRatio       = 3
	hostEjectionTime    = 10 * time.Second
	hostMaxEjectedShare = 0.3
	// hostSmoothing is the weight of the latest attempt in the moving averages.
	hostSmoothing = 0.2
)

func newBalancer(start int) *balancer {
	return &balancer{next: start, views: map[*target]*hostView{}}
}

// pick returns the next target in turn that has not left, was not tried by the
// request and is not ejected, or nil if there is none.
func (b *balancer) pick(w *World, r *request) *target {
	list := r.service.targets
	for range list {
		b.next++
		t := list[b.next%len(list)]
		if t.leftAt != 0 || slices.Contains(r.triedTargets, t.id) {
			continue
		}
		if v := b.views[t]; v != nil && w.now < v.ejectedUntil {
			continue
		}
		return t
	}
	return nil
}

// observe records the outcome of an attempt and ejects the target if the policy
// and the outcomes call for it.
func (b *balancer) observe(w *World, t *target, end model.AttemptEnd, latency time.Duration) {
	if w.policy != PolicyHostEjection || end == model.AttemptShed {
		return
	}
	v := b.views[t]
	if v == nil {
		v = &hostView{logLatency: math.Log(float64(latency))}
		b.views[t] = v
	}
	v.samples++
	failed := 0.0
	if end != model.AttemptOK {
		failed = 1
	} else {
		v.logLatency += hostSmoothing * (math.Log(float64(latency)) - v.logLatency)
	}
	v.errorRate += hostSmoothing * (failed - v.errorRate)
	if v.samples < hostMinRequests || w.now < v.ejectedUntil || !b.mayEject(w, t) {
		return
	}
	if v.errorRate >= hostErrorShare || v.logLatency-b.peerLogLatency(t) > math.Log(hostSlowRatio) {
		*v = hostView{ejectedUntil: w.now.Add(hostEjectionTime), ejections: v.ejections + 1, logLatency: v.logLatency}
		w.recordHostEjection(t)
	}
}

// mayEject reports whether the host may eject a further target of t's service.
func (b *balancer) mayEject(w *World, t *target) bool {
	n := 1
	for _, x := range t.service.targets {
		if v := b.views[x]; v != nil && w.now < v.ejectedUntil {
			n++
		}
	}
	return float64(n) <= hostMaxEjectedShare*float64(len(t.service.targets))
}

// peerLogLatency returns the median logLatency of the service's other targets, or
// +Inf if none has enough samples, so that t does not count as slow.
func (b *balancer) peerLogLatency(t *target) float64 {
	var logLatencies []float64
	for _, x := range t.service.targets {
		if v := b.views[x]; x != t && v != nil && v.samples >= hostMinRequests {
			logLatencies = append(logLatencies, v.logLatency)
		}
	}
	if len(logLatencies) == 0 {
		return math.Inf(1)
	}
	slices.Sort(logLatencies)
	return logLatencies[len(logLatencies)/2]
}
