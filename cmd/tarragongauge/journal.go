package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/logs"
)

func (a *app) journalCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "journal --settings FILE",
		Short:   "Run a journal host",
		Example: "  tarragongauge journal --settings /etc/tarragongauge/journal.ini",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.procs.journal == nil {
				return errNotIncluded("the journal process")
			}
			path, err := a.processSettingsPath(cmd)
			if err != nil {
				return err
			}
			c, err := conf.LoadJournal(path)
			if err != nil {
				return err
			}
			log, stopLog := logs.New(c.Log, a.errOut)
			defer stopLog()
			return a.procs.journal(cmd.Context(), c, log)
		},
	}
}
