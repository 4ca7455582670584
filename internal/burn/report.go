package burn

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// WindowPair is a short and a long window. There is an alert if the burn rates over
// both reach Threshold; the short window ends the alert soon after an outage.
type WindowPair struct {
	Name  string
	Short time.Duration
	Long  time.Duration
	// Threshold is a burn rate, in multiples of the rate that spends the whole error budget in 30 days.
	Threshold float64
}

// WindowPairs returns the usual fast and slow pairs of windows. A burn rate of 14.4
// spends 2 % of a 30-day budget in one hour, a burn rate of 6 spends 5 % in six
// hours.
func WindowPairs() []WindowPair {
	return []WindowPair{
		{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Name: "slow", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
	}
}

// Rates holds the burn rates of one objective over the two windows of a pair.
type Rates struct {
	// Pair is the name of the WindowPair.
	Pair  string
	Short float64
	Long  float64
	// Alert is set if both rates are at or above the threshold of the pair.
	Alert bool
}

// Line is the line of a report about one service, or about one workspace of one
// service. Its counts, shares and latencies cover the last hour.
type Line struct {
	ID SeriesID
	// Total is the number of requests, except those refused by the rate limit.
	Total uint64
	// SuccessShare is the share of Total that did not fail.
	SuccessShare float64
	// FastShare is the share of the answered requests that were within the objective's latency.
	FastShare float64
	// P50 and P99 are the median and the 99th percentile of the latencies of answered requests.
	P50 time.Duration
	P99 time.Duration
	// Availability and Latency hold the burn rates of the two objectives, one for each window pair.
	Availability []Rates
	Latency      []Rates
	// Limited is the number of requests refused by the rate limit.
	Limited uint64
	// LimitedInRate is the number of requests in Limited that were refused wrongly,
	// in minutes whose demand was within the workspace's rate.
	LimitedInRate uint64
	// RefusedNoOwner is the number of requests refused because their shard had no owner.
	RefusedNoOwner uint64
	Objective      model.Objective
	// Ejections is set only on lines of services.
	Ejections Ejections
}

// Alert reports whether any window pair of the line has an alert.
func (l Line) Alert() bool {
	alerts := func(r Rates) bool { return r.Alert }
	return slices.ContainsFunc(l.Availability, alerts) || slices.ContainsFunc(l.Latency, alerts)
}

// maxBurnRate returns the highest burn rate over the long windows, by which the lines of a report are ordered.
func (l Line) maxBurnRate() float64 {
	var rate float64
	for _, r := range slices.Concat(l.Availability, l.Latency) {
		rate = max(rate, r.Long)
	}
	return rate
}

// Report is the state of all service-level objectives at one minute.
type Report struct {
	At Minute
	// Hosts is the number of hosts whose counts are included; Missing lists those that did not reply.
	Hosts   int
	Missing []model.HostID
	// Services has one line per service, Workspaces one per service and workspace, with the highest burn rate first.
	Services   []Line
	Workspaces []Line
	// set holds the series of the lines, for the plots.
	set SeriesSet
}

// Alert reports whether any line has an alert.
func (r Report) Alert() bool {
	return slices.ContainsFunc(r.Services, Line.Alert) || slices.ContainsFunc(r.Workspaces, Line.Alert)
}

// NewReport computes the report at a minute from the merged series of the hosts
// that replied. The configuration provides the objectives and rate limits; hosts
// is the number of hosts that replied, and missing lists the others.
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
		line.LimitedInRate = sumLimitedInRate(report.Workspaces, id.Service)
		line.Ejections = services[id].ejections(at)
		report.Services = append(report.Services, line)
	}
	sortWorstFirst(report.Services)
	sortWorstFirst(report.Workspaces)
	return report
}

// sumLimitedInRate returns the sum of LimitedInRate over the lines of a service.
func sumLimitedInRate(lines []Line, service model.ServiceName) uint64 {
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
		case a.maxBurnRate() > b.maxBurnRate():
			return -1
		case a.maxBurnRate() < b.maxBurnRate():
			return 1
		default:
			return 0
		}
	})
}

// newLine returns the line of a report about one series.
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

// share returns part as a share of whole, or 0 if whole is 0.
func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func failedShare(c Cell) float64 { return share(c.Failed, c.Total) }

func slowShare(c Cell) float64 { return share(c.Slow, c.Total-c.Failed) }

// rates returns the burn rates of a series over the windows of a pair. The bad
// function returns the share of a cell's requests that miss the objective, and
// budget is the share that may miss it.
func rates(s *Series, at Minute, p WindowPair, budget float64, bad func(Cell) float64) Rates {
	short := bad(s.SumWindow(at, p.Short)) / budget
	long := bad(s.SumWindow(at, p.Long)) / budget
	return Rates{Pair: p.Name, Short: short, Long: long, Alert: short >= p.Threshold && long >= p.Threshold}
}

// limitedInRate returns the number of requests that were refused wrongly by the
// rate limit in the last hour: those in minutes whose whole demand was within the
// rate.
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
