package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// largeAnswer and largeUpload are bodies in bytes that entry hosts pass on in parts.
const (
	largeAnswer = 240 << 10
	largeUpload = 100 << 10
)

// inFlightCase is a request that a target works on while the configuration changes.
type inFlightCase struct {
	method string
	// head is the time until the target sends the head of its answer, and body the
	// time until the end of the answer after that.
	head, body time.Duration
	// upload is how long the caller sends the body of the request.
	upload time.Duration
}

// requestsInFlight are requests of every kind that a change can meet at a target.
func requestsInFlight() map[string]inFlightCase {
	return map[string]inFlightCase{
		"lookup before the head": {method: http.MethodGet, head: 1500 * time.Millisecond},
		"long lookup":            {method: http.MethodGet, head: 7 * time.Second},
		"order before the head":  {method: http.MethodPost, head: 3 * time.Second},
		"long order":             {method: http.MethodPost, head: 7 * time.Second},
		"lookup in the body":     {method: http.MethodGet, body: 3 * time.Second},
		"order in the body":      {method: http.MethodPost, head: time.Second, body: 5 * time.Second},
		"upload":                 {method: http.MethodPost, upload: 2 * time.Second},
	}
}

// inFlightHost is an entry host with one workspace and a target that answers as the
// path of the request says.
type inFlightHost struct {
	*entryHost
	addr string
	// target is the address of the target.
	target string
	tree   *super.Tree
	// arrived gets a value for each request that reaches the target.
	arrived chan struct{}
	// cfg is the configuration in force at the start.
	cfg model.Config
}

// callerKey is the key of the workspace of an inFlightHost.
const callerKey = "key"

func newInFlightHost(t *testing.T, serveUnconfirmed bool) *inFlightHost {
	t.Helper()
	f := &inFlightHost{arrived: make(chan struct{}, 100)}
	target := httptest.NewServer(http.HandlerFunc(f.answer))
	t.Cleanup(target.Close)
	tree, stopTree := super.New("test")
	t.Cleanup(stopTree)
	f.tree = tree

	h := newEntryHost(entrySetup{self: proto.Member{Host: "e1", Zone: "z"}, timing: lease.DefaultTiming(), log: logr.Discard(), serveUnconfirmed: true, usesRelay: true})
	h.serveUnconfirmed = serveUnconfirmed // without owners, hosts need shares in any case
	h.mesh = nopLinks{}
	server, stop, err := entry.NewServer(h, h.burn)
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.NoError(t, stop(ctx))
	})
	h.server, f.entryHost = server, h
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.addr = l.Addr().String()
	tree.Go("callers", func(context.Context) error { return server.ServeCallers(l) })
	tree.Go("ticks", func(ctx context.Context) error {
		for ctx.Err() == nil {
			h.tick()
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	})

	cfg := model.NewConfig(nil, nil).WithVersion(1)
	cfg.Defaults.Limits = model.Unlimited()
	cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: "w"})
	cfg.Services = cfg.Services.With("s", model.Service{Name: "s"})
	cfg.Routes = model.NewRoutes([]model.Route{{Name: "r", PathPrefix: "/r", Service: "s", Timeout: 15 * time.Second}})
	cfg.Keys = cfg.Keys.With(model.Key{ID: "k", Workspace: "w", Hash: sha256.Sum256([]byte(callerKey))})
	f.cfg = cfg
	f.change(cfg)
	f.setFreshFor(time.Minute)
	h.applyFreshness(lease.EntryHostCountChanged{Count: 1})
	f.target = target.Listener.Addr().String()
	f.announce(30)
	return f
}

// announce lists the target with a number of slots.
func (f *inFlightHost) announce(slots int) {
	f.applyFreshness(lease.TargetsListed{Targets: []model.Announcement{{Service: "s", Target: "t", Addr: f.target, Zone: "z", Slots: slots, Incarnation: 1, State: model.TargetReady}}})
}

// change puts a configuration in force.
func (f *inFlightHost) change(cfg model.Config) { f.applyFreshness(lease.ConfigChanged{Config: cfg}) }

// setFreshFor sets how long the host may serve without a further confirmation.
func (f *inFlightHost) setFreshFor(d time.Duration) { f.freshUntil.Store(int64(f.clock.now().Add(d))) }

// answer implements the target: the path /r/HEAD/BODY holds milliseconds.
func (f *inFlightHost) answer(w http.ResponseWriter, r *http.Request) {
	f.arrived <- struct{}{}
	_, _ = io.Copy(io.Discard, r.Body)
	parts := strings.Split(r.URL.Path, "/")
	head, _ := strconv.Atoi(parts[2])
	body, _ := strconv.Atoi(parts[3])
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-r.Context().Done():
			return false
		}
	}
	if !pause(time.Duration(head) * time.Millisecond) {
		return
	}
	const chunks = 20
	for range chunks {
		_, _ = w.Write(make([]byte, largeAnswer/chunks))
		_ = http.NewResponseController(w).Flush()
		if !pause(time.Duration(body) * time.Millisecond / chunks) {
			return
		}
	}
}

// inFlightResult is what the caller of a request got.
type inFlightResult struct {
	status int
	length int64
	// endedAt is when the answer, or what there was of it, had arrived.
	endedAt time.Time
	err     error
}

// whole reports whether the caller got the complete answer of the target.
func (r inFlightResult) whole() bool {
	return r.err == nil && r.status == http.StatusOK && r.length == largeAnswer
}

// send sends a request of a case with the key and returns the channel of its result.
func (f *inFlightHost) send(c inFlightCase) <-chan inFlightResult {
	out := make(chan inFlightResult, 1)
	f.tree.Go("caller", func(context.Context) error {
		res := f.do(c)
		res.endedAt = time.Now()
		out <- res
		return nil
	})
	return out
}

func (f *inFlightHost) do(c inFlightCase) inFlightResult {
	var body io.Reader
	if c.upload > 0 {
		body = &slowBody{left: largeUpload, pause: c.upload / (largeUpload / slowBodyPart)}
	} else if c.method == http.MethodPost {
		body = bytes.NewReader([]byte("order"))
	}
	path := fmt.Sprintf("/r/%d/%d", c.head.Milliseconds(), c.body.Milliseconds())
	req, err := http.NewRequest(c.method, "http://"+f.addr+path, body)
	if err != nil {
		return inFlightResult{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return inFlightResult{err: err}
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return inFlightResult{status: resp.StatusCode, length: n, err: errors.Join(err, resp.Body.Close())}
}

// slowBodyPart is the size in bytes of the parts of a slowBody.
const slowBodyPart = 5 << 10

// slowBody is a request body that arrives in parts, with a pause before each.
type slowBody struct {
	left  int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), slowBodyPart, b.left)
	b.left -= n
	return n, nil
}

// sendAll sends all requests of requestsInFlight and returns once each is with the
// target.
func (f *inFlightHost) sendAll(t *testing.T) map[string]<-chan inFlightResult {
	t.Helper()
	results := map[string]<-chan inFlightResult{}
	for name, c := range requestsInFlight() {
		results[name] = f.send(c)
	}
	for range results {
		f.awaitArrival(t)
	}
	return results
}

// awaitArrival waits until the target has got a request.
func (f *inFlightHost) awaitArrival(t *testing.T) {
	t.Helper()
	select {
	case <-f.arrived:
	case <-time.After(10 * time.Second):
		require.Fail(t, "a request did not reach the target")
	}
}

// withoutKey returns the configuration without the key of the workspace.
func withoutKey(cfg model.Config) model.Config {
	cfg.Keys = cfg.Keys.Without(sha256.Sum256([]byte(callerKey)))
	return cfg.WithVersion(cfg.Version + 1)
}

// withoutRoute returns the configuration with another route instead.
func withoutRoute(cfg model.Config) model.Config {
	cfg.Routes = model.NewRoutes([]model.Route{{Name: "other", PathPrefix: "/other", Service: "s"}})
	return cfg.WithVersion(cfg.Version + 1)
}

// withoutService returns the configuration with another route and service instead.
func withoutService(cfg model.Config) model.Config {
	cfg.Services = model.Index[model.ServiceName, model.Service]{}.With("other", model.Service{Name: "other"})
	cfg.Routes = model.NewRoutes([]model.Route{{Name: "other", PathPrefix: "/other", Service: "other"}})
	return cfg.WithVersion(cfg.Version + 1)
}

// movedKey returns the configuration with the key given to another workspace.
func movedKey(cfg model.Config) model.Config {
	cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: "w2"})
	cfg.Keys = cfg.Keys.With(model.Key{ID: "k", Workspace: "w2", Hash: sha256.Sum256([]byte(callerKey))})
	return cfg.WithVersion(cfg.Version + 1)
}

// renamedWorkspace returns the configuration with another name of the workspace.
func renamedWorkspace(cfg model.Config) model.Config {
	cfg.Workspaces = cfg.Workspaces.Without("w")
	return movedKey(cfg)
}

// withdrawnWorkspace returns the configuration with the workspace withdrawn.
func withdrawnWorkspace(cfg model.Config) model.Config {
	v := cfg.Version + 1
	cfg.Workspaces = cfg.Workspaces.With(model.Workspace{ID: "w", Withdrawn: true, WithdrawnAt: v})
	return cfg.WithVersion(v)
}

// TestChangesEndNoRequestAtATarget guards against a request that is ended since a
// change of the configuration takes away what it was accepted by, while a target
// works on it: answers of 3 s once broke off a second after the withdrawal of a key.
func TestChangesEndNoRequestAtATarget(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(model.Config) model.Config
		draining bool
		// confirmed is set for a host that serves confirmed configurations only.
		confirmed bool
		// next is the status of a later request.
		next int
	}{
		"key removed":                  {change: withoutKey, next: http.StatusUnauthorized},
		"key removed on draining host": {change: withoutKey, draining: true, next: http.StatusUnauthorized},
		"workspace withdrawn":          {change: withdrawnWorkspace, next: http.StatusUnauthorized},
		"key moved":                    {change: movedKey, next: http.StatusOK},
		"key moved, confirmed hosts":   {change: movedKey, confirmed: true, next: http.StatusOK},
		"workspace renamed":            {change: renamedWorkspace, next: http.StatusOK},
		"renamed, confirmed hosts":     {change: renamedWorkspace, confirmed: true, next: http.StatusOK},
		"renamed on draining host":     {change: renamedWorkspace, draining: true, next: http.StatusOK},
		"route removed":                {change: withoutRoute, next: http.StatusNotFound},
		"service removed":              {change: withoutService, next: http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newInFlightHost(t, !c.confirmed)
			results := f.sendAll(t)
			if c.confirmed {
				f.setFreshFor(0) // the right to serve by the older configuration has ended
			}
			f.draining.Store(c.draining)
			changed := c.change(f.cfg)
			f.change(changed)
			f.setFreshFor(time.Minute)
			next := <-f.send(inFlightCase{method: http.MethodGet})
			require.Equal(t, c.next, next.status, "a later request is decided by the new configuration")
			for name, res := range results {
				got := <-res
				require.True(t, got.whole(), "%s: %+v", name, got)
			}
		})
	}
}

// TestChangesEndNoWaitOfAValidRequest guards against a request that waits for a target
// and is refused since its route or service is removed, or its workspace renamed.
func TestChangesEndNoWaitOfAValidRequest(t *testing.T) {
	for name, change := range map[string]func(model.Config) model.Config{
		"route removed":     withoutRoute,
		"service removed":   withoutService,
		"workspace renamed": renamedWorkspace,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newInFlightHost(t, true)
			f.announce(1)
			first := f.send(inFlightCase{method: http.MethodGet, head: 1500 * time.Millisecond})
			f.awaitArrival(t)
			second := f.send(inFlightCase{method: http.MethodPost, head: 10 * time.Millisecond})
			require.Eventually(t, func() bool { return f.server.KeyedInFlight() == 2 }, time.Second, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			require.Empty(t, f.arrived, "the second request waits")
			f.change(change(f.cfg))
			for _, res := range []<-chan inFlightResult{first, second} {
				got := <-res
				require.True(t, got.whole(), "%+v", got)
			}
		})
	}
}

// TestWithdrawalEndsWithRightToServe guards against requests that a host which serves
// confirmed configurations only ends sooner than it must, or lets continue after its
// right to serve by the older configuration has ended.
func TestWithdrawalEndsWithRightToServe(t *testing.T) {
	const freshFor = 1200 * time.Millisecond
	bound := freshFor + lease.DefaultTiming().CutoffDelay
	for name, change := range map[string]func(model.Config) model.Config{"key": withoutKey, "workspace": withdrawnWorkspace} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newInFlightHost(t, false)
			results := f.sendAll(t)
			f.setFreshFor(freshFor)
			withdrawnAt := time.Now()
			f.change(change(f.cfg))
			f.setFreshFor(time.Minute) // the confirmation of the new configuration
			evidence := f.evidence(proto.EvidenceAsk{Workspace: "w"})
			require.Equal(t, len(results), evidence.InFlight)
			if name == "workspace" {
				require.InDelta(t, bound, evidence.EndsWithin, float64(200*time.Millisecond))
			}
			for name, res := range results {
				got := <-res
				took := got.endedAt.Sub(withdrawnAt)
				require.Less(t, took, bound+500*time.Millisecond, name)
				require.True(t, got.whole() || took > bound-200*time.Millisecond, "%s ended early: %+v", name, got)
				require.False(t, got.whole() && strings.HasPrefix(name, "long"), "%s continued: %+v", name, got)
			}
			require.Zero(t, f.evidence(proto.EvidenceAsk{Workspace: "w"}).InFlight)
		})
	}
}

// TestKeyIssuedAgainKeepsRequests guards against requests that end because their key
// was withdrawn, although it has been issued again since.
func TestKeyIssuedAgainKeepsRequests(t *testing.T) {
	t.Parallel()
	f := newInFlightHost(t, false)
	res := f.send(inFlightCase{method: http.MethodPost, head: 2 * time.Second})
	f.awaitArrival(t)
	f.setFreshFor(0)
	f.change(withoutKey(f.cfg))
	f.setFreshFor(time.Minute)
	f.change(f.cfg.WithVersion(3))
	got := <-res
	require.True(t, got.whole(), "%+v", got)
}

// TestEvidenceSaysUntilWhenRequestsRun guards against evidence of silence that counts
// requests in flight without saying when they have ended.
func TestEvidenceSaysUntilWhenRequestsRun(t *testing.T) {
	t.Parallel()
	f := newInFlightHost(t, true)
	res := f.send(inFlightCase{method: http.MethodGet, head: time.Second})
	f.awaitArrival(t)
	f.change(withdrawnWorkspace(f.cfg))
	reply := f.evidence(proto.EvidenceAsk{Workspace: "w"})
	require.Equal(t, 1, reply.InFlight)
	require.Greater(t, reply.EndsWithin, 14*time.Second, "the timeout of the route is 15 s")
	require.Less(t, reply.EndsWithin, 18*time.Second)
	host := evaluateHost(seenMember{member: proto.Member{Host: "e1"}}, reply, true, 2, coverage{}, true)
	require.False(t, host.evidence.Covered)
	require.Equal(t, reply.EndsWithin.Milliseconds(), *host.evidence.EndsWithinMs)
	require.Contains(t, host.missing, "1 requests of the workspace in flight, which end within")
	require.True(t, (<-res).whole())
	require.Eventually(t, func() bool { return f.evidence(proto.EvidenceAsk{Workspace: "w"}).InFlight == 0 }, time.Second, 5*time.Millisecond)
}

// TestSilenceIsNotProvedOfHostsThatServeUnconfirmed guards against evidence that
// covers a host which may still serve by the configuration before the withdrawal.
func TestSilenceIsNotProvedOfHostsThatServeUnconfirmed(t *testing.T) {
	m := seenMember{member: proto.Member{Host: "e1"}}
	expired := lease.Coverage{Covered: true}
	for name, c := range map[string]struct {
		reply    proto.EvidenceReply
		answered bool
		covered  bool
	}{
		"no answer":      {},
		"older version":  {reply: proto.EvidenceReply{HeldVersion: 1}, answered: true},
		"hears of it":    {reply: proto.EvidenceReply{HeldVersion: 2}, answered: true, covered: true},
		"still has some": {reply: proto.EvidenceReply{HeldVersion: 2, InFlight: 1}, answered: true},
	} {
		got := evaluateHost(m, c.reply, c.answered, 2, coverage{Coverage: expired, unbounded: true}, true)
		require.Equal(t, c.covered, got.evidence.Covered, name)
		require.Equal(t, c.covered, got.missing == "", name)
		confirmed := evaluateHost(m, c.reply, c.answered, 2, coverage{Coverage: expired}, true)
		require.Equal(t, c.reply.InFlight == 0, confirmed.evidence.Covered, "%s, confirmed hosts", name)
	}
}
