package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Headers in the answers of targets, explained at HeaderNames.
const (
	headerTargetLeaving = "X-Target-Leaving"
	headerTargetRate    = "X-Target-Rate"
	headerTargetCold    = "X-Target-Cold-Ms"
)

// maxPause bounds the time for which a target may ask a host to pause.
const maxPause = time.Hour

// readNotice returns what a target says of itself in an answer. A value that cannot
// be read says nothing.
func (s *Server) readNotice(res *http.Response) model.TargetNotice {
	n := model.TargetNotice{Leaving: res.Header.Get(s.headerNames.TargetLeaving) == "1"}
	if rate, ok := parseDecimal(res.Header.Get(s.headerNames.TargetRate)); ok {
		n.Limited, n.Rate = true, rate
	}
	if seconds, ok := parseDecimal(res.Header.Get("Retry-After")); ok && res.StatusCode == http.StatusServiceUnavailable {
		n.Pause = time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	n.ColdRemaining, n.ReportsCold = ParseColdRemaining(res.Header.Get(s.headerNames.TargetCold))
	return n
}

// ParseColdRemaining parses how many milliseconds longer a target is cold, as a header
// of its answer says. It returns false if the value says nothing.
func ParseColdRemaining(s string) (time.Duration, bool) {
	ms, ok := parseDecimal(s)
	if !ok {
		return 0, false
	}
	return model.ColdTime(ms), true
}

// parseDecimal parses a number that is finite and not negative.
func parseDecimal(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}
