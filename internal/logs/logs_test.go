package logs_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/logs"
)

// manualClock is a clock that shows the time set by the test.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// Guards against a flood of one event that fills the log, against counts of
// suppressed lines that are never reported, and against the suppression of other
// messages or levels.
func TestRepeatedLinesAreSampled(t *testing.T) {
	var out bytes.Buffer
	c := &manualClock{now: time.Unix(1_700_000_000, 0)}
	log, stop := logs.New(conf.Log{Level: "info", Format: "json"}, &out, logs.WithClock(c))
	for range 1000 {
		log.WithValues("port", "fleet").Info("link refused", "peer", "x")
	}
	log.Error(errors.New("no space"), "link refused")
	log.Info("leader changed")
	require.Equal(t, 10+2, strings.Count(out.String(), "\n"))
	require.NotContains(t, out.String(), "suppressed")

	c.now = c.now.Add(11 * time.Second)
	log.Info("leader changed")
	require.Contains(t, out.String(), `"suppressed_message":"link refused","count":990`)
	for range 11 {
		log.Info("link refused")
	}
	require.Equal(t, 10+2+2+10, strings.Count(out.String(), "\n"))
	stop()
	require.Contains(t, out.String(), `"suppressed_message":"link refused","count":1,`)
}

// Guards against a log level or format that differs from the settings.
func TestLevelAndFormat(t *testing.T) {
	cases := []struct {
		c        conf.Log
		want     []string
		unwanted []string
	}{
		{conf.Log{Level: "debug", Format: "json"}, []string{`"level":"debug"`, `"message":"detail"`, `"message":"event"`}, nil},
		{conf.Log{Level: "info", Format: "text"}, []string{"info\tevent"}, []string{"detail"}},
		{conf.Log{Level: "error", Format: "json"}, []string{`"error":"broken"`}, []string{"event", "detail"}},
	}
	for _, tc := range cases {
		var out bytes.Buffer
		log, stop := logs.New(tc.c, &out)
		log.V(1).Info("detail")
		log.Info("event")
		log.Error(errors.New("broken"), "fault")
		stop()
		for _, want := range tc.want {
			require.Contains(t, out.String(), want)
		}
		for _, unwanted := range tc.unwanted {
			require.NotContains(t, out.String(), unwanted)
		}
	}
}
