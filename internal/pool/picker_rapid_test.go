package pool

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// post is a message on its way.
type post struct {
	from model.HostID
	Send
}

// fleet joins two pickers and two owners by a network that loses, repeats and
// reorders messages.
type fleet struct {
	t       *rapid.T
	now     model.Instant
	pickers map[model.HostID]*Picker
	owners  map[model.HostID]*Owner
	names   []model.HostID
	mail    []post
	epoch   model.Epoch
	n       int
	// deadlines holds requests that have neither been assigned nor refused.
	deadlines map[model.RequestID]model.Instant
	home      map[model.RequestID]model.HostID
	running   []model.RequestID
	// table is the last one of owners.
	table OwnersChanged
	// assigning, if set, is called when an owner gives a slot.
	assigning func(owner model.HostID, r proto.SlotReply)
	// delivering, if set, is called before a message reaches an owner.
	delivering func(p post)
}

func (f *fleet) that(ok bool, invariant string, args ...any) {
	if !ok {
		f.t.Fatalf("broken invariant: "+invariant, args...)
	}
}

func (f *fleet) take(host model.HostID, out []Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case Send:
			if r, ok := e.Msg.(proto.SlotReply); ok && r.Status == proto.SlotAssigned && f.assigning != nil {
				f.assigning(host, r)
			}
			f.mail = append(f.mail, post{from: host, Send: e})
		case Assigned:
			f.finish(e.Request)
			f.running = append(f.running, e.Request)
		case Refused:
			f.finish(e.Request)
		}
	}
}

func (f *fleet) finish(id model.RequestID) {
	_, ok := f.deadlines[id]
	f.that(ok, "request %s ended twice", id)
	delete(f.deadlines, id)
}

func (f *fleet) deliver(p post) {
	ev := Received{From: p.from, Msg: p.Msg}
	switch p.Msg.(type) {
	case proto.SlotReply, proto.ViewReply, proto.RestoreAck:
		f.take(p.To, f.pickers[p.To].Step(f.now, ev))
	default:
		if f.delivering != nil {
			f.delivering(p)
		}
		f.take(p.To, f.owners[p.To].Step(f.now, ev))
	}
}

func (f *fleet) name() model.HostID { return rapid.SampledFrom(f.names).Draw(f.t, "host") }

func (f *fleet) want(*rapid.T) {
	f.n++
	id, host := model.RequestID(fmt.Sprint(f.n)), f.name()
	deadline := f.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(f.t, "budget")) * time.Millisecond)
	f.deadlines[id] = deadline
	f.home[id] = host
	f.take(host, f.pickers[host].Step(f.now, TargetRequested{Request: id, Service: testService, Workspace: "w", Fingerprint: model.Fingerprint(f.n), Deadline: deadline}))
}

func (f *fleet) end(*rapid.T) {
	if len(f.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.running)-1).Draw(f.t, "ended")
	id := f.running[i]
	f.running = append(f.running[:i], f.running[i+1:]...)
	end := model.AttemptEnd(rapid.IntRange(int(model.AttemptOK), int(model.AttemptInvalid)).Draw(f.t, "end"))
	f.take(f.home[id], f.pickers[f.home[id]].Step(f.now, AttemptEnded{Request: id, Attempt: model.Attempt{End: end, Latency: 10 * time.Millisecond}}))
}

func (f *fleet) abandon(*rapid.T) {
	id := model.RequestID(fmt.Sprint(rapid.IntRange(1, f.n+1).Draw(f.t, "request")))
	if _, waits := f.deadlines[id]; waits {
		delete(f.deadlines, id)
		f.take(f.home[id], f.pickers[f.home[id]].Step(f.now, RequestAbandoned{Request: id}))
	}
}

// move delivers, loses or repeats messages in any order.
func (f *fleet) move(*rapid.T) {
	for range min(len(f.mail), 4) {
		i := rapid.IntRange(0, len(f.mail)-1).Draw(f.t, "message")
		p := f.mail[i]
		fate := rapid.IntRange(0, 9).Draw(f.t, "fate")
		if fate > 0 {
			f.mail = append(f.mail[:i], f.mail[i+1:]...)
		}
		if fate != 1 {
			f.deliver(p)
		}
	}
}

func (f *fleet) tick(*rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(f.t, "ms")) * time.Millisecond)
	f.tickAll()
}

func (f *fleet) tickAll() {
	for _, h := range f.names {
		f.take(h, f.pickers[h].Step(f.now, Tick{}))
		f.take(h, f.owners[h].Step(f.now, Tick{}))
	}
	for id, deadline := range f.deadlines {
		f.that(f.now < deadline, "request %s waits beyond its deadline", id)
	}
}

func (f *fleet) announce(*rapid.T) {
	i := rapid.IntRange(0, 3).Draw(f.t, "target")
	f.announceAt(f.name(), i)
}

func (f *fleet) announceAt(h model.HostID, i int) {
	f.take(h, f.pickers[h].Step(f.now, TargetAnnounced{Announcement: model.Announcement{
		Service: testService, Target: targetID(i), Addr: "127.0.0.1:1", Zone: "z", Slots: 3, Incarnation: 1, State: model.TargetReady,
	}}))
}

// own moves the shard; the table of owners reaches one host late.
func (f *fleet) own(*rapid.T) {
	f.epoch++
	next := f.name()
	for _, h := range f.names {
		if h != next {
			f.take(h, f.owners[h].Step(f.now, OwnershipLost{Shard: testShard()}))
		}
	}
	f.take(next, f.owners[next].Step(f.now, OwnershipGained{Shard: testShard(), Epoch: f.epoch, Until: 1 << 60}))
	table := OwnersChanged{Owners: []proto.Owner{{Shard: testShard(), Host: next, Epoch: f.epoch}}}
	f.table = table
	for _, h := range f.names[rapid.IntRange(0, 1).Draw(f.t, "late"):] {
		f.take(h, f.pickers[h].Step(f.now, table))
	}
}

// Guards against requests that end twice or never, and against slots that stay
// in use, over a network that loses, repeats and reorders messages while the
// ownership changes.
func TestPickerAndOwnerOverALossyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			t: t, now: model.Instant(time.Second), names: []model.HostID{"a", "b"},
			pickers: map[model.HostID]*Picker{}, owners: map[model.HostID]*Owner{},
			deadlines: map[model.RequestID]model.Instant{}, home: map[model.RequestID]model.HostID{},
		}
		for _, h := range f.names {
			f.pickers[h] = NewPicker(h, "z")
			f.owners[h] = NewOwner(h)
			f.owners[h].Step(f.now, EntryHostsChanged{Hosts: f.names})
		}
		f.own(t)
		for i := range 4 {
			f.announceAt("a", i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"want": f.want, "want2": f.want, "end": f.end, "end2": f.end, "abandon": f.abandon, "move": f.move, "move2": f.move,
			"move3": f.move, "tick": f.tick, "announce": f.announce, "own": f.own,
		})
		for len(f.running) > 0 {
			f.end(t)
		}
		for range 200 {
			f.now = f.now.Add(20 * time.Millisecond)
			f.tickAll()
		}
		f.that(len(f.deadlines) == 0, "%d requests never ended", len(f.deadlines))
		for _, h := range f.names {
			p := f.pickers[h]
			f.that(len(p.byNonce) == len(p.requests), "queries of ended requests are kept")
			for _, s := range p.ordered {
				f.that(s.queued == 0 && s.inFlight == len(f.runningAt(h)), "requests of a picker miscounted")
			}
			for _, s := range f.owners[h].ordered {
				f.that(len(s.bySlot) == 0, "%d slots stay in use", len(s.bySlot))
			}
		}
	})
}

func (f *fleet) runningAt(h model.HostID) []model.RequestID {
	var list []model.RequestID
	for _, id := range f.running {
		if f.home[id] == h {
			list = append(list, id)
		}
	}
	return list
}
