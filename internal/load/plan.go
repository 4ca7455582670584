// Package load implements an open-loop load generator: requests are sent at
// planned times, whether or not earlier ones were answered, and latency is
// measured from the planned time. The latency therefore includes the whole delay
// that a slow service causes.
package load

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"
)

// Stream is the load of one workspace on one path.
type Stream struct {
	// Workspace names the stream in the report.
	Workspace string
	// Key is sent as a bearer token; it is empty for open routes.
	Key string
	// Rate is the number of requests per second.
	Rate float64
	// Method is the HTTP method; empty means GET.
	Method string
	// Path is the path of the requests and may contain a query.
	Path string
	Body []byte
	// OrderKeys sends a different order key with each request.
	OrderKeys bool
}

// Plan describes a run of the load generator.
type Plan struct {
	// URLs are the base URLs of the entry hosts; the requests of a stream are sent
	// to them in turn.
	URLs     []string
	Streams  []Stream
	Duration time.Duration
	// Timeout is the time within which a request must be answered, from its planned
	// time.
	Timeout time.Duration
	// Connections is the maximum number of requests in flight; further ones wait,
	// and the wait is part of their latency.
	Connections int
	// Poisson plans the times as a Poisson process instead of at even intervals.
	Poisson bool
	// Seed is the seed of the planned times and a part of the order keys, so that
	// both are repeatable.
	Seed uint64
}

// ErrPlan reports that a plan cannot be run.
type ErrPlan struct {
	// Field names the invalid field or fields.
	Field string
	// Want describes a valid value, in words that follow "must be".
	Want string
}

func (e ErrPlan) Error() string { return fmt.Sprintf("%s must be %s", e.Field, e.Want) }

// Check returns an ErrPlan if the plan cannot be run.
func (p Plan) Check() error {
	switch {
	case len(p.URLs) == 0 || len(p.Streams) == 0:
		return ErrPlan{Field: "urls and streams", Want: "given, at least one of each"}
	case p.Duration <= 0 || p.Timeout <= 0:
		return ErrPlan{Field: "duration and timeout", Want: "greater than 0"}
	case p.Connections < 1:
		return ErrPlan{Field: "connections", Want: "at least 1"}
	}
	for _, u := range p.URLs {
		parsed, err := url.Parse(u)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" {
			return ErrPlan{Field: fmt.Sprintf("url %q", u), Want: "like http://10.0.0.7:8080"}
		}
	}
	for _, s := range p.Streams {
		if !(s.Rate > 0) || s.Path == "" || s.Path[0] != '/' {
			return ErrPlan{Field: fmt.Sprintf("stream %q", s.Workspace), Want: "given a rate greater than 0 and a path that starts with a slash"}
		}
	}
	return nil
}

// schedule computes the planned times of a stream as durations since the start of
// the run.
type schedule struct {
	rate    float64
	poisson bool
	rng     *rand.Rand
	count   int
	lastAt  time.Duration
}

func newSchedule(p Plan, stream int) *schedule {
	return &schedule{rate: p.Streams[stream].Rate, poisson: p.Poisson, rng: rand.New(rand.NewPCG(p.Seed, uint64(stream)))}
}

// next returns the planned time of the next request.
func (c *schedule) next() time.Duration {
	c.count++
	if !c.poisson {
		return time.Duration(float64(c.count-1) / c.rate * float64(time.Second))
	}
	c.lastAt += time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
	return c.lastAt
}
