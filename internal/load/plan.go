// Package load is an open-loop load generator: requests are sent at planned
// times, whether or not earlier ones were answered, and latency counts from the
// planned time. A slow service therefore shows its whole delay.
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
	// Key is presented as a bearer key; empty for open routes.
	Key string
	// Rate is in requests per second.
	Rate   float64
	Method string
	// Path may contain a query.
	Path string
	Body []byte
	// OrderKeys gives each request an order key of its own.
	OrderKeys bool
}

// Plan is a whole run.
type Plan struct {
	// URLs are the base URLs of the entry hosts; requests take them in turn.
	URLs     []string
	Streams  []Stream
	Duration time.Duration
	// Timeout bounds a request from its planned time.
	Timeout time.Duration
	// Connections bounds the requests that are open at once; further ones wait, and their wait counts.
	Connections int
	// Poisson spreads the planned times randomly instead of evenly.
	Poisson bool
	// Seed makes the planned times and order keys repeatable.
	Seed uint64
}

// ErrPlan tells that a plan cannot be run.
type ErrPlan struct {
	Field string
	Want  string
}

func (e ErrPlan) Error() string { return fmt.Sprintf("%s must be %s", e.Field, e.Want) }

// Check returns an ErrPlan for a plan that cannot be run.
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

// clock yields the planned times of a stream, counted from the start.
type clock struct {
	rate    float64
	poisson bool
	rng     *rand.Rand
	n       int
	at      time.Duration
}

func newClock(p Plan, stream int) *clock {
	return &clock{rate: p.Streams[stream].Rate, poisson: p.Poisson, rng: rand.New(rand.NewPCG(p.Seed, uint64(stream)))}
}

func (c *clock) next() time.Duration {
	c.n++
	if !c.poisson {
		return time.Duration(float64(c.n-1) / c.rate * float64(time.Second))
	}
	c.at += time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
	return c.at
}
