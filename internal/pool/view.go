package pool

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// refreshView asks for the list of targets. The query also tells whether the
// owner still responds, since one that lets a request wait does not reply to it.
func (p *Picker) refreshView(now model.Instant, s *access) {
	// A service with quarantined requests is kept up to date although unused, so
	// that requests cleared by an operator are not reported to the next owner.
	if s.owner.Host == "" || s.used == 0 || now.Sub(s.used) > usedFor && len(s.quarantine) == 0 {
		return
	}
	every := p.tune.ViewInterval
	if s.unanswered != 0 {
		every = min(every, p.tune.OwnerTimeout/4)
	}
	if s.asked != 0 && now.Sub(s.asked) < every {
		return
	}
	s.asked = now
	s.sent(now)
	// A query only for the owner's life needs no list, which may be long.
	brief := s.digest != 0 && s.listAsked != 0 && now.Sub(s.listAsked) < p.tune.ViewInterval
	if !brief {
		s.listAsked = now
	}
	p.send(s.owner.Host, proto.ViewAsk{Service: s.name, Digest: s.digest, PingOnly: brief})
}

func (p *Picker) takeView(now model.Instant, from model.HostID, m proto.ViewReply) {
	s, ok := p.services[m.Service]
	if !ok || !s.heard(from) || m.Epoch < s.owner.Epoch {
		return
	}
	s.disowned = false
	if m.Digest == 0 || s.report != nil && !s.report.taken {
		// The owner does not know yet what the last view says.
		return
	}
	s.viewAt = now
	if m.Digest == s.digest {
		return
	}
	s.digest = m.Digest
	s.view = m.Targets
	s.viewEpoch = m.Epoch
	s.viewTaken = now
	s.quarantine = nil
	for _, q := range m.QuarantinedRequests {
		s.quarantine = append(s.quarantine, quarantined{workspace: q.Workspace, fingerprint: q.Fingerprint, until: now.Add(q.Remaining)})
	}
}
