package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
)

// maxAnswer bounds what is read of an answer.
const maxAnswer = 16 << 20

// runner is one run of a plan.
type runner struct {
	plan    Plan
	client  *http.Client
	senders pond.Pool
	started time.Time
}

// Run sends the planned requests and waits for their answers. When ctx ends it
// plans no more requests and reports what was sent.
func Run(ctx context.Context, p Plan) (Report, error) {
	if err := p.Check(); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{
		MaxConnsPerHost: p.Connections, MaxIdleConnsPerHost: p.Connections, DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	r := &runner{plan: p, client: &http.Client{Transport: transport}, senders: pond.NewPool(p.Connections), started: time.Now()}
	tallies := make([]*tally, len(p.Streams))
	planners := pond.NewPool(len(p.Streams))
	for i := range p.Streams {
		tallies[i] = newTally()
		planners.Submit(func() { r.stream(ctx, i, tallies[i]) })
	}
	planners.StopAndWait()
	took := min(time.Since(r.started), p.Duration)
	r.senders.StopAndWait()
	return report(p, tallies, took), nil
}

func report(p Plan, tallies []*tally, took time.Duration) Report {
	total := newTally()
	out := Report{Seconds: took.Seconds()}
	for i, t := range tallies {
		total.merge(t)
		out.Streams = append(out.Streams, t.summary(p.Streams[i].Workspace, took))
	}
	out.Total = total.summary("total", took)
	return out
}

// stream hands each request to a sender at its planned time.
func (r *runner) stream(ctx context.Context, i int, t *tally) {
	c := newClock(r.plan, i)
	for n := 0; ; n++ {
		at := c.next()
		if at >= r.plan.Duration || !sleepUntil(ctx, r.started.Add(at)) {
			return
		}
		planned := r.started.Add(at)
		r.senders.Submit(func() { t.add(r.send(ctx, i, n, planned)) })
	}
}

// sleepUntil returns false when ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (r *runner) send(ctx context.Context, i, n int, planned time.Time) result {
	ctx, cancel := context.WithDeadline(ctx, planned.Add(r.plan.Timeout))
	defer cancel()
	res, err := r.exchange(ctx, i, n)
	res.err = err
	res.latency = time.Since(planned)
	return res
}

func (r *runner) exchange(ctx context.Context, i, n int) (result, error) {
	req, err := r.request(ctx, i, n)
	if err != nil {
		return result{}, err
	}
	res, err := r.client.Do(req)
	if err != nil {
		return result{}, err
	}
	defer res.Body.Close() //nolint:errcheck // The answer was read or is given up.
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswer)); err != nil {
		return result{}, fmt.Errorf("answer broke off: %w", err)
	}
	outcome := res.Header.Get("X-Outcome")
	if outcome == "" {
		outcome = "none"
	}
	return result{status: res.StatusCode, outcome: outcome}, nil
}

func (r *runner) request(ctx context.Context, i, n int) (*http.Request, error) {
	s := r.plan.Streams[i]
	url := r.plan.URLs[(i+n)%len(r.plan.URLs)] + s.Path
	method := s.Method
	if method == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(s.Body))
	if err != nil {
		return nil, err
	}
	if s.Key != "" {
		req.Header.Set("Authorization", "Bearer "+s.Key)
	}
	if s.OrderKeys {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d-%d", r.plan.Seed, i, n))
	}
	// net/http must not resend a request that the load generator counts once.
	req.GetBody = nil
	return req, nil
}
