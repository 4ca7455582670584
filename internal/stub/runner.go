package stub

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"
)

const (
	// announceEvery is the heartbeat that the fleet expects.
	announceEvery = time.Second
	// announceWithin leaves time for a second entry host in the same interval.
	announceWithin = 400 * time.Millisecond
	headerTime     = 5 * time.Second
)

// Registration is what a runner announces and to whom.
type Registration struct {
	// EntryURLs are the base URLs of the announcement ports; each heartbeat goes to the next that answers.
	EntryURLs   []string
	Service     string
	Target      string
	Zone        string
	Secret      string
	Slots       int
	Incarnation uint64
	// Interval is the interval of heartbeats; 0 is one second.
	Interval time.Duration
	// DrainTime is how long after the first draining heartbeat new requests are still taken.
	DrainTime time.Duration
	// Log receives a line for each announcement that failed; nil discards them.
	Log func(msg string)
}

// Runner serves a target and announces it.
type Runner struct {
	target *Target
	reg    Registration
	client *resty.Client
	next   int
}

// NewRunner returns a runner for a target.
func NewRunner(t *Target, reg Registration) (*Runner, error) {
	if len(reg.EntryURLs) == 0 || reg.Service == "" || reg.Target == "" {
		return nil, errors.New("a registration needs at least one entry URL, a service and a target name")
	}
	if reg.Interval == 0 {
		reg.Interval = announceEvery
	}
	if reg.Log == nil {
		reg.Log = func(string) {}
	}
	client := resty.New().SetTimeout(announceWithin).SetAuthToken(reg.Secret)
	return &Runner{target: t, reg: reg, client: client}, nil
}

// Run serves on the listener until ctx ends. Then it announces that it drains,
// takes requests for the drain time, finishes those in flight, announces that
// it leaves and returns.
func (r *Runner) Run(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: r.target, ReadHeaderTimeout: headerTime}
	pool := pond.NewPool(1)
	defer pool.StopAndWait()
	serving := pool.SubmitErr(func() error { return srv.Serve(l) })
	r.heartbeat(ctx, l.Addr().String(), serving.Done())
	return r.leave(srv, l.Addr().String(), serving)
}

// heartbeat announces until ctx or the server ends.
func (r *Runner) heartbeat(ctx context.Context, addr string, served <-chan struct{}) {
	ticker := time.NewTicker(r.reg.Interval)
	defer ticker.Stop()
	for {
		r.announce(ctx, addr, "ready")
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		case <-served:
			return
		}
	}
}

func (r *Runner) leave(srv *http.Server, addr string, serving pond.Task) error {
	defer r.client.GetClient().CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), r.reg.DrainTime+headerTime)
	defer cancel()
	r.drain(ctx, addr)
	err := srv.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, srv.Close())
	}
	r.announce(ctx, addr, "leaving")
	if serr := serving.Wait(); !errors.Is(serr, http.ErrServerClosed) {
		err = errors.Join(err, fmt.Errorf("target server: %w", serr))
	}
	return err
}

// drain announces the drain until its time is over.
func (r *Runner) drain(ctx context.Context, addr string) {
	end := time.Now().Add(r.reg.DrainTime)
	for {
		r.announce(ctx, addr, "draining")
		left := time.Until(end)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, r.reg.Interval))
	}
}

// heartbeatBody is the JSON form of an announcement.
type heartbeatBody struct {
	Service     string  `json:"service"`
	Target      string  `json:"target"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	Slots       int     `json:"slots"`
	Incarnation uint64  `json:"incarnation"`
	State       string  `json:"state"`
	Load        float64 `json:"load"`
}

// announce sends one heartbeat to the first entry host that takes it.
func (r *Runner) announce(ctx context.Context, addr, state string) {
	body := heartbeatBody{
		Service: r.reg.Service, Target: r.reg.Target, Addr: addr, Zone: r.reg.Zone, Slots: r.reg.Slots,
		Incarnation: r.reg.Incarnation, State: state, Load: r.target.Load(),
	}
	for range min(2, len(r.reg.EntryURLs)) {
		url := r.reg.EntryURLs[r.next%len(r.reg.EntryURLs)]
		r.next++
		res, err := r.client.R().SetContext(ctx).SetBody(body).Post(url + "/v1/announce")
		if err == nil && res.IsSuccess() {
			return
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.reg.Log(fmt.Sprintf("announcement to %s failed: %v", url, err))
			continue
		}
		r.reg.Log(fmt.Sprintf("announcement to %s was refused with status %d: %s", url, res.StatusCode(), res.Body()))
	}
}
