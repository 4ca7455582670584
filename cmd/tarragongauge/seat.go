package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/logs"
)

func (a *app) seatCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "seat --settings FILE",
		Short:   "Run a host that confirms versions and grants leases without taking traffic",
		Example: "  tarragongauge seat --settings /etc/tarragongauge/seat.ini",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.procs.seat == nil {
				return errNotIncluded("the seat process")
			}
			path, err := a.processSettingsPath(cmd)
			if err != nil {
				return err
			}
			c, err := conf.LoadSeat(path)
			if err != nil {
				return err
			}
			log, stopLog := logs.New(c.Log, a.errOut)
			defer stopLog()
			return a.procs.seat(cmd.Context(), c, log)
		},
	}
}
