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
	// defaultAnnounceInterval is the heartbeat interval that the fleet expects.
	defaultAnnounceInterval = time.Second
	// announceTimeout leaves time to try a second entry host within the same interval.
	announceTimeout = 400 * time.Millisecond
	// headerTimeout bounds the reading of request headers. It also bounds the wait for
	// requests in flight after the drain time.
	headerTimeout = 5 * time.Second
	// maxReplyBytes bounds the reply to an announcement.
	maxReplyBytes = 64 << 10
)

// Registration holds what a runner announces and the entry hosts that it
// announces it to.
type Registration struct {
	// EntryURLs are the base URLs of the announcement ports of entry hosts. The
	// heartbeats go to them in turn; if one fails, the next is tried once.
	EntryURLs []string
	Service   string
	Target    string
	Zone      string
	// Secret is sent as a bearer token with each announcement.
	Secret      string
	Slots       int
	Incarnation uint64
	// Interval is the interval of heartbeats; 0 means one second.
	Interval time.Duration
	// DrainTime is how long new requests are still accepted after the first
	// draining heartbeat.
	DrainTime time.Duration
	// Log receives a line for each failed announcement; nil discards the lines.
	Log func(msg string)
}

// Runner serves a target over HTTP and announces it to entry hosts.
type Runner struct {
	target *Target
	reg    Registration
	client *resty.Client
	// nextEntry counts announcement attempts; modulo the number of entry URLs it is
	// the index of the next URL.
	nextEntry int
}

// NewRunner returns a runner for a target. It fails if the registration has no
// entry URL, service or target name.
func NewRunner(t *Target, reg Registration) (*Runner, error) {
	if len(reg.EntryURLs) == 0 || reg.Service == "" || reg.Target == "" {
		return nil, errors.New("a registration needs at least one entry URL, a service and a target name")
	}
	if reg.Interval == 0 {
		reg.Interval = defaultAnnounceInterval
	}
	if reg.Log == nil {
		reg.Log = func(string) {}
	}
	client := resty.New().SetTimeout(announceTimeout).SetAuthToken(reg.Secret).SetResponseBodyLimit(maxReplyBytes)
	return &Runner{target: t, reg: reg, client: client}, nil
}

// Run serves the target on the listener until ctx ends. It then announces the
// state draining, accepts requests for the drain time, waits for those in flight,
// announces the state leaving and returns.
func (r *Runner) Run(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: r.target, ReadHeaderTimeout: headerTimeout}
	pool := pond.NewPool(1)
	defer pool.StopAndWait()
	serving := pool.SubmitErr(func() error { return srv.Serve(l) })
	r.announceReady(ctx, l.Addr().String(), serving.Done())
	return r.leave(srv, l.Addr().String(), serving)
}

// announceReady announces the state ready at each interval until ctx or the server ends.
func (r *Runner) announceReady(ctx context.Context, addr string, serverDone <-chan struct{}) {
	ticker := time.NewTicker(r.reg.Interval)
	defer ticker.Stop()
	for {
		r.announce(ctx, addr, "ready")
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		case <-serverDone:
			return
		}
	}
}

// leave drains the target, shuts the server down and announces the state leaving.
func (r *Runner) leave(srv *http.Server, addr string, serving pond.Task) error {
	defer r.client.GetClient().CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), r.reg.DrainTime+headerTimeout)
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

// drain announces the state draining at each interval until the drain time is over.
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

// announcement is the JSON body of an announcement to an entry host.
type announcement struct {
	Service     string  `json:"service"`
	Target      string  `json:"target"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	Slots       int     `json:"slots"`
	Incarnation uint64  `json:"incarnation"`
	State       string  `json:"state"`
	Load        float64 `json:"load"`
}

// announce sends one heartbeat. If the first entry host does not accept it, one
// more is tried.
func (r *Runner) announce(ctx context.Context, addr, state string) {
	body := announcement{
		Service: r.reg.Service, Target: r.reg.Target, Addr: addr, Zone: r.reg.Zone, Slots: r.reg.Slots,
		Incarnation: r.reg.Incarnation, State: state, Load: r.target.Load(),
	}
	for range min(2, len(r.reg.EntryURLs)) {
		url := r.reg.EntryURLs[r.nextEntry%len(r.reg.EntryURLs)]
		r.nextEntry++
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
