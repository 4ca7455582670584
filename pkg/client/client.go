// Package client talks to the operators' API of a fleet over several control
// hosts. A change whose answer is lost or unknown is sent again under the same
// change id to the next host, which returns the first result.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

const (
	defaultTimeout = 10 * time.Second
	defaultRounds  = 4
	// defaultPause grows with each round; four rounds outlast an election, which takes up to 2 s.
	defaultPause = 500 * time.Millisecond
	// probeTimeout bounds the search for the host with the newest version.
	probeTimeout = 3 * time.Second
	// maxAnswer bounds an answer in bytes, above a configuration of 320,000 workspaces.
	maxAnswer = 256 << 20
)

// Address is a control host with its operators' address as host:port.
type Address struct {
	Host model.HostID
	Addr string
}

// Client asks control hosts in turn. It is safe for concurrent use.
type Client struct {
	addrs []Address
	http  *resty.Client
	// scheme is http, or https with a Verifier.
	scheme string
	rounds int
	pause  time.Duration

	mu sync.Mutex
	// first is the index of the host that answered last and is asked first.
	first int
}

// Option changes how a client asks.
type Option func(*Client)

// WithTimeout bounds the wait for one answer of one host.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.http.SetTimeout(d) }
}

// WithRounds sets how often all hosts are asked in turn, and the pause after the first round.
func WithRounds(rounds int, pause time.Duration) Option {
	return func(c *Client) {
		c.rounds = rounds
		c.pause = pause
	}
}

// silentLogger keeps resty from writing to standard error, where it could show parts of requests.
type silentLogger struct{}

func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Warnf(string, ...any)  {}
func (silentLogger) Debugf(string, ...any) {}

// New returns a client that presents a token to control hosts.
func New(addrs []Address, token string, opts ...Option) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no control host is named; set addresses in the client settings")
	}
	http := resty.New().
		SetLogger(silentLogger{}).
		SetTimeout(defaultTimeout).
		SetAuthToken(token).
		SetRedirectPolicy(resty.NoRedirectPolicy()).
		RemoveProxy(). // a proxy of the environment would see the token
		SetResponseBodyLimit(maxAnswer)
	c := &Client{addrs: addrs, http: http, scheme: "http", rounds: defaultRounds, pause: defaultPause}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Config returns the newest configuration of the control hosts that answer.
func (c *Client) Config(ctx context.Context) (model.Config, error) {
	c.preferNewest(ctx)
	var cfg opsapi.Config
	if err := c.getJSON(ctx, opsapi.PathConfig, &cfg); err != nil {
		return model.Config{}, err
	}
	return cfg.Model()
}

// Version returns the version in force.
func (c *Client) Version(ctx context.Context) (model.Version, error) {
	var v opsapi.Version
	err := c.getJSON(ctx, opsapi.PathVersion, &v)
	return model.Version(v.Version), err
}

// History returns the newest n entries of the audit list, newest first.
func (c *Client) History(ctx context.Context, n int) ([]opsapi.AuditEntry, error) {
	c.preferNewest(ctx)
	var h opsapi.History
	query := url.Values{"limit": {strconv.Itoa(n)}}
	err := c.getJSON(ctx, opsapi.PathHistory+"?"+query.Encode(), &h)
	return h.Entries, err
}

// Silence returns the evidence that a workspace has no traffic.
func (c *Client) Silence(ctx context.Context, ws model.WorkspaceID) (opsapi.Evidence, error) {
	var e opsapi.Evidence
	err := c.getJSON(ctx, opsapi.PathSilence+url.PathEscape(string(ws)), &e)
	return e, err
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (opsapi.Status, error) {
	var s opsapi.Status
	err := c.getJSON(ctx, opsapi.PathStatus, &s)
	return s, err
}

// Burn returns the service-level counters as the server encoded them.
func (c *Client) Burn(ctx context.Context) ([]byte, error) {
	return c.ask(ctx, http.MethodGet, opsapi.PathBurn, nil)
}

// ClearQuarantine lets the quarantined requests of a workspace run again.
func (c *Client) ClearQuarantine(ctx context.Context, service model.ServiceName, ws model.WorkspaceID) error {
	_, err := c.ask(ctx, http.MethodPost, opsapi.PathQuarantine, opsapi.QuarantineClear{Service: string(service), Workspace: string(ws)})
	return err
}

// preferNewest makes the host with the newest version the first to be asked. A
// control host that was isolated for hours would otherwise answer with an old
// configuration, and each change based on it would be a conflict.
func (c *Client) preferNewest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var newest uint64
	for i, a := range c.addrs {
		resp, err := c.send(ctx, a, http.MethodGet, opsapi.PathVersion, nil)
		if err != nil || !resp.IsSuccess() {
			continue
		}
		var v opsapi.Version
		if json.Unmarshal(resp.Body(), &v) == nil && v.Version > newest {
			newest = v.Version
			c.remember(i)
		}
	}
}

func (c *Client) getJSON(ctx context.Context, path string, v any) error {
	data, err := c.ask(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("malformed answer to %s: %w; run the same version of tarragongauge everywhere", path, err)
	}
	return nil
}

// ask sends a request that may be repeated to one host after the other until one answers.
func (c *Client) ask(ctx context.Context, method, path string, body any) ([]byte, error) {
	var data []byte
	err := c.each(ctx, func(a Address) (next, error) {
		resp, err := c.send(ctx, a, method, path, body)
		if err != nil {
			return next{again: true}, err
		}
		if resp.IsSuccess() {
			data = resp.Body()
			return next{}, nil
		}
		return follow(a, resp)
	})
	return data, unreachable(err)
}

// unreachable turns the last error into an ErrUnreachable unless a host refused the request for good.
func unreachable(last error) error {
	final := IsErrFault(last) && !isFault(last, opsapi.FaultNotLeader, opsapi.FaultUnavailable)
	if last == nil || final {
		return last
	}
	return ErrUnreachable{Cause: last}
}

// follow decides what to do after an answer that is a fault.
func follow(a Address, resp *resty.Response) (next, error) {
	f := ErrFault{Host: a.Host}
	if err := json.Unmarshal(resp.Body(), &f.Fault); err != nil || f.Fault.Kind == "" {
		f.Fault = opsapi.Fault{Kind: opsapi.FaultInternal, Message: fmt.Sprintf("HTTP status %d; check that the address belongs to a control host, and set [tls] authority_file if that host uses TLS", resp.StatusCode())}
	}
	again := isFault(f, opsapi.FaultNotLeader, opsapi.FaultUnavailable, opsapi.FaultInternal)
	return next{again: again, leader: model.HostID(f.Fault.Leader)}, f
}

func (c *Client) send(ctx context.Context, a Address, method, path string, body any) (*resty.Response, error) {
	req := c.http.R().SetContext(ctx)
	if body != nil {
		req.SetBody(body)
	}
	resp, err := req.Execute(method, c.scheme+"://"+a.Addr+path)
	if err != nil {
		return nil, fmt.Errorf("control host %s: %w", a.Host, err)
	}
	return resp, nil
}

// neverSent reports whether an error of send means that the host did not get the request.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || IsErrTLS(err)
}
