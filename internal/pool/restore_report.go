package pool

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// localSlot marks the number of a slot that a picker chose without an owner; the
// other bits are the nonce of its query. In the numbers that owners assign, this
// bit is 0.
const localSlot = 1 << 63

// maxBrokenAttempts bounds the broken attempts that a picker keeps for a service;
// the oldest is dropped first.
const maxBrokenAttempts = 64

// pendingReport is the state of the restore report that a picker sends to the owner of a shard.
type pendingReport struct {
	shard model.ShardID
	owner proto.Owner
	// serial is the serial of the last report sent.
	serial uint64
	// awaitsAck is set until the owner has acknowledged the last report.
	awaitsAck bool
	// acknowledged is set once the owner has acknowledged any report. Only then
	// does a view of the owner contain what this host received from the earlier owner.
	acknowledged bool
	// ownerReady is set once the owner has sent a RestoreAck with Ready set.
	ownerReady bool
	// ownerSince is when this host received the change to this owner.
	ownerSince model.Instant
	lastSentAt model.Instant
	sendCount  int
}

// brokenReport is an attempt of this host whose connection broke, kept for the next owner.
type brokenReport struct {
	proto.BrokenAttempt
	endedAt model.Instant
}

// allowsQueries reports whether slots may be asked for. A new owner assigns none
// before the hosts have reported, so requests wait here until it is ready.
func (r *pendingReport) allowsQueries(now model.Instant, tune *Tuning) bool {
	return r == nil || r.ownerReady || now.Sub(r.ownerSince) >= tune.RestoreTimeout
}

// updateReports keeps one report for each owned shard, and sends it to new owners.
func (p *Picker) updateReports(now model.Instant, owners []proto.Owner) {
	kept := p.reports[:0:0]
	for _, o := range owners {
		if o.Shard < model.WorkspaceShards {
			continue
		}
		o = p.owners[o.Shard]
		if o.Host == "" {
			continue
		}
		r := p.findReport(o.Shard)
		if r == nil || r.owner != o {
			r = &pendingReport{shard: o.Shard, owner: o, awaitsAck: true, ownerSince: now}
			if p.hasService(o.Shard) {
				p.sendReport(now, r)
			}
		}
		kept = append(kept, r)
	}
	slices.SortFunc(kept, func(a, b *pendingReport) int { return int(a.shard) - int(b.shard) })
	p.reports = kept
}

// findReport returns the report for a shard, or nil if it has no owner.
func (p *Picker) findReport(shard model.ShardID) *pendingReport {
	i, ok := slices.BinarySearchFunc(p.reports, shard, func(r *pendingReport, s model.ShardID) int { return int(r.shard) - int(s) })
	if !ok {
		return nil
	}
	return p.reports[i]
}

// sendReport sends the current state of a shard on this host to the owner.
func (p *Picker) sendReport(now model.Instant, r *pendingReport) {
	p.serial++
	r.serial = p.serial
	r.lastSentAt = now
	r.sendCount++
	m := proto.RestoreReport{Shard: r.shard, Epoch: r.owner.Epoch, Incarnation: p.incarnation, Serial: r.serial}
	for _, s := range p.ordered {
		if s.shard == r.shard {
			s.recordQuery(now)
			m.Services = append(m.Services, p.restoreService(now, s, r.owner.Epoch))
		}
	}
	p.send(r.owner.Host, m)
}

// hasService reports whether a shard has a service. The owner of a shard without
// one has no state to restore.
func (p *Picker) hasService(shard model.ShardID) bool {
	return p.usedShards[shard]
}

// updateUsedShards finds the shards of the services that are configured or in use.
func (p *Picker) updateUsedShards() {
	p.usedShards = map[model.ShardID]bool{}
	for s := range p.cfg.Services.All() {
		p.usedShards[model.ServiceShard(s.Name)] = true
	}
	for _, s := range p.ordered {
		p.usedShards[s.shard] = true
	}
}

// repeatReports repeats the reports that were not acknowledged.
func (p *Picker) repeatReports(now model.Instant) {
	for _, r := range p.reports {
		if r.awaitsAck && p.hasService(r.shard) && now.Sub(r.lastSentAt) >= p.tune.QueryRepeatInterval<<min(max(0, r.sendCount-1), maxRepeatDoublings) {
			p.sendReport(now, r)
		}
	}
}

// reportAgain makes the report of a service's shard due again after a local choice,
// which the current owner has no record of.
func (p *Picker) reportAgain(s *pickerService) {
	r := s.report
	if r == nil {
		return
	}
	// The acknowledgement of a report sent earlier does not cover the new slot.
	p.serial++
	r.serial = p.serial
	if !r.awaitsAck {
		r.awaitsAck = true
		r.sendCount = 0
	}
}

// restoreService returns what this host reports of a service to the owner of an
// epoch. The view is included only if it is from an earlier epoch.
func (p *Picker) restoreService(now model.Instant, s *pickerService, epoch model.Epoch) proto.RestoreService {
	m := proto.RestoreService{Service: s.name}
	for _, r := range s.heldRequests {
		if r.epoch != epoch {
			m.Slots = append(m.Slots, proto.HeldSlot{
				Slot: r.slot, Target: r.target, Incarnation: r.incarnation, Workspace: r.workspace,
				Fingerprint: r.fingerprint, Remaining: max(0, r.deadline.Sub(now)),
			})
		}
	}
	for _, b := range s.brokenAttempts {
		b.Age = now.Sub(b.endedAt)
		m.BrokenAttempts = append(m.BrokenAttempts, b.BrokenAttempt)
	}
	m.NamedRates = s.heldRates()
	if s.digest == 0 || s.viewEpoch >= epoch {
		return m
	}
	m.ViewEpoch, m.ViewDigest = s.viewEpoch, s.digest
	for _, v := range s.view {
		if v.Ejected {
			m.EjectedTargets = append(m.EjectedTargets, proto.EjectedTarget{
				Target: v.Target, Incarnation: v.Incarnation, Remaining: max(0, v.EjectionRemaining-now.Sub(s.viewReceivedAt)),
				Severity: v.Severity, Ejections: v.Ejections,
			})
		}
	}
	m.QuarantinedRequests = listQuarantined(now, s.quarantine)
	return m
}

// listQuarantined returns the entries of the quarantine that are in force.
func listQuarantined(now model.Instant, from []quarantined) []proto.QuarantinedRequest {
	var list []proto.QuarantinedRequest
	for _, q := range from {
		if now < q.until {
			list = append(list, proto.QuarantinedRequest{Workspace: q.workspace, Fingerprint: q.fingerprint, Remaining: q.until.Sub(now)})
		}
	}
	return list
}

// handleRestoreAck ends the repeats of a report. Once the owner is ready, the
// waiting requests are sent to it at once.
func (p *Picker) handleRestoreAck(now model.Instant, from model.HostID, m proto.RestoreAck) {
	r := p.findReport(m.Shard)
	if r == nil || r.owner.Host != from || r.owner.Epoch != m.Epoch {
		return
	}
	r.acknowledged = true
	if m.Serial == r.serial {
		r.awaitsAck = false
	}
	begins := m.Ready && !r.ownerReady
	r.ownerReady = r.ownerReady || m.Ready
	for _, s := range p.ordered {
		if s.shard != m.Shard {
			continue
		}
		s.recordReply(from)
		if begins {
			p.askForWaiting(now, s)
			p.refreshView(now, s)
		}
	}
}

// askForWaiting sends the queries of all waiting requests.
func (p *Picker) askForWaiting(now model.Instant, s *pickerService) {
	for _, r := range s.queue.items[s.queue.head:] {
		if !r.isRemoved {
			p.ask(now, r)
		}
	}
}

// recordBroken keeps a broken attempt to report to the next owner, which starts
// without a record of broken attempts.
func (s *pickerService) recordBroken(now model.Instant, r *request) {
	if len(s.brokenAttempts) == maxBrokenAttempts {
		s.brokenAttempts = slices.Delete(s.brokenAttempts, 0, 1)
	}
	s.brokenAttempts = append(s.brokenAttempts, brokenReport{endedAt: now, BrokenAttempt: proto.BrokenAttempt{
		Slot: r.slot, Target: r.target, Incarnation: r.incarnation, Workspace: r.workspace, Fingerprint: r.fingerprint,
	}})
}

func (s *pickerService) expireBrokenAttempts(now model.Instant, keep time.Duration) {
	s.brokenAttempts = slices.DeleteFunc(s.brokenAttempts, func(b brokenReport) bool { return now.Sub(b.endedAt) > keep })
}

// addHeld adds a request to those that have a target.
func (s *pickerService) addHeld(r *request) {
	r.heldIndex = len(s.heldRequests)
	s.heldRequests = append(s.heldRequests, r)
}

// removeHeld removes a request from those that have a target.
func (s *pickerService) removeHeld(r *request) {
	last := s.heldRequests[len(s.heldRequests)-1]
	s.heldRequests[r.heldIndex] = last
	last.heldIndex = r.heldIndex
	s.heldRequests[len(s.heldRequests)-1] = nil
	s.heldRequests = s.heldRequests[:len(s.heldRequests)-1]
}

// refuseQuarantined refuses a waiting request that is quarantined in the last view,
// and reports whether it did.
func (p *Picker) refuseQuarantined(now model.Instant, s *pickerService, r *request) bool {
	for _, q := range s.quarantine {
		if q.fingerprint == r.fingerprint && q.workspace == r.workspace && now < q.until {
			p.refuseWithRetryAfter(now, r, proto.SlotQuarantined, q.until.Sub(now))
			return true
		}
	}
	return false
}
