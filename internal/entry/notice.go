package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// headerTargetRate names in a target's answer the requests per second that it takes
// from the whole fleet.
const headerTargetRate = "X-Target-Rate"

// maxPause bounds the time for which a target may ask a host to pause.
const maxPause = time.Hour

// readNotice returns what a target says of itself in an answer. A value that cannot
// be read says nothing.
func (s *Server) readNotice(res *http.Response) model.TargetNotice {
	var n model.TargetNotice
	if rate, ok := parseDecimal(res.Header.Get(s.headerNames.TargetRate)); ok {
		n.Limited, n.Rate = true, rate
	}
	if seconds, ok := parseDecimal(res.Header.Get("Retry-After")); ok && res.StatusCode == http.StatusServiceUnavailable {
		n.Pause = time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	return n
}

// parseDecimal parses a number that is finite and not negative.
func parseDecimal(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}
