package main

import (
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/logs"
)

func (a *app) allCommand() *cobra.Command {
	dir := "data"
	cmd := &cobra.Command{
		Use:     "all",
		Short:   "Run every role in one process, for a first trial",
		Long:    "Run every role in one process with a sample service, workspace and key, for a first trial. Without --settings it listens on loopback only.",
		Example: "  tarragongauge all --data-dir /tmp/tarragongauge",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.procs.all == nil {
				return errNotIncluded("the trial process")
			}
			c, err := a.loadAllSettings(dir)
			if err != nil {
				return err
			}
			log, stopLog := logs.New(c.Log, a.errOut)
			defer stopLog()
			return a.procs.all(cmd.Context(), c, log)
		},
	}
	cmd.Flags().StringVar(&dir, "data-dir", dir, "folder for the state, created if missing, unless --settings is given")
	return cmd
}

// loadAllSettings loads the settings file, or the defaults with the data folder
// dir if none is given.
func (a *app) loadAllSettings(dir string) (conf.All, error) {
	if a.settings != "" {
		return conf.LoadAll(a.settings)
	}
	const onlyOwner = 0o700
	if err := os.MkdirAll(dir, onlyOwner); err != nil {
		return conf.All{}, eris.Wrap(err, "create data folder; give another --data-dir")
	}
	return conf.DefaultAll(dir)
}
