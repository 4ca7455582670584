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

// maxAnswerBytes is the maximum number of bytes read of an answer.
const maxAnswerBytes = 16 << 20

// runner sends the requests of one run of a plan.
type runner struct {
	plan   Plan
	client *http.Client
	// senders sends up to Plan.Connections requests at once.
	senders   pond.Pool
	startedAt time.Time
}

// Run sends the planned requests and waits for their answers. When ctx ends, no
// further requests are sent and the report covers those that were.
func Run(ctx context.Context, p Plan) (Report, error) {
	if err := p.Check(); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{
		MaxConnsPerHost: p.Connections, MaxIdleConnsPerHost: p.Connections, DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	r := &runner{plan: p, client: &http.Client{Transport: transport}, senders: pond.NewPool(p.Connections), startedAt: time.Now()}
	tallies := make([]*tally, len(p.Streams))
	planners := pond.NewPool(len(p.Streams))
	for i := range p.Streams {
		tallies[i] = newTally()
		planners.Submit(func() { r.sendStream(ctx, i, tallies[i]) })
	}
	planners.StopAndWait()
	elapsed := min(time.Since(r.startedAt), p.Duration)
	r.senders.StopAndWait()
	return report(p, tallies, elapsed), nil
}

// report summarizes the tallies of the streams and their total.
func report(p Plan, tallies []*tally, elapsed time.Duration) Report {
	total := newTally()
	out := Report{Seconds: elapsed.Seconds()}
	for i, t := range tallies {
		total.merge(t)
		out.Streams = append(out.Streams, t.summary(p.Streams[i].Workspace, elapsed))
	}
	out.Total = total.summary("total", elapsed)
	return out
}

// sendStream submits each request of stream i to the senders at its planned time.
func (r *runner) sendStream(ctx context.Context, i int, t *tally) {
	c := newSchedule(r.plan, i)
	for n := 0; ; n++ {
		at := c.next()
		if at >= r.plan.Duration || !sleepUntil(ctx, r.startedAt.Add(at)) {
			return
		}
		planned := r.startedAt.Add(at)
		r.senders.Submit(func() { t.add(r.send(ctx, i, n, planned)) })
	}
}

// sleepUntil waits until at and returns false if ctx ends before.
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

// send sends request n of stream i and measures its latency from the planned time.
func (r *runner) send(ctx context.Context, i, n int, planned time.Time) result {
	ctx, cancel := context.WithDeadline(ctx, planned.Add(r.plan.Timeout))
	defer cancel()
	res, err := r.exchange(ctx, i, n)
	res.err = err
	res.latency = time.Since(planned)
	return res
}

// exchange sends request n of stream i and reads the answer.
func (r *runner) exchange(ctx context.Context, i, n int) (result, error) {
	req, err := r.request(ctx, i, n)
	if err != nil {
		return result{}, err
	}
	res, err := r.client.Do(req)
	if err != nil {
		return result{}, err
	}
	defer res.Body.Close() //nolint:errcheck // The answer was read or reading it has failed.
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswerBytes)); err != nil {
		return result{}, fmt.Errorf("read answer: %w", err)
	}
	outcome := res.Header.Get("X-Outcome")
	if outcome == "" {
		outcome = "none"
	}
	return result{status: res.StatusCode, outcome: outcome}, nil
}

// request builds request n of stream i.
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
	// The load generator counts a request once, so net/http must not resend it,
	// which it cannot do without GetBody.
	req.GetBody = nil
	return req, nil
}
