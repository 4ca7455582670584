package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) historyCommand() *cobra.Command {
	limit := opsapi.DefaultHistoryEntries
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List accepted and refused changes, newest first",
		Example: "  tarragongauge history --limit 20",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if limit < 1 || limit > opsapi.MaxHistoryEntries {
				return usageError("--limit is %d; give 1 to %d", limit, opsapi.MaxHistoryEntries)
			}
			c, output, err := a.newClient()
			if err != nil {
				return err
			}
			entries, err := c.History(cmd.Context(), limit)
			if err != nil {
				return err
			}
			return a.show(output, entries, historyTable(entries))
		},
	}
	cmd.Flags().IntVar(&limit, "limit", limit, "number of changes")
	return cmd
}

// historyTable returns one row for each change.
func historyTable(entries []opsapi.AuditEntry) *table {
	t := &table{header: []string{"VERSION", "TIME", "ACTOR", "RESULT", "CHANGE", "REASON"}}
	for _, e := range entries {
		t.add(e.Version, e.Time.Format(time.RFC3339), e.Actor, e.Result.Kind, changeText(e.Change), e.Reason)
	}
	return t
}

// changeText returns the JSON of a change without its outer braces.
func changeText(ch opsapi.Change) string {
	_, text, _ := strings.Cut(jsonLine("", ch), "{")
	return strings.TrimSuffix(text, "}")
}
