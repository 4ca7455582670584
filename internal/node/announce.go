package node

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// announceTimeout bounds the wait of an announcement for disks and for a
	// confirmation of the fleet. It is shorter than the second after which a target
	// asks another host, and longer than an ask and its reply.
	announceTimeout = 700 * time.Millisecond
	// leaveConfirmPollInterval is the interval at which the confirmation is
	// checked.
	leaveConfirmPollInterval = 10 * time.Millisecond
)

// Announce waits for disks and a confirmation for at most announceTimeout.
func (p *controlAPI) Announce(a model.Announcement, replaced ...model.Announcement) error {
	return p.announceUntil(time.Now().Add(announceTimeout), a, replaced)
}

// announceUntil announces targets and waits until the deadline for what the
// acknowledgement of the first one promises.
func (p *controlAPI) announceUntil(deadline time.Time, a model.Announcement, replaced []model.Announcement) error {
	if p.owner == nil || !p.seat.confirmedWithin(maxConfirmationAge) {
		return ErrNotAuthoritative{Cause: "it does not reach a majority of the fleet"}
	}
	for _, r := range replaced {
		p.owner.announce(r)
	}
	announcedAt := p.seat.clock.now()
	p.owner.announce(a)
	if !p.owner.isStoredByMajority(a.Run(), p.minCopies, deadline) {
		return ErrNotAuthoritative{Cause: "too few disks of control hosts hold the announced run of the target"}
	}
	if a.State == model.TargetReady {
		return nil
	}
	// The other control hosts were told over the links on which the next
	// confirmation arrives. Without waiting for it, a host that was just cut off
	// would acknowledge a leave that no other host learns of before the target
	// must get no more requests.
	if !p.seat.confirmedSince(announcedAt, time.Until(deadline)) {
		return ErrNotAuthoritative{Cause: "it was not confirmed to reach a majority of the fleet since the target announced that it leaves"}
	}
	return nil
}

// AnnounceLeave waits as Announce does. It begins anew if another host tells of a
// later run meanwhile.
func (p *controlAPI) AnnounceLeave(target model.TargetID, heard model.Announcement) (model.Announcement, error) {
	deadline := time.Now().Add(announceTimeout)
	for {
		a, ok := p.newestRun(target, heard)
		if !ok {
			return a, ErrNotAuthoritative{Cause: "it has not heard of the target"}
		}
		a.State = model.TargetLeaving
		err := p.announceUntil(deadline, a, nil)
		if err == nil {
			return a, nil
		}
		if newest, _ := p.newestRun(target, a); newest.Incarnation == a.Incarnation || time.Now().After(deadline) {
			return a, err
		}
	}
}

// newestRun returns the later one of an announcement and what the fleet knows of the
// target, or false if there is neither.
func (p *controlAPI) newestRun(target model.TargetID, heard model.Announcement) (model.Announcement, bool) {
	if p.owner != nil {
		if a, ok := p.owner.knownTargets.newest(target); ok && (heard.Target == "" || heard.Run().IsBefore(a.Run())) {
			return a, true
		}
	}
	return heard, heard.Target != ""
}
