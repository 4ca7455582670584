package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/logs"
)

func (a *app) controlCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "control --settings FILE",
		Short:   "Run a control host",
		Example: "  tarragongauge control --settings /etc/tarragongauge/control.ini",
		Args:    exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.procs.control == nil {
				return errNotIncluded("the control process")
			}
			path, err := a.processSettings(cmd)
			if err != nil {
				return err
			}
			c, err := conf.LoadControl(path)
			if err != nil {
				return err
			}
			log, stopLog := logs.New(c.Log, a.errOut)
			defer stopLog()
			return a.procs.control(cmd.Context(), c, log)
		},
	}
}

// processSettings returns the path of the settings file of a process, which has no default.
func (a *app) processSettings(cmd *cobra.Command) (string, error) {
	if a.settings == "" {
		return "", usage("%s needs --settings FILE; see the samples in contrib/", cmd.CommandPath())
	}
	return a.settings, nil
}
