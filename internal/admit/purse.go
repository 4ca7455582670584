package admit

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxDraws is how many draws of a workspace may be under way at a host.
	maxDraws = 4
	// demandWindow is the interval over which arrivals are counted.
	demandWindow = 100 * time.Millisecond
	// demandWeight is the weight of the newest window.
	demandWeight = 0.3
	// prefetchShare is the part of a token's validity for which tokens are
	// drawn ahead: at the demand of one token per part, a token expires unused
	// once in e^8 times.
	prefetchShare = 1.0 / 8
	// maxDrawing is how many requests of a workspace at a host are told to expect a token.
	maxDrawing = 16
	// maxWaiting bounds the waiting requests of a workspace at a host.
	maxWaiting = 4096
)

// purse is what a wallet holds for one workspace.
type purse struct {
	workspace model.WorkspaceID
	shard     model.ShardID
	lots      []lot
	waiting   []waiter
	draws     []draw
	// valid is the validity that the owner gave last, or 0.
	valid time.Duration
	// drawFrom is when the next draw may be sent after the owner had no token.
	drawFrom model.Instant
	// answered is set once an owner answered, and answeredAt is when it did last.
	answered   bool
	answeredAt model.Instant
	retryAfter time.Duration
	// scarceUntil is when requests may expect a token again after tokens were short.
	scarceUntil model.Instant
	// outage is set when requests waited without an answer, until the queue is empty or outageEnd.
	outage    bool
	outageEnd model.Instant
	active    bool
	// silentSince is when the first draw since the owner's last answer was sent, or 0.
	silentSince model.Instant
	share       share
	// chance is a number from 0 to 1 that differs between hosts and workspaces.
	chance float64
	demand demand
	used   model.Instant
}

// lot is a number of tokens with one end of validity.
type lot struct {
	tokens int
	until  model.Instant
}

type waiter struct {
	request  model.RequestID
	arrived  model.Instant
	deadline model.Instant
	// drawing is set while TokenExpected holds for the request.
	drawing bool
}

// draw is a DrawAsk without an answer. Its tokens count from sent, however often it is repeated.
type draw struct {
	nonce  uint64
	tokens int
	sent   model.Instant
	last   model.Instant
}

// demand estimates the requests per second of a workspace at this host.
type demand struct {
	start     model.Instant
	count     int
	perSecond float64
}

func (d *demand) add(now model.Instant) {
	for n := 0; now.Sub(d.start) >= demandWindow; n++ {
		if n == 30 { // the estimate is below a 40,000th by then
			d.start, d.perSecond = now, 0
			break
		}
		rate := float64(d.count) / demandWindow.Seconds()
		d.perSecond += demandWeight * (rate - d.perSecond)
		d.start, d.count = d.start.Add(demandWindow), 0
	}
	d.count++
}

// take uses the token that expires first.
func (p *purse) take(now model.Instant) bool {
	best := -1
	for i := 0; i < len(p.lots); {
		if p.lots[i].tokens == 0 || now >= p.lots[i].until {
			p.lots[i] = p.lots[len(p.lots)-1]
			p.lots = p.lots[:len(p.lots)-1]
			continue
		}
		if best < 0 || p.lots[i].until < p.lots[best].until {
			best = i
		}
		i++
	}
	if best < 0 {
		return false
	}
	p.lots[best].tokens--
	return true
}

func (p *purse) held(now model.Instant) int {
	n := 0
	for _, l := range p.lots {
		if now < l.until {
			n += l.tokens
		}
	}
	return n
}

func (p *purse) underWay() int {
	n := 0
	for _, d := range p.draws {
		n += d.tokens
	}
	return n
}

// want returns how many tokens to draw now.
func (p *purse) want(now model.Instant) int {
	ahead := int(p.demand.perSecond * p.valid.Seconds() * prefetchShare)
	stock := p.held(now) + p.underWay()
	if missing := len(p.waiting) - stock; missing > 0 {
		return missing + ahead
	}
	if left := stock - len(p.waiting); left <= ahead/2 {
		return ahead - left
	}
	return 0
}
