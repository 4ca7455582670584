package link

import (
	"reflect"
	"sync"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Traffic counts the messages of one type that a host has sent. Bytes are those
// of the encoded messages, before compression.
type Traffic struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
	// OtherZoneMessages and OtherZoneBytes count the part of Messages and Bytes that
	// went to another availability zone.
	OtherZoneMessages uint64 `json:"other_zone_messages"`
	OtherZoneBytes    uint64 `json:"other_zone_bytes"`
}

// TrafficStats counts the messages and bytes that a host has sent on all links.
type TrafficStats struct {
	// Types holds the traffic by the name of the message type. It does not include
	// messages that go via another host or are forwarded for one.
	Types map[string]Traffic `json:"types"`
	// WireBytes counts the bytes of the frames as sent, after compression.
	WireBytes uint64 `json:"wire_bytes"`
	// OtherZoneWireBytes is the part of WireBytes that went to another zone.
	OtherZoneWireBytes uint64 `json:"other_zone_wire_bytes"`
}

// traffic counts the messages and bytes that a mesh sends. It is safe for
// concurrent use.
type traffic struct {
	// zone is the availability zone of this host.
	zone model.ZoneName

	mu sync.Mutex
	// types, wireBytes and otherZoneWireBytes are guarded by mu.
	types                         map[reflect.Type]*Traffic
	wireBytes, otherZoneWireBytes uint64
}

func newTraffic(zone model.ZoneName) *traffic {
	return &traffic{zone: zone, types: map[reflect.Type]*Traffic{}}
}

// countMessage counts a message of size bytes to a host of a zone. A host whose
// zone is unknown, and so "", counts as one of this zone.
func (t *traffic) countMessage(msg proto.Message, zone model.ZoneName, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kind := reflect.TypeOf(msg)
	c := t.types[kind]
	if c == nil {
		c = &Traffic{}
		t.types[kind] = c
	}
	c.Messages++
	c.Bytes += uint64(size)
	if t.isOtherZone(zone) {
		c.OtherZoneMessages++
		c.OtherZoneBytes += uint64(size)
	}
}

// countWireBytes counts a frame of size bytes, as sent, to a host of a zone.
func (t *traffic) countWireBytes(zone model.ZoneName, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wireBytes += uint64(size)
	if t.isOtherZone(zone) {
		t.otherZoneWireBytes += uint64(size)
	}
}

// isOtherZone reports whether a zone is known and not that of this host.
func (t *traffic) isOtherZone(zone model.ZoneName) bool { return zone != "" && zone != t.zone }

func (t *traffic) stats() TrafficStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := TrafficStats{Types: make(map[string]Traffic, len(t.types)), WireBytes: t.wireBytes, OtherZoneWireBytes: t.otherZoneWireBytes}
	for kind, c := range t.types {
		s.Types[kind.Name()] = *c
	}
	return s
}

// Traffic returns the counts of the messages and bytes that this host has sent.
func (m *Mesh) Traffic() TrafficStats { return m.traffic.stats() }
