package node

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// seatTakes reports whether a seat handles a message, and whether nothing else
// does.
func seatTakes(m proto.Message) (handles, exclusively bool) {
	switch m.(type) {
	case proto.FreshReply, proto.SeatStage, proto.SeatLearn, proto.SeatLearnReply, proto.LeaseAsk:
		return true, true
	case proto.FreshAsk, proto.Part:
		return true, false
	default:
		return false, false
	}
}

// resolveHostName returns the address in a host name of the form IP_PORT, or ""
// for other names.
func resolveHostName(host model.HostID) string {
	addr, ok := AddrOfHost(host)
	if !ok {
		return ""
	}
	return addr
}

// membershipTickInterval is the interval at which the membership planner acts on
// elapsed time.
const membershipTickInterval = 100 * time.Millisecond

// answerRelayedAsk answers an entry host on behalf of all control hosts.
func (h *seatHost) answerRelayedAsk(from model.HostID, ask proto.FreshAsk, known *knownTargets) {
	var reply proto.FreshReply
	var ok bool
	h.freshness.read(func(now model.Instant) {
		ask = h.freshnessCore.AssumeDelivered(now, ask)
		reply, ok = h.freshnessCore.RelayReply(now, ask)
	})
	h.seat.post(lease.HeartbeatReceived{Member: ask.Member})
	if ok && reply.Redirect {
		h.mesh.Send(from, reply)
		return
	}
	if ok {
		known.fillReply(h.clock.now(), &reply, ask.TargetsDigest)
		reply.FailedTargets = known.failedTargets.recent(h.clock.now())
		known.failedTargets.record(h.clock.now(), ask.FailedTargets...)
		h.freshness.read(func(now model.Instant) { h.freshnessCore.RecordReply(now, ask, reply) })
		h.mesh.Send(from, reply)
	}
}

// confirmedWithin reports whether this host was confirmed a version by an ask
// sent at most age ago. It then reaches a majority of the seats or the leader.
func (h *seatHost) confirmedWithin(age time.Duration) bool {
	return confirmedWithin(h.clock.now(), model.Instant(h.freshUntil.Load()), age)
}

// confirmedSince waits until this host was confirmed a version by an ask sent
// after an instant. It reports whether that happened within the given time.
func (h *seatHost) confirmedSince(instant model.Instant, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(leaveConfirmPollInterval) {
		if until := model.Instant(h.freshUntil.Load()); until != 0 && until.Add(-lease.DefaultTiming().FreshnessDuration) >= instant {
			return true
		}
	}
	return false
}

// setLocatedHosts tells the seat and the freshness client which control hosts and
// seats the configuration log names.
func (h *seatHost) setLocatedHosts(cfg model.Config) {
	located := lease.HostsLocated{Seats: cfg.Seats, Controls: cfg.Controls}
	h.freshness.post(located)
	h.seat.post(located)
}
