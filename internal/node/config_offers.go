package node

import (
	"sync"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// configOffers holds the encoded configuration that a control host sends to
// entry hosts. It is safe for concurrent use, and separate from the consensus
// core so that encoding a large configuration does not delay heartbeats.
type configOffers struct {
	mu sync.Mutex
	// data is the configuration of at as CBOR, or nil, guarded by mu.
	data []byte
	at   model.Version
	// sender is guarded by mu.
	sender part.Sender
}

// version returns the version of the configuration held, or 0.
func (o *configOffers) version() model.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.at
}

// offer returns what a reply carries for a configuration. While the version
// heldAt is being sent and mayBeOlder is set, that one is offered again.
func (o *configOffers) offer(now model.Instant, cfg model.Config, heldAt model.Version, mayBeOlder bool) ([]byte, *proto.SnapshotOffer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reuse := mayBeOlder && heldAt == o.at && o.sender.Sending(now, o.data)
	if o.data == nil || o.at < cfg.Version && !reuse {
		data, err := codec.EncodeConfig(cfg)
		if err != nil {
			return nil, nil, err
		}
		o.data, o.at = data, cfg.Version
	}
	data, offer := o.sender.Offer(now, o.data)
	return data, offer, nil
}

// answer returns a requested part, or false if the snapshot is not one of these.
func (o *configOffers) answer(now model.Instant, ask proto.PartAsk) (proto.Part, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.sender.Holds(now, ask.Snapshot) {
		return proto.Part{}, false
	}
	return o.sender.Answer(now, ask), true
}

// expire frees a large configuration that nobody has asked for lately.
func (o *configOffers) expire(now model.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sender.Expire(now) && len(o.data) > part.Size {
		o.data, o.at = nil, 0
	}
}
