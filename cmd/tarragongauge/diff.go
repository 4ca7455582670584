package main

import (
	"encoding/json"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// diffConfigs returns the lines that differ between two configurations. Removed
// lines start with "- " and come first, added lines start with "+ ".
func diffConfigs(before, after opsapi.Config) []string {
	oldLines, newLines := configLines(before), configLines(after)
	var out []string
	for _, l := range oldLines {
		if !slices.Contains(newLines, l) {
			out = append(out, "- "+l)
		}
	}
	for _, l := range newLines {
		if !slices.Contains(oldLines, l) {
			out = append(out, "+ "+l)
		}
	}
	return out
}

// configLines returns one line for each element of a configuration.
func configLines(c opsapi.Config) []string {
	out := []string{jsonLine("defaults", c.Defaults)}
	for _, w := range c.Workspaces {
		out = append(out, jsonLine("workspace", w))
	}
	for _, p := range c.Priorities {
		out = append(out, jsonLine("priority", p))
	}
	for _, k := range c.Keys {
		out = append(out, jsonLine("key", k))
	}
	for _, s := range c.Services {
		out = append(out, jsonLine("service", s))
	}
	for _, r := range c.Routes {
		out = append(out, jsonLine("route", r))
	}
	for _, e := range c.Exceptions {
		out = append(out, jsonLine("exception", e))
	}
	for _, zone := range c.Evacuated {
		out = append(out, "evacuated zone "+zone)
	}
	return append(out, "seats "+strings.Join(c.Seats, " "), "controls "+strings.Join(c.Controls, " "))
}

// jsonLine returns kind, a space and the JSON of v.
func jsonLine(kind string, v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return kind + " " + err.Error()
	}
	return kind + " " + string(data)
}
