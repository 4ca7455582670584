package pool

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// viewKeepAlive is how long after its last request a service's view is kept up to date.
const viewKeepAlive = time.Minute

// refreshView asks for the list of targets when it is due. The query also shows
// whether the owner still responds, since the owner does not reply to a request
// that waits.
func (p *Picker) refreshView(now model.Instant, s *pickerService) {
	// The view of a service with quarantined requests is kept up to date although
	// the service is unused, so that requests cleared by an operator are not
	// reported to the next owner.
	if s.owner.Host == "" || s.lastUsedAt == 0 || now.Sub(s.lastUsedAt) > viewKeepAlive && len(s.quarantine) == 0 {
		return
	}
	interval := p.tune.ViewInterval
	if s.unansweredSince != 0 {
		interval = min(interval, p.tune.OwnerTimeout/4)
	}
	if s.viewAskedAt != 0 && now.Sub(s.viewAskedAt) < interval {
		return
	}
	s.viewAskedAt = now
	s.recordQuery(now)
	// A query that only tests whether the owner responds needs no list, which may be long.
	brief := s.digest != 0 && s.listAskedAt != 0 && now.Sub(s.listAskedAt) < p.tune.ViewInterval
	if !brief {
		s.listAskedAt = now
	}
	p.send(s.owner.Host, proto.ViewAsk{Service: s.name, Digest: s.digest, PingOnly: brief})
}

// handleViewReply takes the owner's list of targets, or its confirmation that the last one is current.
func (p *Picker) handleViewReply(now model.Instant, from model.HostID, m proto.ViewReply) {
	s, ok := p.services[m.Service]
	if !ok || !s.recordReply(from) || m.Epoch < s.owner.Epoch {
		return
	}
	s.ownerDisclaimed = false
	if m.Digest == 0 || s.report != nil && !s.report.acknowledged {
		// The owner's restore is not complete, or the owner has not acknowledged a
		// report of this host, so its list may lack a part of the last view.
		return
	}
	s.viewConfirmedAt = now
	if m.Digest == s.digest {
		return
	}
	s.digest = m.Digest
	s.view = m.Targets
	s.viewEpoch = m.Epoch
	s.viewReceivedAt = now
	s.quarantine = nil
	for _, q := range m.QuarantinedRequests {
		s.quarantine = append(s.quarantine, quarantined{workspace: q.Workspace, fingerprint: q.Fingerprint, until: now.Add(q.Remaining)})
	}
}
