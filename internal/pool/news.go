package pool

import (
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// announceEvery is the interval of a target's announcements.
const announceEvery = time.Second

// announced keeps and forwards an announcement that this host took, and now
// and then probes the target.
func (p *Picker) announced(now model.Instant, a model.Announcement) {
	s := p.access(a.Service)
	i, ok := s.findNews(a.Target)
	if ok && olderNews(a, s.news[i].announcement) {
		return
	}
	if !ok {
		s.news = slices.Insert(s.news, i, news{})
	}
	s.news[i] = news{announcement: a, at: now}
	if s.owner.Host != "" {
		p.send(s.owner.Host, proto.TargetNews{Announcement: a})
	}
	// Every announcement reaches one host, so that the targets are probed once per ProbeEvery in the mean.
	if a.State == model.TargetReady && p.rng.Float64() < float64(announceEvery)/float64(p.tune.ProbeInterval) {
		p.emit(Probe{Service: a.Service, Target: a.Target, Incarnation: a.Incarnation, Addr: a.Addr})
	}
}

func olderNews(a, b model.Announcement) bool {
	return a.Incarnation < b.Incarnation || a.Incarnation == b.Incarnation && a.State < b.State
}

func (s *access) findNews(id model.TargetID) (int, bool) {
	return slices.BinarySearchFunc(s.news, id, func(n news, id model.TargetID) int {
		return strings.Compare(string(n.announcement.Target), string(id))
	})
}

func (p *Picker) expireNews(now model.Instant, s *access) {
	s.news = slices.DeleteFunc(s.news, func(n news) bool { return now.Sub(n.at) > p.tune.RemoveAfter })
}

// probed passes a probe result to the owner.
func (p *Picker) probed(_ model.Instant, ev Probed) {
	if s := p.access(ev.Service); s.owner.Host != "" {
		p.send(s.owner.Host, proto.ProbeResult(ev))
	}
}

// setOwners replaces the table of owners. A new owner learns the recent
// announcements at once, and the waiting requests when it is ready.
func (p *Picker) setOwners(now model.Instant, owners []proto.Owner) {
	next := make(map[model.ShardID]proto.Owner, len(owners))
	for _, o := range owners {
		if old, ok := p.owners[o.Shard]; ok && old.Epoch > o.Epoch {
			o = old
		}
		next[o.Shard] = o
	}
	p.owners = next
	p.setReports(now, owners)
	for _, s := range p.ordered {
		s.report = p.report(s.shard)
		if o := next[s.shard]; o != s.owner {
			p.changeOwner(now, s, o)
		}
	}
}

func (p *Picker) changeOwner(now model.Instant, s *access, o proto.Owner) {
	s.owner = o
	s.disowned = false
	s.unanswered = 0
	s.asked, s.listAsked = 0, 0
	if o.Host == "" {
		p.serveLocally(now, s)
		return
	}
	for _, n := range s.news {
		if now.Sub(n.at) <= p.tune.MaxAnnouncementAge || n.announcement.State != model.TargetReady {
			p.send(o.Host, proto.TargetNews{Announcement: n.announcement})
		}
	}
	p.refreshView(now, s)
}
