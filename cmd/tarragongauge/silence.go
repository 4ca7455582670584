package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/client"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// pollInterval is the interval between two requests for the evidence that a
// workspace has no traffic.
const pollInterval = 500 * time.Millisecond

func (a *app) silenceCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:     "silence WORKSPACE",
		Short:   "Prove that a withdrawn workspace has no traffic on any host",
		Long:    "Prove that a withdrawn workspace has no traffic on any host. The exit code is 0 only if every host is covered.",
		Example: "  tarragongauge silence shop-7 --wait 10s",
		Args:    exactArgs("WORKSPACE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, output, err := a.newClient()
			if err != nil {
				return err
			}
			e, err := waitForSilence(cmd.Context(), c, model.WorkspaceID(args[0]), wait)
			if err != nil {
				return err
			}
			if err := a.show(output, e, evidenceTable(e)); err != nil {
				return err
			}
			return a.reportProof(e)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "time to wait for the proof")
	return cmd
}

// waitForSilence requests the evidence until it is a proof or the time wait is
// over, and returns the last evidence.
func waitForSilence(ctx context.Context, c *client.Client, ws model.WorkspaceID, wait time.Duration) (opsapi.Evidence, error) {
	end := time.Now().Add(wait)
	for {
		e, err := c.Silence(ctx, ws)
		if err != nil || e.Proved || time.Now().Add(pollInterval).After(end) {
			return e, err
		}
		select {
		case <-ctx.Done():
			return e, eris.Wrap(ctx.Err(), "wait for the proof")
		case <-time.After(pollInterval):
		}
	}
}

// evidenceTable returns one row for each host.
func evidenceTable(e opsapi.Evidence) *table {
	t := &table{header: []string{"HOST", "ZONE", "COVERED", "ANSWERED", "VERSION", "IN FLIGHT", "LAST ADMITTED", "RIGHT ENDED"}}
	for _, h := range e.Hosts {
		t.add(h.Host, h.Zone, h.Covered, h.Answered, h.Version, h.InFlight, formatAgo(h.LastAdmittedMs), formatAgo(h.RightEndedMs))
	}
	return t
}

// formatAgo formats an age in milliseconds. A negative age is in the future, and
// nil is unknown.
func formatAgo(ms *int64) string {
	if ms == nil {
		return ""
	}
	d := time.Duration(*ms) * time.Millisecond
	if d < 0 {
		return "in " + (-d).String()
	}
	return d.String() + " ago"
}

// reportProof prints to standard error whether the evidence is a proof and what
// is missing. It returns an error unless it is a proof.
func (a *app) reportProof(e opsapi.Evidence) error {
	if e.Proved {
		_, err := fmt.Fprintf(a.errOut, "proved: workspace %s has no traffic on any host\n", e.Workspace)
		return eris.Wrap(err, "write output")
	}
	for _, m := range e.Missing {
		if _, err := fmt.Fprintln(a.errOut, "missing:", m); err != nil {
			return eris.Wrap(err, "write output")
		}
	}
	return errExit{code: exitNotProved, cause: eris.Errorf("the silence of workspace %s is not proved; ask again in a few seconds, or give --wait 10s", e.Workspace)}
}
