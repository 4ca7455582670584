package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// Episodes in which a target fails fast, modelled on the users' services: for
	// some seconds, three tenths of the time, three of four requests fail.
	episodeInterval  = 9 * time.Second
	episodeDuration  = 2700 * time.Millisecond
	episodeFailShare = 0.75
	// entryHostCount is the number of hosts over which the requests are spread.
	entryHostCount = 48
)

// episodeLoad runs requests that must not be repeated on targets that have episodes at different times.
type episodeLoad struct {
	harness *ownerHarness
	rng     *rand.Rand
	phases  []time.Duration
	// brokenTargets is the number of targets with an episode that does not end. If
	// it is not 0, the other targets do not fail.
	brokenTargets    int
	running          []runningRequest
	failedRequests   int
	assignedRequests int
	offeredRequests  int
	// lastRequestAt holds, by target, when the target last got a request.
	lastRequestAt []model.Instant
	// lastEpisodeAt holds, by target, when the target was last in an episode.
	lastEpisodeAt []model.Instant
	// failuresByTarget counts the failed requests of each target.
	failuresByTarget []int
	// repeatableShare is the share of requests that may be repeated once elsewhere.
	// They are sent with the objective, as all others.
	repeatableShare float64
	objective       time.Duration
	// asks holds the queries that are not answered, by nonce, and running the rest.
	asks map[uint64]sentAsk
	// servedInTime and servedRequests count the requests that were served, within
	// the objective and in all.
	servedInTime   int
	servedRequests int
	// minServedShare is the least share, over the run, of the healthy targets that
	// got a request within floorWindow.
	minServedShare float64
}

// sentAsk is a query with the time of the request's arrival.
type sentAsk struct {
	ask       proto.SlotAsk
	arrivedAt model.Instant
}

// floorWindow is the time within which the users' requirements demand that a share
// of the healthy targets gets requests. A target counts as healthy again this long after
// an episode.
const floorWindow = 2 * time.Second

// updateServedShare updates minServedShare by the healthy targets that got a
// request within floorWindow.
func (l *episodeLoad) updateServedShare() {
	healthy, served := 0, 0
	for i, at := range l.lastRequestAt {
		if l.inEpisode(i) || l.harness.now.Sub(l.lastEpisodeAt[i]) < floorWindow {
			continue
		}
		healthy++
		if l.harness.now.Sub(at) <= floorWindow {
			served++
		}
	}
	if healthy > 0 {
		l.minServedShare = min(l.minServedShare, float64(served)/float64(healthy))
	}
}

// runningRequest is a request that a target has begun, with the outcome that it will have.
type runningRequest struct {
	startedAt model.Instant
	endsAt    model.Instant
	host      model.HostID
	reply     proto.SlotReply
	end       model.AttemptEnd
	sent      sentAsk
}

func newEpisodeLoad(t *testing.T, targets int, tune Tuning) *episodeLoad {
	h := newOwnerHarness(t, 0)
	h.owner = NewOwner("e0", WithTuning(tune))
	h.step(Configured{Config: model.NewConfig(nil, nil)})
	h.step(EntryHostsChanged{})
	h.step(OwnershipGained{Shard: testShard(), Epoch: 1, Until: 1 << 60})
	l := &episodeLoad{harness: h, rng: rand.New(rand.NewPCG(5, 6)), lastRequestAt: make([]model.Instant, targets), lastEpisodeAt: make([]model.Instant, targets), failuresByTarget: make([]int, targets), asks: map[uint64]sentAsk{}, minServedShare: 1}
	for i := range targets {
		h.announce(i, 1, model.TargetReady)
		l.phases = append(l.phases, time.Duration(l.rng.Int64N(int64(episodeInterval))))
		l.lastRequestAt[i] = h.now
	}
	return l
}

// inEpisode reports whether requests to a target may fail at present.
func (l *episodeLoad) inEpisode(target int) bool {
	if l.brokenTargets > 0 {
		return target < l.brokenTargets
	}
	return (time.Duration(l.harness.now)+l.phases[target])%episodeInterval < episodeDuration
}

// run offers a Poisson load of requests that take 240 ms, or 2 ms if they fail.
func (l *episodeLoad) run(perSecond float64, d time.Duration) {
	due := l.harness.now
	lastTick, lastAnnouncement := l.harness.now, l.harness.now
	for end := l.harness.now.Add(d); l.harness.now < end; l.harness.now = l.harness.now.Add(2 * time.Millisecond) {
		l.finishDue()
		for due <= l.harness.now {
			l.sendRequest()
			due = due.Add(time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for i := range l.lastRequestAt {
			if l.inEpisode(i) {
				l.lastEpisodeAt[i] = l.harness.now
			}
		}
		if l.harness.now.Sub(lastTick) >= 20*time.Millisecond {
			lastTick = l.harness.now
			l.updateServedShare()
			l.startAssigned(l.harness.step(Tick{}))
		}
		if l.harness.now.Sub(lastAnnouncement) >= time.Second {
			lastAnnouncement = l.harness.now
			for i := range l.lastRequestAt {
				l.harness.announce(i, 1, model.TargetReady)
			}
		}
	}
}

// finishDue reports the end of the requests that are done.
func (l *episodeLoad) finishDue() {
	ended := l.running
	l.running = nil
	for _, run := range ended {
		if l.harness.now < run.endsAt {
			l.running = append(l.running, run)
			continue
		}
		l.startAssigned(l.harness.receive(run.host, proto.SlotDone{
			Service: testService, Slot: run.reply.Slot, Workspace: "w", Fingerprint: 1,
			Attempt: model.Attempt{Target: run.reply.Target, Incarnation: run.reply.Incarnation, End: run.end, Latency: l.harness.now.Sub(run.startedAt)},
		}))
		l.finish(run)
	}
}

// finish counts the request of an ended run, or sends it again elsewhere if it may
// be repeated.
func (l *episodeLoad) finish(run runningRequest) {
	if run.end == model.AttemptOK {
		l.servedRequests++
		if l.harness.now.Sub(run.sent.arrivedAt) <= l.objective {
			l.servedInTime++
		}
		return
	}
	if run.sent.ask.AtMostOnce || len(run.sent.ask.Exclude) > 0 {
		l.failedRequests++
		return
	}
	again := run.sent.ask
	again.Nonce = l.harness.newAsk("w", again.Fingerprint).Nonce
	again.Exclude = []model.TargetID{run.reply.Target}
	l.ask(run.host, sentAsk{ask: again, arrivedAt: run.sent.arrivedAt})
}

// ask sends a query to the owner.
func (l *episodeLoad) ask(host model.HostID, sent sentAsk) {
	l.asks[sent.ask.Nonce] = sent
	if l.objective != 0 {
		sent.ask.Objective = l.objective - l.harness.now.Sub(sent.arrivedAt) - 1
	}
	l.startAssigned(l.harness.receive(host, sent.ask))
}

// sendRequest asks for a slot on behalf of a random host.
func (l *episodeLoad) sendRequest() {
	l.offeredRequests++
	ask := l.harness.newAsk("w", model.Fingerprint(l.assignedRequests))
	ask.AtMostOnce = l.repeatableShare == 0 || l.rng.Float64() >= l.repeatableShare
	l.ask(model.HostID(fmt.Sprintf("e%d", l.rng.IntN(entryHostCount))), sentAsk{ask: ask, arrivedAt: l.harness.now})
}

// startAssigned starts the requests that an output of the owner assigns to targets,
// whether or not they had to wait.
func (l *episodeLoad) startAssigned(out []Effect) {
	for _, f := range out {
		send, ok := f.(Send)
		if !ok {
			continue
		}
		if reply, ok := send.Msg.(proto.SlotReply); ok && reply.Status == proto.SlotAssigned {
			l.start(send.To, reply)
		}
	}
}

// start runs a request on its target.
func (l *episodeLoad) start(host model.HostID, reply proto.SlotReply) {
	l.assignedRequests++
	var target int
	for i := range l.lastRequestAt {
		if targetID(i) == reply.Target {
			target = i
		}
	}
	l.lastRequestAt[target] = l.harness.now
	run := runningRequest{startedAt: l.harness.now, endsAt: l.harness.now.Add(240 * time.Millisecond), host: host, reply: reply, end: model.AttemptOK, sent: l.asks[reply.Nonce]}
	delete(l.asks, reply.Nonce)
	if l.inEpisode(target) && l.rng.Float64() < episodeFailShare {
		l.failuresByTarget[target]++
		run.endsAt, run.end = l.harness.now.Add(2*time.Millisecond), model.AttemptError
	}
	l.running = append(l.running, run)
}
