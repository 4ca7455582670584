package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/conf"
)

// fixedClock is a clock that a test moves.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

func (c *fixedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// Guards against request lines that are suppressed because their message
// repeats, and against a flood of refusals that fills the disk.
func TestRequestLinesHaveABudget(t *testing.T) {
	var out bytes.Buffer
	clock := &fixedClock{now: time.Unix(1000, 0)}
	log, stop := New(conf.Log{Level: "info", Format: "json"}, &out, WithClock(clock))
	requests := log.WithName(RequestLoggerName)
	count := func(text string) int { return strings.Count(out.String(), text) }

	for range sampleFirst * 2 {
		requests.Info("request ended", FieldOutcome, "not_run")
	}
	require.Equal(t, sampleFirst*2, count(`"not_run"`), "lines of requests are not sampled by their message")

	for range 10 * requestBurst {
		requests.Info("request ended", FieldOutcome, "unknown")
	}
	require.LessOrEqual(t, count(`"unknown"`), requestBurst)

	for range 10 * requestBurst {
		requests.Info("request ended", FieldOutcome, OutcomeServed)
	}
	require.Equal(t, successBurst, count(`"served"`), "served requests have a budget of their own")

	clock.now = clock.now.Add(time.Second)
	before := count(`"unknown"`)
	for range requestBurst {
		requests.Info("request ended", FieldOutcome, "unknown")
	}
	require.Equal(t, requestLines, count(`"unknown"`)-before)

	stop()
	require.Contains(t, out.String(), "repeated log lines suppressed", "what was suppressed is counted")
}

// Guards against other lines that use up the budget of requests or escape sampling.
func TestOtherLinesAreSampledAsBefore(t *testing.T) {
	var out bytes.Buffer
	log, _ := New(conf.Log{Level: "info", Format: "json"}, &out, WithClock(&fixedClock{now: time.Unix(1000, 0)}))
	for range sampleFirst * 3 {
		log.WithName("other").Info("the same event")
	}
	require.Equal(t, sampleFirst, strings.Count(out.String(), "the same event"))
	log.WithValues("a", 1).WithName(RequestLoggerName).Info("request ended", FieldOutcome, "unknown")
	require.Contains(t, out.String(), `"a":1`)
}
