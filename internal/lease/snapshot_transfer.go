package lease

import (
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxInlineItems is the number of workspaces and keys up to which a
	// configuration is encoded inside a step. 2,000 take about 4 ms and 80 KB.
	maxInlineItems = 2000
	// maxChangesAfterOffer is the maximum number of changes between the
	// configuration that a seat offers and the newest one. At 320,000 workspaces a
	// change takes 16 ms to apply.
	maxChangesAfterOffer = 32
)

// sendAsks returns the effects that send requests for parts.
func sendAsks(asks []part.Request) []Effect {
	out := make([]Effect, 0, len(asks))
	for _, a := range asks {
		out = append(out, Send{To: a.To, Msg: a.Msg})
	}
	return out
}

// decode passes a snapshot that arrived in parts to the runtime and sets decoding. It
// does nothing if data is nil.
func decode(data []byte, decoding *bool) []Effect {
	if data == nil {
		return nil
	}
	*decoding = true
	return []Effect{DecodeSnapshot{Data: data}}
}

// isLarge reports whether a configuration is encoded by the runtime instead of inside
// a step, and then sent in parts.
func (s *settings) isLarge(cfg model.Config) bool {
	return s.partSize > 0 || cfg.Workspaces.Len()+cfg.Keys.Len() > maxInlineItems
}

// snapshot returns the configuration for a reply, whole or as an offer of parts. The
// runtime encodes a large configuration first; until then the reply carries neither
// and the asker asks again. An offered configuration may be older than the newest one
// if few changes follow it.
func (s *Seat) snapshot(now model.Instant) ([]byte, *proto.SnapshotOffer, []Effect) {
	var out []Effect
	data := s.hist.encoded
	switch {
	case !s.hist.known:
		return nil, nil, nil
	case !s.isLarge(s.hist.cfg):
		data = s.hist.snapshot()
	case data == nil || !s.mayOfferOlder():
		data, out = nil, s.encode()
	}
	whole, offer := s.sender.Offer(now, data)
	return whole, offer, out
}

// mayOfferOlder reports whether the encoded configuration may be offered although it
// may not be the newest: a receiver then applies at most maxChangesAfterOffer changes.
func (s *Seat) mayOfferOlder() bool {
	if s.hist.encodedAt == s.hist.version() {
		return true
	}
	changes, ok := s.hist.changesFor(s.hist.encodedAt)
	return ok && len(changes) <= maxChangesAfterOffer
}

// encode asks the runtime to encode the newest configuration, unless it is doing so.
func (s *Seat) encode() []Effect {
	if s.encoding {
		return nil
	}
	s.encoding = true
	return []Effect{EncodeConfig{Config: s.hist.cfg}}
}

// takeEncoded stores the configuration that the runtime encoded.
func (s *Seat) takeEncoded(ev ConfigEncoded) {
	s.encoding = false
	if ev.Data != nil && ev.Version <= s.hist.version() {
		s.hist.encoded, s.hist.encodedAt = ev.Data, ev.Version
		s.freeEncodedAt = 0
	}
}

// takeOffer requests the parts of an offered configuration if it is newer than the
// one held.
func (s *Seat) takeOffer(now model.Instant, from model.HostID, newest model.Version, o *proto.SnapshotOffer) []Effect {
	if o == nil || s.decoding || s.hist.known && newest <= s.hist.version() {
		return nil
	}
	return sendAsks(s.receiver.Offer(now, from, *o, uint64(newest)))
}

// tickTransfer repeats lost requests for parts, stops a transfer of a version that is
// no longer newer, and frees the encoded configuration if no host requested it for
// part.RetainFor.
func (s *Seat) tickTransfer(now model.Instant) []Effect {
	idle := s.sender.Expire(now)
	switch {
	case s.hist.encoded == nil || !s.isLarge(s.hist.cfg):
	case !idle || s.freeEncodedAt == 0:
		s.freeEncodedAt = now.Add(part.RetainFor)
	case now >= s.freeEncodedAt:
		s.hist.encoded = nil
	}
	if newest, ok := s.receiver.RunningRank(); ok && s.hist.known && newest <= uint64(s.hist.version()) {
		s.receiver.Stop()
	}
	return sendAsks(s.receiver.Tick(now))
}

// takeOffer requests the parts of an offered configuration if it is newer than the
// one held.
func (f *FreshnessClient) takeOffer(now model.Instant, from model.HostID, m proto.FreshReply) []Effect {
	if m.Offer == nil || f.decoding || f.hist.known && m.Newest <= f.hist.version() {
		return nil
	}
	return sendAsks(f.receiver.Offer(now, from, *m.Offer, uint64(m.Newest)))
}

// takePart stores a part, and has the configuration decoded once all parts are there.
func (f *FreshnessClient) takePart(now model.Instant, from model.HostID, m proto.Part) []Effect {
	asks, data := f.receiver.Part(now, from, m)
	return append(sendAsks(asks), decode(data, &f.decoding)...)
}

// takeDecoded publishes a decoded configuration if it is newer than the one held.
func (f *FreshnessClient) takeDecoded(ev SnapshotDecoded) []Effect {
	f.decoding = false
	if !ev.OK || !f.hist.advanceTo(ev.Config) {
		return nil
	}
	return f.publishConfig()
}

// tickTransfer repeats lost requests for parts and stops a transfer of a version that
// is no longer newer.
func (f *FreshnessClient) tickTransfer(now model.Instant) []Effect {
	if newest, ok := f.receiver.RunningRank(); ok && f.hist.known && newest <= uint64(f.hist.version()) {
		f.receiver.Stop()
	}
	return sendAsks(f.receiver.Tick(now))
}
