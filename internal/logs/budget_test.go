package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/conf"
)

// manualClock is a clock that shows the time set by the test.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// Guards against request lines that are suppressed because they share one
// message, and against a flood of refusals that fills the disk.
func TestRequestLinesHaveABudget(t *testing.T) {
	var out bytes.Buffer
	clock := &manualClock{now: time.Unix(1000, 0)}
	log, stop := New(conf.Log{Level: "info", Format: "json"}, &out, WithClock(clock))
	requests := log.WithName(RequestLoggerName)
	count := func(text string) int { return strings.Count(out.String(), text) }

	for range linesPerWindow * 2 {
		requests.Info("request ended", FieldOutcome, "not_run")
	}
	require.Equal(t, linesPerWindow*2, count(`"not_run"`), "lines of requests are not sampled by their message")

	for range 10 * requestBurst {
		requests.Info("request ended", FieldOutcome, "unknown")
	}
	require.LessOrEqual(t, count(`"unknown"`), requestBurst)

	for range 10 * requestBurst {
		requests.Info("request ended", FieldOutcome, OutcomeServed)
	}
	require.Equal(t, servedBurst, count(`"served"`), "served requests have a budget of their own")

	clock.now = clock.now.Add(time.Second)
	before := count(`"unknown"`)
	for range requestBurst {
		requests.Info("request ended", FieldOutcome, "unknown")
	}
	require.Equal(t, requestLinesPerSecond, count(`"unknown"`)-before)

	stop()
	require.Contains(t, out.String(), "repeated log lines suppressed", "what was suppressed is counted")
}

// Guards against lines of other loggers that escape sampling or use up the
// budget of request lines.
func TestOtherLinesAreSampled(t *testing.T) {
	var out bytes.Buffer
	log, _ := New(conf.Log{Level: "info", Format: "json"}, &out, WithClock(&manualClock{now: time.Unix(1000, 0)}))
	for range linesPerWindow * 3 {
		log.WithName("other").Info("the same event")
	}
	require.Equal(t, linesPerWindow, strings.Count(out.String(), "the same event"))
	log.WithValues("a", 1).WithName(RequestLoggerName).Info("request ended", FieldOutcome, "unknown")
	require.Contains(t, out.String(), `"a":1`)
}
