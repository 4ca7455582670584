package main

import (
	"encoding/json"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// diff returns the lines that differ between two configurations, marked with - and +.
func diff(before, after opsapi.Config) []string {
	was, is := lines(before), lines(after)
	var out []string
	for _, l := range was {
		if !slices.Contains(is, l) {
			out = append(out, "- "+l)
		}
	}
	for _, l := range is {
		if !slices.Contains(was, l) {
			out = append(out, "+ "+l)
		}
	}
	return out
}

// lines returns one line for each part of a configuration.
func lines(c opsapi.Config) []string {
	out := []string{line("defaults", c.Defaults)}
	for _, w := range c.Workspaces {
		out = append(out, line("workspace", w))
	}
	for _, k := range c.Keys {
		out = append(out, line("key", k))
	}
	for _, s := range c.Services {
		out = append(out, line("service", s))
	}
	for _, r := range c.Routes {
		out = append(out, line("route", r))
	}
	for _, e := range c.Exceptions {
		out = append(out, line("exception", e))
	}
	return append(out, "seats "+strings.Join(c.Seats, " "), "controls "+strings.Join(c.Controls, " "))
}

func line(kind string, v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return kind + " " + err.Error()
	}
	return kind + " " + string(data)
}
