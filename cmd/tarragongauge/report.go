package main

import (
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

func (a *app) reportCommand() *cobra.Command {
	return commandGroup("report", "Reports on service levels", &cobra.Command{
		Use:     "burn",
		Short:   "Report burn rates, the worst-served workspace first",
		Long:    "Report burn rates, the worst-served workspace first. The exit code tells whether a burn rate is an alert.",
		Example: "  tarragongauge report burn --output html > burn.html",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.procs.burn == nil {
				return errNotIncluded("the burn report")
			}
			c, output, err := a.newClient("html")
			if err != nil {
				return err
			}
			data, err := c.Burn(cmd.Context())
			if err != nil {
				return err
			}
			alert, err := a.procs.burn(data, output, a.out)
			if err != nil {
				return eris.Wrap(err, "write report")
			}
			if alert {
				return errExit{code: exitAlert, cause: eris.New("a burn rate is an alert; see the report")}
			}
			return nil
		},
	})
}
