package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// The owner counts, for each target that has had no request for some time, why it was
// passed over, and for each refused query what ruled the targets out. Operators see
// from it why targets were idle while requests were refused.

// PassReason is why a target did not get a query.
type PassReason int

// Reasons, in the order in which they are looked for.
const (
	// PassNotReady is a target that drains, leaves or has stopped announcing itself.
	PassNotReady PassReason = iota
	// PassEvacuated is a target of an evacuated zone.
	PassEvacuated
	PassEjected
	// PassExcluded is a target that failed the request before, or that its host gave back.
	PassExcluded
	// PassFull is a target without a free slot.
	PassFull
	// PassPaused is a target that shed a request or asked the host to pause.
	PassPaused
	// PassRate is a target at the rate that it names, or at its warm-up rate.
	PassRate
	// PassHosts is a target that as many hosts use as its connections allow.
	PassHosts
	PassCooldown
	// PassKeptByFloor is a failing target that the floor keeps in service.
	PassKeptByFloor
	PassCold
	PassSlowStart
	// PassZone is a target in another zone than the host.
	PassZone
	// PassLoad is a target with the same chances as the others.
	PassLoad
	passReasons
)

// String returns the reason as logs show it.
func (r PassReason) String() string {
	return [passReasons]string{
		"not_ready", "evacuated", "ejected", "excluded", "full", "paused", "rate", "hosts",
		"cooldown", "kept_by_floor", "cold", "slow_start", "zone", "load",
	}[r]
}

// PassCounts counts by PassReason.
type PassCounts [passReasons]int

// String returns the counts that are not 0, the greatest first.
func (c PassCounts) String() string {
	var list []PassReason
	for r, n := range c {
		if n > 0 {
			list = append(list, PassReason(r))
		}
	}
	slices.SortStableFunc(list, func(a, b PassReason) int { return c[b] - c[a] })
	parts := make([]string, len(list))
	for i, r := range list {
		parts[i] = fmt.Sprintf("%s %d", r, c[r])
	}
	return strings.Join(parts, ", ")
}

// IdleTarget is a target that got no request in an interval although it was in service.
type IdleTarget struct {
	Target model.TargetID
	Zone   model.ZoneName
	// Idle is the time since its last request, or since it was first known.
	Idle time.Duration
	// InUse counts the slots in use, Failures the failed attempts that no success made
	// up for.
	InUse, Failures int
	// PassedOver counts the assignments of other targets by why this one did not get them.
	PassedOver PassCounts
}

// String describes the target in one field of a log line.
func (t IdleTarget) String() string {
	return fmt.Sprintf("%s in %s idle for %s, %d in use, %d failures: %s", t.Target, t.Zone, t.Idle.Round(time.Millisecond), t.InUse, t.Failures, t.PassedOver)
}

const (
	// idleReportInterval is the interval over which idle targets are reported.
	idleReportInterval = 2 * time.Second
	// minPassedOverIdle is the time without a request from which on it is counted why a
	// target is passed over.
	minPassedOverIdle = 500 * time.Millisecond
	// minUnservedShare is the share of queries that were refused or failed from which on
	// idle targets are reported.
	minUnservedShare = 0.05
)

// idleReport counts the queries of a service in an interval.
type idleReport struct {
	startedAt model.Instant
	// assigned and refused count queries, unused the assignments that were given back,
	// failed the attempts that were the last ones of their requests and failed.
	assigned, refused, unused, failed int
}

// passReason returns why a target did not get a query.
func (o *Owner) passReason(now model.Instant, s *service, t *target, r pickCriteria) PassReason {
	switch {
	case !t.ready():
		return PassNotReady
	case t.evacuated:
		return PassEvacuated
	case t.ejected:
		return PassEjected
	case slices.Contains(r.exclude, t.id) || slices.Contains(r.declined, t.id):
		return PassExcluded
	case now < t.pausedUntil || t.pauseLeft(now, r.host) > 0:
		return PassPaused
	case !t.rateAllows(now):
		return PassRate
	case !t.hasRoom(now, &o.tune):
		return PassFull
	case !t.acceptsHost(r.host, s.maxHosts(t)):
		return PassHosts
	case t.inCooldown(now, &o.tune, r):
		return PassCooldown
	}
	return o.preferenceReason(now, s, t, r)
}

// preferenceReason returns why another target was preferred to one that has room.
func (o *Owner) preferenceReason(now model.Instant, s *service, t *target, r pickCriteria) PassReason {
	switch {
	case t.keptByFloor && !s.isDue(t, o.tune.StartShare):
		return PassKeptByFloor
	case t.cold.IsBounded() && !s.isColdDue(now, t):
		return PassCold
	case t.inSlowStart && !s.isDue(t, t.trafficShare(now, &o.tune)):
		return PassSlowStart
	case t.zone != r.zone:
		return PassZone
	}
	return PassLoad
}

// countPassedOver counts why idle targets did not get a query that another one got.
func (o *Owner) countPassedOver(now model.Instant, s *service, chosen *target, r pickCriteria) {
	s.idleReport.assigned++
	for _, t := range s.targets {
		if t != chosen && now.Sub(t.idleSince()) >= minPassedOverIdle {
			t.passedOver[o.passReason(now, s, t, r)]++
		}
	}
}

// ruledOut counts the targets by why they did not get a query.
func (o *Owner) ruledOut(now model.Instant, s *service, r pickCriteria) PassCounts {
	var c PassCounts
	for _, t := range s.targets {
		c[o.passReason(now, s, t, r)]++
	}
	return c
}

// reportRefusal reports the refusal of a query with what ruled the targets out.
func (o *Owner) reportRefusal(now model.Instant, s *service, id model.RequestID, r pickCriteria, status proto.SlotStatus) {
	s.idleReport.refused++
	s.recentOutcomes.recordRefusal(now)
	h := s.connectivity(r.host)
	o.emit(QueryRefused{
		Service: s.name, Request: id, Host: o.hostNames[r.host], Reason: ReasonOf(status), Waiting: s.waitingCount,
		RuledOut: o.ruledOut(now, s, r), CutOff: h.isCutOff(), HostSlots: h.slotsInUse,
	})
}

// reportIdleTargets reports the targets without requests in the last interval, if many
// queries were refused or failed.
func (o *Owner) reportIdleTargets(now model.Instant, s *service) {
	rep := s.idleReport
	if rep.startedAt != 0 && now.Sub(rep.startedAt) < idleReportInterval {
		return
	}
	unserved := rep.refused + rep.failed
	if rep.startedAt != 0 && float64(unserved) >= minUnservedShare*float64(max(1, rep.assigned+rep.refused)) {
		if idle := s.idleTargets(now, rep.startedAt); len(idle) > 0 {
			o.emit(TargetsIdle{Service: s.name, Interval: now.Sub(rep.startedAt), Assigned: rep.assigned, Unused: rep.unused, Refused: rep.refused, Failed: rep.failed, Targets: idle, InService: s.inServiceCount()})
		}
	}
	for _, t := range s.targets {
		t.passedOver = PassCounts{}
	}
	s.idleReport = idleReport{startedAt: now}
}

// idleTargets returns the targets in service without a request since the given time.
func (s *service) idleTargets(now, since model.Instant) []IdleTarget {
	var list []IdleTarget
	for _, t := range s.targets {
		if t.inService() && t.idleSince() < since {
			list = append(list, IdleTarget{Target: t.id, Zone: t.zone, Idle: now.Sub(t.idleSince()), InUse: len(t.busySlots), Failures: t.failedAttempts, PassedOver: t.passedOver})
		}
	}
	return list
}

// inServiceCount returns the number of targets in service.
func (s *service) inServiceCount() int {
	n := 0
	for _, t := range s.targets {
		if t.inService() {
			n++
		}
	}
	return n
}
