package client

import (
	"context"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// decision says how to continue after a request to one host.
type decision struct {
	// retry is set if another host is to be tried.
	retry bool
	// leader is the host to try next, or empty if it is not known.
	leader model.HostID
}

// tryHosts calls ask with one host after the other until ask decides not to retry,
// all rounds are used up or ctx is done. It returns the last error of ask.
func (c *Client) tryHosts(ctx context.Context, ask func(Address) (decision, error)) error {
	var last error
	index := c.loadFirstHost()
	for attempt := range c.rounds * len(c.addrs) {
		if attempt > 0 && attempt%len(c.addrs) == 0 && !sleep(ctx, c.pause*time.Duration(attempt/len(c.addrs))) {
			return last
		}
		next, err := ask(c.addrs[index])
		if !next.retry {
			c.storeFirstHost(index)
			return err
		}
		last = err
		if ctx.Err() != nil {
			return last
		}
		index = c.nextHost(index, next.leader)
	}
	return last
}

// nextHost returns the index of the leader. If the leader is not among the
// addresses or is the host at index, which was just tried, nextHost returns the
// index of the host that follows.
func (c *Client) nextHost(index int, leader model.HostID) int {
	i := slices.IndexFunc(c.addrs, func(a Address) bool { return a.Host == leader })
	if i < 0 || i == index {
		return (index + 1) % len(c.addrs)
	}
	return i
}

func (c *Client) loadFirstHost() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstHost
}

func (c *Client) storeFirstHost(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstHost = index
}

// sleep waits for d. It returns false at once when ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
