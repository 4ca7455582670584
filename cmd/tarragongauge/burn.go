package main

import (
	"io"

	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/burn"
)

// writeBurn writes the burn report for the encoded counters of a fleet as text,
// json or html. It reports whether a burn rate is an alert.
func writeBurn(data []byte, format string, out io.Writer) (bool, error) {
	fleet, err := burn.DecodeFleet(data)
	if err != nil {
		return false, eris.Wrap(err, "decode counters; run the same version of tarragongauge everywhere")
	}
	r := fleet.Report()
	write := burn.WriteText
	switch format {
	case "json":
		write = burn.WriteJSON
	case "html":
		write = burn.WriteHTML
	}
	return r.Alert(), eris.Wrap(write(out, r), "write burn report")
}
