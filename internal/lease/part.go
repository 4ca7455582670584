package lease

import (
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxInlineItems is the number of workspaces and keys up to which a
	// configuration is encoded in a step; 2,000 take about 4 ms and 80 KB.
	maxInlineItems = 2000
	// maxChangesAfterOffer bounds the changes between the configuration that a
	// seat offers and the newest one. At 320,000 workspaces a change takes 16 ms to apply.
	maxChangesAfterOffer = 32
)

func sendAsks(asks []part.Request) []Effect {
	out := make([]Effect, 0, len(asks))
	for _, a := range asks {
		out = append(out, Send{To: a.To, Msg: a.Msg})
	}
	return out
}

// decode hands a snapshot that arrived in parts to the runtime.
func decode(data []byte, decoding *bool) []Effect {
	if data == nil {
		return nil
	}
	*decoding = true
	return []Effect{DecodeSnapshot{Data: data}}
}

// isLarge reports whether a configuration is encoded by the runtime instead of
// in a step, and then sent in parts.
func (s *settings) isLarge(cfg model.Config) bool {
	return s.partSize > 0 || cfg.Workspaces.Len()+cfg.Keys.Len() > maxInlineItems
}

// snapshot returns what a reply carries for the configuration. A large one is
// encoded by the runtime first; until then the reply carries nothing and the
// asker asks again. It may be older than the newest one if few changes follow it.
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

// mayOfferOlder bounds the changes that a receiver has to apply after the snapshot.
func (s *Seat) mayOfferOlder() bool {
	if s.hist.encodedAt == s.hist.version() {
		return true
	}
	changes, ok := s.hist.update(s.hist.encodedAt)
	return ok && len(changes) <= maxChangesAfterOffer
}

func (s *Seat) encode() []Effect {
	if s.encoding {
		return nil
	}
	s.encoding = true
	return []Effect{EncodeConfig{Config: s.hist.cfg}}
}

func (s *Seat) encoded(ev ConfigEncoded) {
	s.encoding = false
	if ev.Data != nil && ev.Version <= s.hist.version() {
		s.hist.encoded, s.hist.encodedAt = ev.Data, ev.Version
		s.encodedUntil = 0
	}
}

// offered takes the offer of a configuration that is newer than the one held.
func (s *Seat) offered(now model.Instant, from model.HostID, newest model.Version, o *proto.SnapshotOffer) []Effect {
	if o == nil || s.decoding || s.hist.known && newest <= s.hist.version() {
		return nil
	}
	return sendAsks(s.receiver.Offer(now, from, *o, uint64(newest)))
}

// partTick repeats lost requests, ends a transfer that became needless, and
// frees an encoded configuration that nobody has asked for lately.
func (s *Seat) partTick(now model.Instant) []Effect {
	idle := s.sender.Expire(now)
	switch {
	case s.hist.encoded == nil || !s.isLarge(s.hist.cfg):
	case !idle || s.encodedUntil == 0:
		s.encodedUntil = now.Add(part.RetainFor)
	case now >= s.encodedUntil:
		s.hist.encoded = nil
	}
	if newest, ok := s.receiver.RunningRank(); ok && s.hist.known && newest <= uint64(s.hist.version()) {
		s.receiver.Stop()
	}
	return sendAsks(s.receiver.Tick(now))
}

// offered takes the offer of a configuration that is newer than the one held.
func (f *FreshnessClient) offered(now model.Instant, from model.HostID, m proto.FreshReply) []Effect {
	if m.Offer == nil || f.decoding || f.hist.known && m.Newest <= f.hist.version() {
		return nil
	}
	return sendAsks(f.receiver.Offer(now, from, *m.Offer, uint64(m.Newest)))
}

// part takes a part, and has the configuration decoded once it is complete.
func (f *FreshnessClient) part(now model.Instant, from model.HostID, m proto.Part) []Effect {
	asks, data := f.receiver.Part(now, from, m)
	return append(sendAsks(asks), decode(data, &f.decoding)...)
}

func (f *FreshnessClient) decoded(ev SnapshotDecoded) []Effect {
	f.decoding = false
	if !ev.OK || !f.hist.advanceTo(ev.Config) {
		return nil
	}
	return f.changed()
}

func (f *FreshnessClient) partTick(now model.Instant) []Effect {
	if newest, ok := f.receiver.RunningRank(); ok && f.hist.known && newest <= uint64(f.hist.version()) {
		f.receiver.Stop()
	}
	return sendAsks(f.receiver.Tick(now))
}
