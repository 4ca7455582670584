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
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.procs.control == nil {
				return errNotIncluded("the control process")
			}
			path, err := a.processSettingsPath(cmd)
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

// processSettingsPath returns the path of a process's settings file from the flag
// --settings. It has no default, unlike that of the client settings.
func (a *app) processSettingsPath(cmd *cobra.Command) (string, error) {
	if a.settings == "" {
		return "", usageError("%s needs --settings FILE; see the samples in contrib/", cmd.CommandPath())
	}
	return a.settings, nil
}
