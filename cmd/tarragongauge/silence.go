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

// askAgain is the interval between two questions while waiting for the proof.
const askAgain = 500 * time.Millisecond

func (a *app) silenceCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:     "silence WORKSPACE",
		Short:   "Prove that a withdrawn workspace has no traffic on any host",
		Long:    "Prove that a withdrawn workspace has no traffic on any host. The exit code is 0 only if every host is covered.",
		Example: "  tarragongauge silence shop-7 --wait 10s",
		Args:    exactly("WORKSPACE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, output, err := a.connect()
			if err != nil {
				return err
			}
			e, err := awaitSilence(cmd.Context(), c, model.WorkspaceID(args[0]), wait)
			if err != nil {
				return err
			}
			if err := a.show(output, e, evidenceTable(e)); err != nil {
				return err
			}
			return a.verdict(e)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "time to wait for the proof")
	return cmd
}

func awaitSilence(ctx context.Context, c *client.Client, ws model.WorkspaceID, wait time.Duration) (opsapi.Evidence, error) {
	end := time.Now().Add(wait)
	for {
		e, err := c.Silence(ctx, ws)
		if err != nil || e.Proved || time.Now().Add(askAgain).After(end) {
			return e, err
		}
		select {
		case <-ctx.Done():
			return e, eris.Wrap(ctx.Err(), "wait for the proof")
		case <-time.After(askAgain):
		}
	}
}

func evidenceTable(e opsapi.Evidence) *table {
	t := &table{head: []string{"HOST", "ZONE", "COVERED", "ANSWERED", "VERSION", "IN FLIGHT", "LAST ADMITTED", "RIGHT ENDED"}}
	for _, h := range e.Hosts {
		t.add(h.Host, h.Zone, h.Covered, h.Answered, h.Version, h.InFlight, ago(h.LastAdmittedMs), ago(h.RightEndedMs))
	}
	return t
}

// ago writes how long ago something was, or how long until it is.
func ago(ms *int64) string {
	if ms == nil {
		return ""
	}
	d := time.Duration(*ms) * time.Millisecond
	if d < 0 {
		return "in " + (-d).String()
	}
	return d.String() + " ago"
}

// verdict returns an error unless the silence is proved.
func (a *app) verdict(e opsapi.Evidence) error {
	if e.Proved {
		_, err := fmt.Fprintf(a.errOut, "proved: workspace %s has no traffic on any host\n", e.Workspace)
		return eris.Wrap(err, "write verdict")
	}
	for _, m := range e.Missing {
		if _, err := fmt.Fprintln(a.errOut, "missing:", m); err != nil {
			return eris.Wrap(err, "write verdict")
		}
	}
	return errExit{code: exitNotProved, cause: eris.Errorf("the silence of workspace %s is not proved; ask again in a few seconds, or give --wait 10s", e.Workspace)}
}
