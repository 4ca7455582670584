package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request that a caller sent and the answer that it received.
// status is 0 if no answer came.
type attempt struct {
	path      string
	workspace string
	sentAt    time.Time
	status    int
	outcome   string
	requestID string
	// answeredBy and answeredRequestID are the target and the request ID in the body
	// of the answer.
	answeredBy        string
	answeredRequestID string
	isReplayed        bool
	// isBodyComplete reports whether the whole body was received and is valid JSON.
	isBodyComplete bool
}

// callers sends requests through the proxies before the entry hosts and records each
// attempt. It is safe for concurrent use.
type callers struct {
	fleet  *fleet
	client *http.Client

	mu         sync.Mutex
	attempts   []attempt
	lastNumber int
}

// callTimeout exceeds the deadline of a request, so that late answers are read too.
const callTimeout = 12 * time.Second

// newCallers returns callers of a fleet without any attempts.
func newCallers(f *fleet) *callers {
	return &callers{fleet: f, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// nextNumber returns a number that no other request path or order key has.
func (c *callers) nextNumber() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// call sends one request through the proxy of an entry host, counted from 1, and
// records the attempt. An empty orderKey sends none.
func (c *callers) call(ctx context.Context, proxyNumber int, method, path, workspace, key, orderKey string) attempt {
	s := attempt{path: path, workspace: workspace, sentAt: time.Now()}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.attempts = append(c.attempts, s)
	}()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.addr(portCallerProxy, proxyNumber)+path, strings.NewReader(orderKey))
	if err != nil {
		return s
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", "5000")
	if orderKey != "" {
		req.Header.Set("Idempotency-Key", orderKey)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s.status, s.outcome, s.requestID = resp.StatusCode, resp.Header.Get("X-Outcome"), resp.Header.Get("X-Request-Id")
	s.isReplayed = resp.Header.Get("Idempotency-Replayed") != ""
	var answer struct {
		Target    string `json:"target"`
		RequestID string `json:"request_id"`
	}
	s.isBodyComplete = err == nil && json.Unmarshal(body, &answer) == nil
	s.answeredBy, s.answeredRequestID = answer.Target, answer.RequestID
	return s
}

// sleepRandom waits for an exponentially distributed time with the given mean. It
// returns false if ctx ends first.
func sleepRandom(ctx context.Context, r *rand.Rand, mean time.Duration) bool {
	select {
	case <-time.After(time.Duration(r.ExpFloat64() * float64(mean))):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendLookups sends lookups of a workspace until ctx ends.
func (c *callers) sendLookups(ctx context.Context, r *rand.Rand, workspace, key string, meanInterval time.Duration) {
	for sleepRandom(ctx, r, meanInterval) {
		c.call(ctx, 1+r.IntN(entryHosts), http.MethodGet, fmt.Sprintf("/stock/%s/%d", workspace, c.nextNumber()), workspace, key, "")
	}
}

// sendOrders sends orders until ctx ends. Each order is retried with the same order
// key, through any entry host, until it has a complete answer or was sent four times.
func (c *callers) sendOrders(ctx context.Context, r *rand.Rand, workspace, key string) {
	for sleepRandom(ctx, r, 60*time.Millisecond) {
		n := c.nextNumber()
		for range 4 {
			s := c.call(ctx, 1+r.IntN(entryHosts), http.MethodPost, fmt.Sprintf("/order/%d", n), workspace, key, fmt.Sprintf("order-%d", n))
			if s.status == http.StatusOK && s.isBodyComplete || !sleepRandom(ctx, r, 200*time.Millisecond) {
				break
			}
		}
	}
}

// attemptsSoFar returns a copy of the recorded attempts.
func (c *callers) attemptsSoFar() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
