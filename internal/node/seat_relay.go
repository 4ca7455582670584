package node

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// seatMessages reports whether a seat takes a message, and whether it alone does.
func seatMessages(m proto.Message) (taken, alone bool) {
	switch m.(type) {
	case proto.FreshReply, proto.SeatStage, proto.SeatLearn, proto.SeatLearnReply, proto.LeaseAsk:
		return true, true
	case proto.FreshAsk, proto.Part:
		return true, false
	default:
		return false, false
	}
}

// addressHost resolves host names of the form IP_PORT.
func addressHost(host model.HostID) string {
	addr, ok := AddrOfHost(host)
	if !ok {
		return ""
	}
	return addr
}

// joinTick is the interval at which membership acts on elapsed time.
const joinTick = 100 * time.Millisecond

// relay answers an entry host on behalf of all control hosts.
func (h *seatHost) relay(from model.HostID, ask proto.FreshAsk, known *knownTargets) {
	var reply proto.FreshReply
	var ok bool
	h.fresh.read(func(now model.Instant) {
		ask = h.freshCore.AssumeDelivered(now, ask)
		reply, ok = h.freshCore.RelayReply(now, ask)
	})
	h.seat.post(lease.HeartbeatReceived{Member: ask.Member})
	if ok && reply.Redirect {
		h.mesh.Send(from, reply)
		return
	}
	if ok {
		known.tell(h.clock.now(), &reply, ask.TargetsDigest)
		reply.FailedTargets = known.failed.recent(h.clock.now())
		known.failed.note(h.clock.now(), ask.FailedTargets...)
		h.fresh.read(func(now model.Instant) { h.freshCore.RecordReply(now, ask, reply) })
		h.mesh.Send(from, reply)
	}
}

// confirmedWithin reports whether this host was confirmed a version lately: it
// then reaches a majority of the seats or the leader.
func (h *seatHost) confirmedWithin(age time.Duration) bool {
	return confirmedWithin(h.clock.now(), model.Instant(h.freshUntil.Load()), age)
}

// confirmedSince waits until this host was confirmed a version by an ask sent
// after an instant, and reports whether it was within a time.
func (h *seatHost) confirmedSince(instant model.Instant, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(leavePoll) {
		if until := model.Instant(h.freshUntil.Load()); until != 0 && until.Add(-lease.DefaultTiming().FreshnessDuration) >= instant {
			return true
		}
	}
	return false
}

// locate tells the seat and the freshness client which hosts the log knows.
func (h *seatHost) locate(cfg model.Config) {
	at := lease.HostsLocated{Seats: cfg.Seats, Controls: cfg.Controls}
	h.fresh.post(at)
	h.seat.post(at)
}
