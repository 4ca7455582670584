package burn

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// WriteText writes the report as text with aligned columns.
func WriteText(w io.Writer, r Report) error {
	var buf bytes.Buffer
	state := "no alert"
	if r.Alert() {
		state = "ALERT"
	}
	at := time.UnixMilli(int64(r.At) * CellLength.Milliseconds()).UTC()
	fmt.Fprintf(&buf, "service-level burn at %s from %d hosts: %s\n", at.Format(time.RFC3339), r.Hosts, state)
	for _, h := range r.Missing {
		fmt.Fprintf(&buf, "missing: host %s did not reply\n", h)
	}
	writeLines(&buf, "\nservices, worst first", r.Services)
	writeLines(&buf, "\nworkspaces, worst first", r.Workspaces)
	writeEjections(&buf, r.Services)
	return align(w, buf.Bytes())
}

// align writes text with tab-separated columns aligned by spaces.
func align(w io.Writer, text []byte) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := tw.Write(text); err != nil {
		return eris.Wrap(err, "write the burn report")
	}
	return eris.Wrap(tw.Flush(), "write the burn report")
}

func writeLines(w *bytes.Buffer, title string, lines []Line) {
	fmt.Fprintln(w, title)
	fmt.Fprintln(w, "service\tworkspace\trequests 1h\tsuccess\twithin latency\tp50\tp99\tavailability burn 5m/1h 30m/6h\tlatency burn 5m/1h 30m/6h\tlimited\tlimited within rate\tno owner\talert")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f%%\t%.3f%%\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%t\n",
			l.ID.Service, orDash(string(l.ID.Workspace)), l.Total, 100*l.SuccessShare, 100*l.FastShare, l.P50, l.P99,
			formatRates(l.Availability), formatRates(l.Latency), l.Limited, l.LimitedInRate, l.RefusedNoOwner, l.Alert())
	}
}

func writeEjections(w *bytes.Buffer, services []Line) {
	fmt.Fprintln(w, "\nejections of targets, last 6 h")
	fmt.Fprintln(w, "service\tejections\tby cause\tdetection median\tdetection worst\tunconfirmed")
	for _, l := range services {
		e := l.Ejections
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%d\n", l.ID.Service, e.Total, formatCauses(e), e.Median, e.Worst, e.Unconfirmed)
	}
}

// formatCauses returns the number of ejections by cause, such as "slow 2, crash 1", or a dash.
func formatCauses(e Ejections) string {
	var out []string
	for _, c := range model.EjectionCauses() {
		if n := e.ByCause[c]; n > 0 {
			out = append(out, fmt.Sprintf("%s %d", c, n))
		}
	}
	return orDash(strings.Join(out, ", "))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatRates returns the burn rates over the short and the long window of each pair, such as "0.5/0.1 0.3/0.2".
func formatRates(rates []Rates) string {
	out := ""
	for i, r := range rates {
		if i > 0 {
			out += " "
		}
		out += fmt.Sprintf("%.1f/%.1f", r.Short, r.Long)
	}
	return out
}
