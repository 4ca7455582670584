package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// localSlot marks the number of a slot that a picker chose without an owner;
// the other bits are the nonce of its query. Numbers given by owners lack it.
const localSlot = 1 << 63

// maxBroken bounds the broken attempts that a picker keeps of one service; the
// oldest goes first.
const maxBroken = 64

// report is the restore report that a picker owes to the owner of a shard.
type report struct {
	shard model.ShardID
	owner proto.Owner
	// serial numbers the last report sent.
	serial uint64
	// due is set until the owner has acknowledged the last report.
	due bool
	// taken is set once the owner has acknowledged any report. Only then does a
	// view of the owner contain what this host knew of the earlier owner.
	taken bool
	// ready is set when the owner said that it assigns slots.
	ready bool
	since model.Instant
	sent  model.Instant
	tries int
}

// brokenReport is an attempt of this host that ended early.
type brokenReport struct {
	proto.BrokenAttempt
	at model.Instant
}

// asks reports whether slots may be asked for. A new owner gives none before
// the hosts have reported, so requests wait here until it is ready.
func (r *report) asks(now model.Instant, tune *Tuning) bool {
	return r == nil || r.ready || now.Sub(r.since) >= tune.RestoreTimeout
}

// setReports keeps one report for each owned shard and sends it to new owners.
func (p *Picker) setReports(now model.Instant, owners []proto.Owner) {
	kept := p.reports[:0:0]
	for _, o := range owners {
		if o.Shard < model.WorkspaceShards {
			continue
		}
		o = p.owners[o.Shard]
		if o.Host == "" {
			continue
		}
		r := p.report(o.Shard)
		if r == nil || r.owner != o {
			r = &report{shard: o.Shard, owner: o, due: true, since: now}
			if p.serves(o.Shard) {
				p.sendReport(now, r)
			}
		}
		kept = append(kept, r)
	}
	slices.SortFunc(kept, func(a, b *report) int { return int(a.shard) - int(b.shard) })
	p.reports = kept
}

func (p *Picker) report(shard model.ShardID) *report {
	i, ok := slices.BinarySearchFunc(p.reports, shard, func(r *report, s model.ShardID) int { return int(r.shard) - int(s) })
	if !ok {
		return nil
	}
	return p.reports[i]
}

// sendReport sends what this host knows of a shard now.
func (p *Picker) sendReport(now model.Instant, r *report) {
	p.serial++
	r.serial = p.serial
	r.sent = now
	r.tries++
	m := proto.RestoreReport{Shard: r.shard, Epoch: r.owner.Epoch, Incarnation: p.incarnation, Serial: r.serial}
	for _, s := range p.ordered {
		if s.shard == r.shard {
			s.sent(now)
			m.Services = append(m.Services, p.restoreService(now, s, r.owner.Epoch))
		}
	}
	p.send(r.owner.Host, m)
}

// serves reports whether a shard has a service. The owner of a shard without
// one has no state to reconstruct.
func (p *Picker) serves(shard model.ShardID) bool {
	return p.shards[shard]
}

// noteShards notes the shards of the services that are configured or in use.
func (p *Picker) noteShards() {
	p.shards = map[model.ShardID]bool{}
	for s := range p.cfg.Services.All() {
		p.shards[model.ServiceShard(s.Name)] = true
	}
	for _, s := range p.ordered {
		p.shards[s.shard] = true
	}
}

// repeatReports sends the reports that were not acknowledged again.
func (p *Picker) repeatReports(now model.Instant) {
	for _, r := range p.reports {
		if r.due && p.serves(r.shard) && now.Sub(r.sent) >= p.tune.QueryRepeatInterval<<min(max(0, r.tries-1), repeatLimit) {
			p.sendReport(now, r)
		}
	}
}

// reportAgain reports slots that the present owner did not place.
func (p *Picker) reportAgain(s *access) {
	r := s.report
	if r == nil {
		return
	}
	// An acknowledgement of a report that is on its way does not cover them.
	p.serial++
	r.serial = p.serial
	if !r.due {
		r.due = true
		r.tries = 0
	}
}

func (p *Picker) restoreService(now model.Instant, s *access, epoch model.Epoch) proto.RestoreService {
	m := proto.RestoreService{Service: s.name}
	for _, r := range s.held {
		if r.epoch != epoch {
			m.Slots = append(m.Slots, proto.HeldSlot{
				Slot: r.slot, Target: r.target, Incarnation: r.incarnation, Workspace: r.workspace,
				Fingerprint: r.fingerprint, Remaining: max(0, r.deadline.Sub(now)),
			})
		}
	}
	for _, b := range s.broken {
		b.Age = now.Sub(b.at)
		m.BrokenAttempts = append(m.BrokenAttempts, b.BrokenAttempt)
	}
	if s.digest == 0 || s.viewEpoch >= epoch {
		return m
	}
	m.ViewEpoch, m.ViewDigest = s.viewEpoch, s.digest
	for _, v := range s.view {
		if v.Ejected {
			m.EjectedTargets = append(m.EjectedTargets, proto.EjectedTarget{
				Target: v.Target, Incarnation: v.Incarnation, Remaining: max(0, v.EjectionRemaining-now.Sub(s.viewTaken)),
				Severity: v.Severity, Ejections: v.Ejections,
			})
		}
	}
	m.QuarantinedRequests = listQuarantined(now, s.quarantine)
	return m
}

func listQuarantined(now model.Instant, from []quarantined) []proto.QuarantinedRequest {
	var list []proto.QuarantinedRequest
	for _, q := range from {
		if now < q.until {
			list = append(list, proto.QuarantinedRequest{Workspace: q.workspace, Fingerprint: q.fingerprint, Remaining: q.until.Sub(now)})
		}
	}
	return list
}

// restoreAck ends the repeats of a report. Once the owner is ready, the waiting
// requests ask at once.
func (p *Picker) restoreAck(now model.Instant, from model.HostID, m proto.RestoreAck) {
	r := p.report(m.Shard)
	if r == nil || r.owner.Host != from || r.owner.Epoch != m.Epoch {
		return
	}
	r.taken = true
	if m.Serial == r.serial {
		r.due = false
	}
	begins := m.Ready && !r.ready
	r.ready = r.ready || m.Ready
	for _, s := range p.ordered {
		if s.shard != m.Shard {
			continue
		}
		s.heard(from)
		if begins {
			p.askWaiting(now, s)
			p.refreshView(now, s)
		}
	}
}

func (p *Picker) askWaiting(now model.Instant, s *access) {
	for _, r := range s.waiting.items[s.waiting.head:] {
		if !r.gone {
			p.ask(now, r)
		}
	}
}

// noteBroken keeps a broken attempt for the next owner, which has heard of none.
func (s *access) noteBroken(now model.Instant, r *request) {
	if len(s.broken) == maxBroken {
		s.broken = slices.Delete(s.broken, 0, 1)
	}
	s.broken = append(s.broken, brokenReport{at: now, BrokenAttempt: proto.BrokenAttempt{
		Slot: r.slot, Target: r.target, Incarnation: r.incarnation, Workspace: r.workspace, Fingerprint: r.fingerprint,
	}})
}

func (s *access) expireBroken(now model.Instant, keep time.Duration) {
	s.broken = slices.DeleteFunc(s.broken, func(b brokenReport) bool { return now.Sub(b.at) > keep })
}

func (s *access) hold(r *request) {
	r.place = len(s.held)
	s.held = append(s.held, r)
}

func (s *access) release(r *request) {
	last := s.held[len(s.held)-1]
	s.held[r.place] = last
	last.place = r.place
	s.held[len(s.held)-1] = nil
	s.held = s.held[:len(s.held)-1]
}

// refuseQuarantined ends a waiting request that the last view quarantines.
func (p *Picker) refuseQuarantined(now model.Instant, s *access, r *request) bool {
	for _, q := range s.quarantine {
		if q.fingerprint == r.fingerprint && q.workspace == r.workspace && now < q.until {
			p.refuseFor(now, r, proto.SlotQuarantined, q.until.Sub(now))
			return true
		}
	}
	return false
}
