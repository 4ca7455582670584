package pool

import (
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// announceInterval is the interval of a target's announcements.
const announceInterval = time.Second

// handleAnnouncement keeps an announcement that this host took and forwards it to
// the owner. Some announcements also trigger a probe of the target.
func (p *Picker) handleAnnouncement(now model.Instant, a model.Announcement) {
	s := p.service(a.Service)
	i, ok := s.findAnnouncement(a.Target)
	if ok && isOlderAnnouncement(a, s.announcements[i].announcement) {
		return
	}
	if !ok {
		s.announcements = slices.Insert(s.announcements, i, receivedAnnouncement{})
	}
	s.announcements[i] = receivedAnnouncement{announcement: a, receivedAt: now}
	s.recordCold(now, a.Target, a.Incarnation, a.ColdRemaining)
	if s.owner.Host != "" {
		p.send(s.owner.Host, proto.TargetNews{Announcement: a})
	}
	// Every announcement reaches one host, so that a target is probed once per
	// ProbeInterval on average.
	if a.State == model.TargetReady && p.rng.Float64() < float64(announceInterval)/float64(p.tune.ProbeInterval) {
		p.emit(Probe{Service: a.Service, Target: a.Target, Incarnation: a.Incarnation, Addr: a.Addr})
	}
}

// isOlderAnnouncement reports whether a is overtaken by b.
func isOlderAnnouncement(a, b model.Announcement) bool {
	return a.Incarnation < b.Incarnation || a.Incarnation == b.Incarnation && a.State < b.State
}

// findAnnouncement returns the index of a target's announcement, or where to insert it.
func (s *pickerService) findAnnouncement(id model.TargetID) (int, bool) {
	return slices.BinarySearchFunc(s.announcements, id, func(n receivedAnnouncement, id model.TargetID) int {
		return strings.Compare(string(n.announcement.Target), string(id))
	})
}

func (p *Picker) expireAnnouncements(now model.Instant, s *pickerService) {
	s.announcements = slices.DeleteFunc(s.announcements, func(n receivedAnnouncement) bool { return now.Sub(n.receivedAt) > p.tune.RemoveAfter })
}

// handleProbeResult keeps whether the target is cold, and passes the result to the owner.
func (p *Picker) handleProbeResult(now model.Instant, ev Probed) {
	s := p.service(ev.Service)
	if ev.ReportsCold {
		s.recordCold(now, ev.Target, ev.Incarnation, ev.ColdRemaining)
	}
	if s.owner.Host != "" {
		p.send(s.owner.Host, proto.ProbeResult(ev))
	}
}

// setOwners replaces the table of owners. A new owner gets the recent announcements
// at once, and the waiting queries when it is ready.
func (p *Picker) setOwners(now model.Instant, owners []proto.Owner) {
	next := make(map[model.ShardID]proto.Owner, len(owners))
	for _, o := range owners {
		if old, ok := p.owners[o.Shard]; ok && old.Epoch > o.Epoch {
			o = old
		}
		next[o.Shard] = o
	}
	p.owners = next
	p.updateReports(now, owners)
	for _, s := range p.ordered {
		s.report = p.findReport(s.shard)
		if o := next[s.shard]; o != s.owner {
			p.changeOwner(now, s, o)
		}
	}
}

// changeOwner starts over with a new owner, or serves the waiting requests locally if there is none.
func (p *Picker) changeOwner(now model.Instant, s *pickerService, o proto.Owner) {
	s.owner = o
	s.ownerDisclaimed = false
	s.unansweredSince = 0
	s.viewAskedAt, s.listAskedAt = 0, 0
	if o.Host == "" {
		p.serveLocally(now, s)
		return
	}
	for _, n := range s.announcements {
		if now.Sub(n.receivedAt) <= p.tune.MaxAnnouncementAge || n.announcement.State != model.TargetReady {
			p.send(o.Host, proto.TargetNews{Announcement: n.announcement.Aged(now.Sub(n.receivedAt))})
		}
	}
	p.refreshView(now, s)
}
