package pool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// changing is a fleet whose hosts also disappear and come back as new processes.
type changing struct {
	*fleet
	absent map[model.HostID]bool
	runs   model.Incarnation
	// ended holds the ends of slots that reached the owner of an epoch.
	ended map[endedAt]bool
	given map[uint64]bool
	// restored and complete count what the events reach.
	restored, complete int
}

// endedAt is the end of a host's slot at the owner of an epoch.
type endedAt struct {
	epoch model.Epoch
	host  model.HostID
	slot  uint64
}

func (c *changing) noteEnd(p post) {
	if m, ok := p.Msg.(proto.SlotDone); ok {
		if t, ok := c.owners[p.To].tenures[testShard()]; ok {
			c.ended[endedAt{epoch: t.epoch, host: p.from, slot: m.Slot}] = true
		}
	}
}

func (c *changing) newPicker(h model.HostID) {
	c.runs++
	c.pickers[h] = NewPicker(h, "z", WithIncarnation(c.runs))
}

func (c *changing) members() EntryHostsChanged {
	var ev EntryHostsChanged
	for _, h := range c.names {
		if !c.absent[h] {
			ev.Hosts = append(ev.Hosts, h)
		}
	}
	return ev
}

// gone ends a host's process; messages from it may still arrive. The host
// comes back unless it was already absent, and reports as a new process.
func (c *changing) gone(*rapid.T) {
	h := c.name()
	if c.absent[h] {
		c.absent[h] = false
	} else {
		c.absent[h] = true
		c.newPicker(h)
		kept := c.running[:0]
		for _, id := range c.running {
			if c.home[id] != h {
				kept = append(kept, id)
			}
		}
		c.running = kept
		for id := range c.deadlines {
			if c.home[id] == h {
				delete(c.deadlines, id)
			}
		}
	}
	for _, o := range c.names {
		c.take(o, c.owners[o].Step(c.now, c.members()))
		if c.absent[h] {
			c.take(o, c.owners[o].Step(c.now, HostGone{Host: h}))
		}
	}
	if c.absent[h] {
		return
	}
	c.take(h, c.pickers[h].Step(c.now, c.table))
}

// ownTwice changes the owner twice in a row.
func (c *changing) ownTwice(t *rapid.T) {
	c.own(t)
	c.own(t)
}

// settle delivers all messages in order and lets a little time pass.
func (c *changing) settle(*rapid.T) {
	for range 3 {
		for len(c.mail) > 0 {
			p := c.mail[0]
			c.mail = c.mail[1:]
			c.deliver(p)
		}
		c.now = c.now.Add(20 * time.Millisecond)
		c.tickAll()
	}
}

// busy lets requests use most of the slots.
func (c *changing) busy(t *rapid.T) {
	for range 6 {
		c.want(t)
	}
	c.settle(t)
}

// handover changes the owner while requests run and end, and mixes up the reports.
func (c *changing) handover(t *rapid.T) {
	c.busy(t)
	c.own(t)
	c.end(t)
	for range 4 {
		c.move(t)
	}
	c.end(t)
	c.tick(t)
	c.move(t)
}

// quiet lets the owner fall silent, so that hosts choose without it.
func (c *changing) quiet(t *rapid.T) {
	for range 4 {
		c.mail = nil
		c.now = c.now.Add(90 * time.Millisecond)
		c.tickAll()
	}
	c.want(t)
	c.want(t)
	c.tick(t)
}

// check verifies the owner's count against what the hosts hold.
func (c *changing) check(*rapid.T) {
	for _, h := range c.names {
		for _, s := range c.owners[h].ordered {
			c.checkCount(s)
			c.checkHeld(c.owners[h], s)
		}
	}
}

func (c *changing) checkCount(s *service) {
	announced, healthy := s.capacity()
	c.that(float64(healthy)+1e-9 >= s.floor*float64(announced), "capacity below the floor")
	own, restored, byWorkspace, byHost := 0, 0, map[*workspace]int{}, map[int32]int{}
	for _, t := range s.targets {
		n := 0
		for _, l := range t.busy {
			byWorkspace[l.workspace]++
			byHost[l.host]++
			if l.restored {
				n++
				c.that(s.restored[l.askKey] == l, "a restored slot is not indexed once")
				continue
			}
			own++
			c.that(s.bySlot[l.id] == l && s.byAsk[l.askKey] == l, "a slot is not indexed once")
		}
		c.that(n == t.restoredSlots, "restored slots of a target miscounted")
		restored += n
	}
	c.restored += restored
	c.that(own == len(s.bySlot) && own == len(s.byAsk) && restored == len(s.restored), "slots miscounted")
	for _, w := range s.workspaces {
		c.that(byWorkspace[w] == w.inUse, "slots of a workspace miscounted")
	}
	for i := range s.hosts {
		c.that(byHost[int32(i)] == s.hosts[i].inUse, "slots of a host miscounted")
	}
}

// checkHeld demands that an owner counts every attempt of a host whose last
// report it took, and that it gives a target no slot beyond those announced.
func (c *changing) checkHeld(o *Owner, s *service) {
	tenure, ok := o.tenures[s.shard]
	if !ok {
		return
	}
	for _, t := range s.targets {
		for _, l := range t.busy {
			c.that(!c.ended[endedAt{epoch: tenure.epoch, host: o.hostNames[l.host], slot: l.id}], "slot %x is counted after its end", l.id)
		}
		c.that(len(t.busy) <= t.slots || t.restoredSlots > 0, "target %s has %d slots in use", t.id, len(t.busy))
	}
	if !tenure.restore.complete {
		c.that(len(s.bySlot) == 0, "assigned before the reports")
		return
	}
	for _, h := range c.names {
		r := c.pickers[h].report(s.shard)
		if c.absent[h] || r == nil || r.due || r.owner.Host != o.self || r.owner.Epoch != tenure.epoch {
			continue
		}
		c.complete++
		host := o.hostIndex[h]
		for _, q := range c.pickers[h].access(s.name).held {
			if c.now >= q.deadline {
				continue
			}
			_, own := s.bySlot[q.slot]
			_, other := s.restored[askKey{host: host, nonce: q.slot}]
			c.that(own != other, "slot %x of %s is counted by own=%t restored=%t", q.slot, h, own, other)
		}
	}
}

// beforeReply verifies the count at the moment of an assignment. A repeated
// reply is none: a report may have restored more slots since the first.
func (c *changing) beforeReply(owner model.HostID, r proto.SlotReply) {
	if c.given[r.Slot] {
		return
	}
	c.given[r.Slot] = true
	t := c.owners[owner].services[testService].byTarget[r.Target]
	c.that(len(t.busy) <= t.slots, "given with %d slots in use", len(t.busy))
}

// Guards against restored slots that are lost or counted twice, assignments
// beyond a target's slots and capacity below the floor, when reports are lost,
// repeated, late and reordered, their hosts disappear and owners change twice in a row.
func TestRestoreOverALossyNetwork(t *testing.T) {
	restored, complete := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := &changing{absent: map[model.HostID]bool{}, ended: map[endedAt]bool{}, given: map[uint64]bool{}, fleet: &fleet{
			t: t, now: model.Instant(time.Second), names: []model.HostID{"a", "b", "c"},
			pickers: map[model.HostID]*Picker{}, owners: map[model.HostID]*Owner{},
			deadlines: map[model.RequestID]model.Instant{}, home: map[model.RequestID]model.HostID{},
		}}
		c.assigning, c.delivering = c.beforeReply, c.noteEnd
		for _, h := range c.names {
			c.newPicker(h)
			c.owners[h] = NewOwner(h)
			c.owners[h].Step(c.now, c.members())
		}
		c.own(t)
		for i := range 4 {
			c.announceAt("a", i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": c.check, "want": c.want, "want2": c.want, "want3": c.want, "end": c.end, "abandon": c.abandon,
			"move": c.move, "move2": c.move, "move3": c.move, "move4": c.move, "tick": c.tick, "announce": c.announce,
			"settle": c.settle, "busy": c.busy, "handover": c.handover, "handover2": c.handover, "quiet": c.quiet, "own": c.own, "ownTwice": c.ownTwice, "gone": c.gone,
		})
		for len(c.running) > 0 {
			c.end(t)
		}
		for range 200 {
			c.now = c.now.Add(20 * time.Millisecond)
			c.tickAll()
		}
		for _, h := range c.names {
			for _, s := range c.owners[h].ordered {
				c.that(len(s.bySlot)+len(s.restored) == 0, "%d slots stay in use", len(s.bySlot)+len(s.restored))
			}
		}
		restored += c.restored
		complete += c.complete
	})
	if restored == 0 || complete == 0 {
		t.Fatalf("the events never lead to a restored slot (%d) or a report that was taken (%d)", restored, complete)
	}
}
