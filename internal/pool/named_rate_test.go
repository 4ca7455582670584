package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// A target that names a rate gets at most this much of it in a window, plus some.
const (
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
	// rateSettleTime is the time after which the bound holds.
	rateSettleTime = 3 * time.Second
)

// newNamedRates returns the load of a small service, two of whose targets have just
// named rates.
func newNamedRates() *fleetLoad {
	l := newFleetLoad(40, 8)
	l.run(45, 3*time.Second)
	l.rates = map[model.TargetID]float64{"t0": 1, "t1": 1.3}
	return l
}

// settle lets the hosts learn of the rates, and counts anew.
func (l *fleetLoad) settle(perSecond float64) {
	l.run(perSecond, rateSettleTime)
	clear(l.arrivals)
}

// countAllArrivals counts the requests of all hosts at a target.
func (l *fleetLoad) countAllArrivals(target model.TargetID) {
	for _, h := range l.hosts {
		l.toldAt[toldHost{h, target}] = 1
	}
}

func (l *fleetLoad) requireNamedRates(t *testing.T) {
	t.Helper()
	for id, rate := range l.rates {
		require.LessOrEqual(t, float64(l.mostArrived(id, rateWindow)), rateFactor*rate*rateWindow.Seconds()+rateSlack, id)
	}
}

func TestTargetGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	l := newNamedRates()
	l.settle(45)
	l.run(45, 12*time.Second)
	l.requireNamedRates(t)
	require.Positive(t, l.mostArrived("t0", rateWindow), "a limited target still works")
}

func TestHostsWithoutAnOwnerKeepToNamedRatesTogether(t *testing.T) {
	l := newNamedRates()
	l.run(45, time.Second)
	l.settle(45)
	l.owner = nil
	l.run(45, 12*time.Second)
	l.requireNamedRates(t)
}

func TestNewOwnersKeepToNamedRates(t *testing.T) {
	l := newNamedRates()
	l.settle(45)
	for range 10 {
		l.run(45, 1200*time.Millisecond)
		l.startOwner()
	}
	l.requireNamedRates(t)
}

func TestTargetThatNamesNoRateAnyMoreGetsItsShareAgain(t *testing.T) {
	l := newNamedRates()
	l.settle(45)
	l.rates = map[model.TargetID]float64{}
	l.countAllArrivals("t0")
	l.run(45, 8*time.Second)
	require.Greater(t, l.mostArrived("t0", rateWindow), 12)
}

func TestTargetThatTakesNothingIsAskedAgainRarely(t *testing.T) {
	l := newNamedRates()
	l.rates = map[model.TargetID]float64{"t0": 0}
	l.settle(45)
	l.countAllArrivals("t0")
	l.run(45, 20*time.Second)
	l.requireNamedRates(t)
	require.Positive(t, l.mostArrived("t0", 20*time.Second))
}

func TestRequestsBeyondNamedRatesAreRefusedAtOnce(t *testing.T) {
	l := newFleetLoad(40, 8)
	l.objective = time.Second
	l.run(45, 3*time.Second)
	for _, a := range l.targets {
		l.rates[a.Target] = 1
	}
	l.settle(45)
	l.waits = nil
	l.run(45, 6*time.Second)
	l.requireNamedRates(t)
	require.Greater(t, len(l.waits), 200, "of 270 requests 48 are within the rates")
	slices.Sort(l.waits)
	require.LessOrEqual(t, l.waits[len(l.waits)/2], 2*loadTick)
	require.LessOrEqual(t, l.waits[len(l.waits)-1], l.objective)
}

func TestHostsWithoutAnOwnerKnowRatesNamedToOtherHosts(t *testing.T) {
	l := newFleetLoad(40, 8)
	l.objective = time.Second
	l.run(45, 3*time.Second)
	for _, a := range l.targets {
		l.rates[a.Target] = 1
	}
	l.settle(45)
	l.run(45, 20*time.Second)
	l.owner = nil
	l.run(45, time.Second)
	for _, a := range l.targets {
		l.countAllArrivals(a.Target)
	}
	clear(l.arrivals)
	l.waits = nil
	l.run(45, 8*time.Second)
	l.requireNamedRates(t)
	require.Greater(t, len(l.waits), 300, "of 360 requests 16 are within the share of the rates")
	slices.Sort(l.waits)
	require.LessOrEqual(t, l.waits[len(l.waits)/2], 2*loadTick)
}

func TestManyHostsWithoutAnOwnerKeepToALowRate(t *testing.T) {
	l := newFleetLoad(97, 8)
	l.run(200, 3*time.Second)
	l.rates = map[model.TargetID]float64{"t0": 0.2}
	l.settle(200)
	l.run(200, 5*time.Second)
	l.owner = nil
	l.run(200, 3*time.Second)
	l.countAllArrivals("t0")
	clear(l.arrivals)
	l.run(200, 60*time.Second)
	require.LessOrEqual(t, l.mostArrived("t0", 60*time.Second), 12, "as many as the target takes")
}
