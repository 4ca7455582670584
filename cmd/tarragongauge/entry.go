package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/logs"
)

func (a *app) entryCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "entry --settings FILE",
		Short:   "Run an entry host",
		Example: "  tarragongauge entry --settings /etc/tarragongauge/entry.ini",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.procs.entry == nil {
				return errNotIncluded("the entry process")
			}
			path, err := a.processSettingsPath(cmd)
			if err != nil {
				return err
			}
			c, err := conf.LoadEntry(path)
			if err != nil {
				return err
			}
			log, stopLog := logs.New(c.Log, a.errOut)
			defer stopLog()
			return a.procs.entry(cmd.Context(), c, log)
		},
	}
}
