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

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "write output")
}

// table is text output in columns, followed by the lines in notes.
type table struct {
	header []string
	rows   [][]string
	notes  []string
}

// add appends a row. Empty cells are shown as "-".
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

// print writes the table with aligned columns.
func (t *table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
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

// show writes v as JSON if output is json, else t as text.
func (a *app) show(output string, v any, t *table) error {
	if output == "json" {
		return printJSON(a.out, v)
	}
	return t.print(a.out)
}

// printResult prints the version and the id of an accepted change.
func (a *app) printResult(output string, r opsapi.Result) error {
	if output == "json" {
		return printJSON(a.out, r)
	}
	_, err := fmt.Fprintf(a.out, "accepted as version %d (change %s)\n", r.Version, r.ChangeID)
	return eris.Wrap(err, "write output")
}
