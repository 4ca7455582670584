package burn

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// WindowPair is a long and a short window whose burn rates must both exceed Threshold to alert.
type WindowPair struct {
	Name  string
	Short time.Duration
	Long  time.Duration
	// Threshold is in multiples of the rate that spends the whole budget in 30 days.
	Threshold float64
}

// WindowPairs returns the usual fast and slow pairs of windows: 14.4 spends 2 % of a
// 30-day budget in one hour, 6 spends 5 % in six hours.
func WindowPairs() []WindowPair {
	return []WindowPair{
		{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Name: "slow", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
	}
}

// Rates are the burn rates of one objective over the windows of a pair.
type Rates struct {
	Pair  string
	Short float64
	Long  float64
	// Alert is set when both exceed the pair's threshold.
	Alert bool
}

// Line reports one service, or one workspace of one service.
type Line struct {
	ID SeriesID
	// Total and the shares below cover the last hour.
	Total          uint64
	SuccessShare   float64
	FastShare      float64
	P50            time.Duration
	P99            time.Duration
	Availability   []Rates
	Latency        []Rates
	Limited        uint64
	LimitedInRate  uint64
	RefusedNoOwner uint64
	Objective      model.Objective
	// Ejections is set on lines of services.
	Ejections Ejections
}

// Alert reports whether any pair alerts.
func (l Line) Alert() bool {
	alerts := func(r Rates) bool { return r.Alert }
	return slices.ContainsFunc(l.Availability, alerts) || slices.ContainsFunc(l.Latency, alerts)
}

// worst returns the highest burn rate over the longer windows, the order of the report.
func (l Line) worst() float64 {
	var rate float64
	for _, r := range slices.Concat(l.Availability, l.Latency) {
		rate = max(rate, r.Long)
	}
	return rate
}

// Report is the state of all objectives at one minute.
type Report struct {
	At Minute
	// Hosts counts the hosts whose counts are included; Missing names those that did not reply.
	Hosts   int
	Missing []model.HostID
	// Services has one line a service, Workspaces one a service and workspace; the worst-served come first.
	Services   []Line
	Workspaces []Line
	// set is kept for the plots.
	set SeriesSet
}

// Alert reports whether any line alerts.
func (r Report) Alert() bool {
	return slices.ContainsFunc(r.Services, Line.Alert) || slices.ContainsFunc(r.Workspaces, Line.Alert)
}

// NewReport computes the report over the merged counts of all hosts.
func NewReport(at Minute, cfg model.Config, set SeriesSet, hosts int, missing []model.HostID) Report {
	report := Report{At: at, Hosts: hosts, Missing: missing, set: set}
	services := SeriesSet{}
	for _, id := range set.IDs() {
		services.series(SeriesID{Service: id.Service}).merge(set[id])
		if len(set[id].cells) == 0 {
			continue
		}
		report.Workspaces = append(report.Workspaces, newLine(at, cfg, id, set[id]))
	}
	for _, id := range services.IDs() {
		line := newLine(at, cfg, id, services[id])
		line.LimitedInRate = sumInRate(report.Workspaces, id.Service)
		line.Ejections = services[id].ejections(at)
		report.Services = append(report.Services, line)
	}
	sortWorstFirst(report.Services)
	sortWorstFirst(report.Workspaces)
	return report
}

func sumInRate(lines []Line, service model.ServiceName) uint64 {
	var n uint64
	for _, l := range lines {
		if l.ID.Service == service {
			n += l.LimitedInRate
		}
	}
	return n
}

func sortWorstFirst(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		switch {
		case a.worst() > b.worst():
			return -1
		case a.worst() < b.worst():
			return 1
		default:
			return 0
		}
	})
}

func newLine(at Minute, cfg model.Config, id SeriesID, s *Series) Line {
	objective := cfg.ObjectiveFor(id.Service)
	hour := s.SumWindow(at, time.Hour)
	line := Line{
		ID:             id,
		Total:          hour.Total,
		SuccessShare:   1 - share(hour.Failed, hour.Total),
		FastShare:      1 - share(hour.Slow, hour.Total-hour.Failed),
		P50:            s.LatencyQuantile(at, 0.5),
		P99:            s.LatencyQuantile(at, 0.99),
		Limited:        hour.Limited,
		RefusedNoOwner: hour.NoOwner,
		Objective:      objective,
	}
	if id.Workspace != "" && id.Workspace != OtherWorkspaces {
		line.LimitedInRate = limitedInRate(s, at, cfg.LimitsFor(id.Workspace))
	}
	for _, p := range WindowPairs() {
		line.Availability = append(line.Availability, rates(s, at, p, 1-objective.Availability, failedShare))
		line.Latency = append(line.Latency, rates(s, at, p, 1-objective.LatencyShare, slowShare))
	}
	return line
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func failedShare(c Cell) float64 { return share(c.Failed, c.Total) }

func slowShare(c Cell) float64 { return share(c.Slow, c.Total-c.Failed) }

func rates(s *Series, at Minute, p WindowPair, budget float64, bad func(Cell) float64) Rates {
	short := bad(s.SumWindow(at, p.Short)) / budget
	long := bad(s.SumWindow(at, p.Long)) / budget
	return Rates{Pair: p.Name, Short: short, Long: long, Alert: short >= p.Threshold && long >= p.Threshold}
}

// limitedInRate counts refusals for the rate in minutes of the last hour whose
// whole demand was within the rate. Those refusals were wrong.
func limitedInRate(s *Series, at Minute, limits model.Limits) uint64 {
	var n uint64
	for _, t := range s.cells {
		m, c := t.minute(), t.cell()
		demand := float64(c.Total + c.Limited)
		if m > at-60 && m <= at && demand <= limits.Rate*CellLength.Seconds() {
			n += c.Limited
		}
	}
	return n
}
