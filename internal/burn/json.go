package burn

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// jsonReport is the JSON form of a Report.
type jsonReport struct {
	UnixMinute int64      `json:"unix_minute"`
	Alert      bool       `json:"alert"`
	Hosts      int        `json:"hosts"`
	Missing    []string   `json:"missing"`
	Services   []jsonLine `json:"services"`
	Workspaces []jsonLine `json:"workspaces"`
}

// jsonLine is the JSON form of a Line.
type jsonLine struct {
	Service           string      `json:"service"`
	Workspace         string      `json:"workspace,omitempty"`
	Requests          uint64      `json:"requests_1h"`
	SuccessShare      float64     `json:"success_share_1h"`
	FastShare         float64     `json:"within_latency_share_1h"`
	P50Microseconds   int64       `json:"p50_us"`
	P99Microseconds   int64       `json:"p99_us"`
	Availability      []jsonRates `json:"availability_burn"`
	Latency           []jsonRates `json:"latency_burn"`
	Limited           uint64      `json:"limited_1h"`
	LimitedWithinRate uint64      `json:"limited_within_rate_1h"`
	NoOwner           uint64      `json:"refused_no_owner_1h"`
	Alert             bool        `json:"alert"`
	// Ejections is nil on lines of workspaces.
	Ejections *jsonEjections `json:"ejections_6h,omitempty"`
}

// jsonEjections is the JSON form of Ejections.
type jsonEjections struct {
	Total       int            `json:"total"`
	ByCause     map[string]int `json:"by_cause"`
	MedianMs    int64          `json:"detection_median_ms"`
	WorstMs     int64          `json:"detection_worst_ms"`
	Unconfirmed int            `json:"unconfirmed"`
}

// jsonRates is the JSON form of Rates, with the same fields in the same order.
type jsonRates struct {
	Pair  string  `json:"pair"`
	Short float64 `json:"short"`
	Long  float64 `json:"long"`
	Alert bool    `json:"alert"`
}

// WriteJSON writes the report as one JSON document.
func WriteJSON(w io.Writer, r Report) error {
	out := jsonReport{
		UnixMinute: int64(r.At),
		Alert:      r.Alert(),
		Hosts:      r.Hosts,
		Missing:    []string{},
		Services:   jsonLines(r.Services),
		Workspaces: jsonLines(r.Workspaces),
	}
	for i, l := range r.Services {
		out.Services[i].Ejections = jsonEjectionsOf(l.Ejections)
	}
	for _, h := range r.Missing {
		out.Missing = append(out.Missing, string(h))
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(out), "write the burn report")
}

func jsonLines(lines []Line) []jsonLine {
	out := make([]jsonLine, 0, len(lines))
	for _, l := range lines {
		out = append(out, jsonLine{
			Service:           string(l.ID.Service),
			Workspace:         string(l.ID.Workspace),
			Requests:          l.Total,
			SuccessShare:      l.SuccessShare,
			FastShare:         l.FastShare,
			P50Microseconds:   l.P50.Microseconds(),
			P99Microseconds:   l.P99.Microseconds(),
			Availability:      jsonRatesOf(l.Availability),
			Latency:           jsonRatesOf(l.Latency),
			Limited:           l.Limited,
			LimitedWithinRate: l.LimitedInRate,
			NoOwner:           l.RefusedNoOwner,
			Alert:             l.Alert(),
		})
	}
	return out
}

func jsonEjectionsOf(e Ejections) *jsonEjections {
	out := &jsonEjections{
		Total: e.Total, ByCause: map[string]int{}, Unconfirmed: e.Unconfirmed,
		MedianMs: e.Median.Milliseconds(), WorstMs: e.Worst.Milliseconds(),
	}
	for cause, n := range e.ByCause {
		out.ByCause[cause.String()] = n
	}
	return out
}

func jsonRatesOf(rates []Rates) []jsonRates {
	out := make([]jsonRates, 0, len(rates))
	for _, r := range rates {
		out = append(out, jsonRates(r))
	}
	return out
}
