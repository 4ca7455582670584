// Package client is the client of a fleet's operators' API, which all control
// hosts serve. A change whose answer is lost or whose result is unknown is sent
// again to the next host under the same change id, so that it is applied at most
// once.
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
	// defaultTimeout is the timeout of a request to one host.
	defaultTimeout = 10 * time.Second
	// defaultRounds is the maximum number of times that each host is tried.
	defaultRounds = 4
	// defaultPause is the pause after the first round; the pause after round n is
	// n times as long. Four rounds outlast an election, which takes up to 2 s.
	defaultPause = 500 * time.Millisecond
	// probeTimeout is the maximum time for finding the host with the newest version.
	probeTimeout = 3 * time.Second
	// maxResponseBytes is the maximum size of a response, more than that of a
	// configuration of 320,000 workspaces.
	maxResponseBytes = 256 << 20
)

// Address is the address at which a control host serves the operators' API.
type Address struct {
	Host model.HostID
	// Addr is host:port.
	Addr string
}

// Client sends requests to control hosts in turn until one answers. It is safe for
// concurrent use.
type Client struct {
	addrs []Address
	http  *resty.Client
	// scheme is https with WithTLS, and http otherwise.
	scheme string
	// rounds is the maximum number of times that each host is tried.
	rounds int
	// pause is the pause after the first round. The pause after round n is n times as long.
	pause time.Duration

	mu sync.Mutex
	// firstHost is the index in addrs of the host that answered the last request.
	// The next request is sent to this host first. It is guarded by mu.
	firstHost int
}

// Option is an option of New.
type Option func(*Client)

// WithTimeout sets the timeout of a request to one host. The default is 10 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.http.SetTimeout(d) }
}

// WithRounds sets the maximum number of rounds in which all hosts are tried, and
// the pause after the first round. The pause after round n is n times as long.
// The defaults are 4 rounds and 500 ms.
func WithRounds(rounds int, pause time.Duration) Option {
	return func(c *Client) {
		c.rounds = rounds
		c.pause = pause
	}
}

// discardLogger discards the messages of resty, which could show parts of requests
// on standard error.
type discardLogger struct{}

func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Debugf(string, ...any) {}

// New returns a client for the control hosts at addrs that authenticates with a
// bearer token. It returns an error if addrs is empty.
func New(addrs []Address, token string, opts ...Option) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no control host is named; set addresses in the client settings")
	}
	http := resty.New().
		SetLogger(discardLogger{}).
		SetTimeout(defaultTimeout).
		SetAuthToken(token).
		SetRedirectPolicy(resty.NoRedirectPolicy()).
		RemoveProxy(). // a proxy of the environment would see the token
		SetResponseBodyLimit(maxResponseBytes)
	c := &Client{addrs: addrs, http: http, scheme: "http", rounds: defaultRounds, pause: defaultPause}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Config returns the newest configuration that a control host in reach holds. Like
// all methods that only read, it returns ErrUnreachable if no host answers, and
// ErrFault if a host refuses the request.
func (c *Client) Config(ctx context.Context) (model.Config, error) {
	c.preferNewest(ctx)
	var cfg opsapi.Config
	if err := c.getJSON(ctx, opsapi.PathConfig, &cfg); err != nil {
		return model.Config{}, err
	}
	return cfg.Model()
}

// Version returns the version of the configuration that the answering control host
// holds, which may be old if the host is isolated.
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

// Silence returns the evidence of whether a withdrawn workspace has traffic on any host.
func (c *Client) Silence(ctx context.Context, ws model.WorkspaceID) (opsapi.Evidence, error) {
	var e opsapi.Evidence
	err := c.getJSON(ctx, opsapi.PathSilence+url.PathEscape(string(ws)), &e)
	return e, err
}

// Status returns the state of the fleet as one control host sees it.
func (c *Client) Status(ctx context.Context) (opsapi.Status, error) {
	var s opsapi.Status
	err := c.getJSON(ctx, opsapi.PathStatus, &s)
	return s, err
}

// Burn returns the service-level counters as the JSON that the control host sent.
func (c *Client) Burn(ctx context.Context) ([]byte, error) {
	return c.request(ctx, http.MethodGet, opsapi.PathBurn, nil, http.StatusOK)
}

// ClearQuarantine lets requests of a workspace run again that are quarantined by a
// service because they crashed its targets.
func (c *Client) ClearQuarantine(ctx context.Context, service model.ServiceName, ws model.WorkspaceID) error {
	_, err := c.request(ctx, http.MethodPost, opsapi.PathQuarantine, opsapi.QuarantineClear{Service: string(service), Workspace: string(ws)}, http.StatusNoContent)
	return err
}

// preferNewest makes the control host with the newest version the first host of
// the next request. Otherwise a control host that was isolated for hours could
// answer with an old configuration, and each change based on that would be a
// conflict.
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
			c.storeFirstHost(i)
		}
	}
}

func (c *Client) getJSON(ctx context.Context, path string, v any) error {
	data, err := c.request(ctx, http.MethodGet, path, nil, http.StatusOK)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("malformed answer to %s: %w; run the same version of tarragongauge everywhere", path, err)
	}
	return nil
}

// request sends an idempotent request to one host after the other until one
// answers with the status want, and returns the body of the response.
func (c *Client) request(ctx context.Context, method, path string, body any, want int) ([]byte, error) {
	var data []byte
	err := c.tryHosts(ctx, func(a Address) (decision, error) {
		resp, err := c.send(ctx, a, method, path, body)
		if err != nil {
			return decision{retry: true}, err
		}
		if resp.StatusCode() == want {
			data = resp.Body()
			return decision{}, nil
		}
		return parseFault(a, resp)
	})
	return data, wrapUnreachable(err)
}

// wrapUnreachable wraps the last error of a request in an ErrUnreachable, unless a
// host refused the request in a way that another host would not change.
func wrapUnreachable(last error) error {
	refused := IsErrFault(last) && !isFault(last, opsapi.FaultNotLeader, opsapi.FaultUnavailable)
	if last == nil || refused {
		return last
	}
	return ErrUnreachable{Cause: last}
}

// parseFault returns the ErrFault of a response that is not a success, and whether
// to try another host. A response without a fault in its body, or with another status
// than that of the fault, counts as internal.
func parseFault(a Address, resp *resty.Response) (decision, error) {
	f := ErrFault{Host: a.Host}
	if err := json.Unmarshal(resp.Body(), &f.Fault); err != nil || !f.Fault.Kind.IsValid() || f.Fault.Kind.Status() != resp.StatusCode() {
		f.Fault = opsapi.Fault{Kind: opsapi.FaultInternal, Message: fmt.Sprintf("HTTP status %d; check that the address belongs to a control host, and set [tls] authority_file if that host uses TLS", resp.StatusCode())}
	}
	retry := isFault(f, opsapi.FaultNotLeader, opsapi.FaultUnavailable, opsapi.FaultInternal)
	return decision{retry: retry, leader: model.HostID(f.Fault.Leader)}, f
}

// send sends one request to one control host. The body, if not nil, is sent as JSON.
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

// wasNotSent reports whether an error of send makes it certain that nothing of the
// request was sent to the host.
func wasNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || IsErrTLS(err)
}
