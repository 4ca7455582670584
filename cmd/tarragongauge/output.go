package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// printJSON writes a value for scripts.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "write output")
}

// table is text output in columns, with lines of text below.
type table struct {
	head  []string
	rows  [][]string
	notes []string
}

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		s := fmt.Sprint(c)
		if s == "" {
			s = "-"
		}
		row = append(row, s)
	}
	t.rows = append(t.rows, row)
}

func (t *table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.head}, t.rows...) {
		if _, err := fmt.Fprintln(tw, strings.Join(row, "\t")); err != nil {
			return eris.Wrap(err, "write output")
		}
	}
	if err := tw.Flush(); err != nil {
		return eris.Wrap(err, "write output")
	}
	for _, note := range t.notes {
		if _, err := fmt.Fprintln(w, note); err != nil {
			return eris.Wrap(err, "write output")
		}
	}
	return nil
}

// show writes the list as JSON or the table as text.
func (a *app) show(output string, v any, t *table) error {
	if output == "json" {
		return printJSON(a.out, v)
	}
	return t.print(a.out)
}

// printResult tells what became of a change that was accepted.
func (a *app) printResult(output string, r opsapi.Result) error {
	if output == "json" {
		return printJSON(a.out, r)
	}
	_, err := fmt.Fprintf(a.out, "accepted as version %d (change %s)\n", r.Version, r.ChangeID)
	return eris.Wrap(err, "write output")
}
