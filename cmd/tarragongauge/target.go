package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/logs"
)

func (a *app) targetCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "target --settings FILE",
		Short:   "Run a stub target for tests and first trials",
		Example: "  tarragongauge target --settings target.ini",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.procs.target == nil {
				return errNotIncluded("the stub target")
			}
			path, err := a.processSettingsPath(cmd)
			if err != nil {
				return err
			}
			c, err := conf.LoadTarget(path)
			if err != nil {
				return err
			}
			log, stopLog := logs.New(c.Log, a.errOut)
			defer stopLog()
			return a.procs.target(cmd.Context(), c, log)
		},
	}
}
