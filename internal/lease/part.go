package lease

import (
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func sendAsks(asks []part.Ask) []Effect {
	out := make([]Effect, 0, len(asks))
	for _, a := range asks {
		out = append(out, Send{To: a.To, Msg: a.Msg})
	}
	return out
}

// snapshot returns what a reply carries for the configuration: the newest one,
// or an older one whose transfer is under way and whose following changes this
// seat still holds.
func (s *Seat) snapshot(now model.Instant) ([]byte, *proto.SnapshotOffer) {
	data := s.hist.encoded
	_, held := s.hist.update(s.hist.encodedAt)
	if !held || !s.sender.Sending(now, data) {
		data = s.hist.snapshot()
	}
	return s.sender.Offer(now, data)
}

// offered takes the offer of a configuration that is newer than the one held.
func (s *Seat) offered(now model.Instant, from model.HostID, newest model.Version, o *proto.SnapshotOffer) []Effect {
	if o == nil || s.hist.known && newest <= s.hist.version() {
		return nil
	}
	return sendAsks(s.receiver.Offer(now, from, *o, uint64(newest)))
}

// partTick repeats lost requests, ends a transfer that became needless, and
// frees an encoded configuration that nobody has asked for lately.
func (s *Seat) partTick(now model.Instant) []Effect {
	if s.sender.Expire(now) && len(s.hist.encoded) > part.Size {
		s.hist.encoded = nil
	}
	if newest, ok := s.receiver.Running(); ok && s.hist.known && newest <= uint64(s.hist.version()) {
		s.receiver.Stop()
	}
	return sendAsks(s.receiver.Tick(now))
}

// offered takes the offer of a configuration that is newer than the one held.
func (f *Fresh) offered(now model.Instant, from model.HostID, m proto.FreshReply) []Effect {
	if m.Offer == nil || f.hist.known && m.Newest <= f.hist.version() {
		return nil
	}
	return sendAsks(f.receiver.Offer(now, from, *m.Offer, uint64(m.Newest)))
}

// part takes a part, and the configuration once it is complete.
func (f *Fresh) part(now model.Instant, from model.HostID, m proto.Part) []Effect {
	asks, data := f.receiver.Part(now, from, m)
	out := sendAsks(asks)
	if f.hist.advance(nil, data) {
		out = append(out, f.changed()...)
	}
	return out
}

func (f *Fresh) partTick(now model.Instant) []Effect {
	if newest, ok := f.receiver.Running(); ok && f.hist.known && newest <= uint64(f.hist.version()) {
		f.receiver.Stop()
	}
	return sendAsks(f.receiver.Tick(now))
}
