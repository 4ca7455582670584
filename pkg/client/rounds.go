package client

import (
	"context"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// next says what to do after one host was asked.
type next struct {
	// again asks another host.
	again bool
	// leader is the host to ask next, if known.
	leader model.HostID
}

// each calls ask for one host after the other until ask does not want another,
// the rounds are over or ctx ends. It returns the last error of ask.
func (c *Client) each(ctx context.Context, ask func(Address) (next, error)) error {
	var last error
	at := c.start()
	for attempt := range c.rounds * len(c.addrs) {
		if attempt > 0 && attempt%len(c.addrs) == 0 && !sleep(ctx, c.pause*time.Duration(attempt/len(c.addrs))) {
			return last
		}
		n, err := ask(c.addrs[at])
		if !n.again {
			c.remember(at)
			return err
		}
		last = err
		if ctx.Err() != nil {
			return last
		}
		at = c.after(at, n.leader)
	}
	return last
}

// after returns the index of the leader, or of the next host if the leader is not known or was just asked.
func (c *Client) after(at int, leader model.HostID) int {
	i := slices.IndexFunc(c.addrs, func(a Address) bool { return a.Host == leader })
	if i < 0 || i == at {
		return (at + 1) % len(c.addrs)
	}
	return i
}

func (c *Client) start() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first
}

func (c *Client) remember(at int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = at
}

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
