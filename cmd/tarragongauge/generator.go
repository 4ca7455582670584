package main

import (
	"context"
	"encoding/json"
	"io"
	"net/url"

	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/load"
)

// maxLoadConnections bounds the requests of the load generator that are open at once.
const maxLoadConnections = 512

// runLoad sends load to one URL and writes the report as text or json.
func runLoad(ctx context.Context, o loadOptions, out io.Writer) error {
	u, err := url.Parse(o.URL)
	if err != nil || u.Host == "" {
		return usageError("URL %q is malformed; write it as in http://127.0.0.1:8080/stock", o.URL)
	}
	report, err := load.Run(ctx, load.Plan{
		URLs: []string{u.Scheme + "://" + u.Host},
		Streams: []load.Stream{{
			Workspace: "load", Key: o.Key, Rate: o.Rate, Method: o.Method, Path: u.RequestURI(), Body: o.Body, OrderKeys: o.OrderKeys,
		}},
		Duration:    o.Duration,
		Timeout:     o.Timeout,
		Connections: maxLoadConnections,
	})
	if err != nil {
		return err
	}
	if o.Output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return eris.Wrap(enc.Encode(report), "write the report")
	}
	return report.WriteText(out)
}
