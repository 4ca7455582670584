package main

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/client"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// changeFlags holds the flags of every command that changes the configuration.
type changeFlags struct {
	reason   string
	changeID string
	// base is the version that the change is based on, if the flag is given.
	base   uint64
	dryRun bool
	diff   bool
}

// addTo adds the flags to cmd and returns cmd.
func (f *changeFlags) addTo(cmd *cobra.Command) *cobra.Command {
	flags := cmd.Flags()
	flags.StringVar(&f.reason, "reason", "", "why the change is made, for the audit list")
	flags.StringVar(&f.changeID, "change-id", "", "id of an earlier submission of this change whose result is unknown")
	flags.Uint64Var(&f.base, "base", 0, "version the change is based on (default: the newest)")
	flags.BoolVar(&f.dryRun, "dry-run", false, "show what would change and submit nothing")
	flags.BoolVar(&f.diff, "diff", false, "show what changes, then submit")
	return cmd
}

// changeBuilder returns the change to submit, given the current configuration.
type changeBuilder func(cfg model.Config) (model.Change, error)

// fixedChange returns a changeBuilder for a change that does not depend on the
// configuration.
func fixedChange(ch model.Change) changeBuilder {
	return func(model.Config) (model.Change, error) { return ch, nil }
}

// submitAndPrint submits a change and prints its result. With --dry-run it only
// prints the difference.
func (a *app) submitAndPrint(cmd *cobra.Command, f *changeFlags, build changeBuilder) error {
	c, output, err := a.newClient()
	if err != nil {
		return err
	}
	r, err := a.submit(cmd, c, f, build)
	if err != nil || f.dryRun {
		return err
	}
	return a.printResult(output, opsapi.FromResult(r))
}

// submit prints the difference if --diff or --dry-run is given, and proposes the
// change unless --dry-run is given. The result of a proposal has the change id
// even if the error says that the outcome is unknown.
func (a *app) submit(cmd *cobra.Command, c *client.Client, f *changeFlags, build changeBuilder) (model.Result, error) {
	cfg, err := c.Config(cmd.Context())
	if err != nil {
		return model.Result{}, err
	}
	ch, err := build(cfg)
	if err != nil {
		return model.Result{}, err
	}
	if f.dryRun || f.diff {
		if err := a.preview(cfg, ch); err != nil && (f.dryRun || f.changeID == "") {
			return model.Result{}, err
		}
	}
	if f.dryRun {
		return model.Result{}, nil
	}
	p := model.Proposal{ID: model.ChangeID(f.changeID), Base: cfg.Version, Reason: f.reason, Change: ch}
	if cmd.Flags().Changed("base") {
		p.Base = model.Version(f.base)
	}
	r, err := c.Propose(cmd.Context(), p)
	if client.IsErrUnknown(err) {
		err = eris.Wrapf(err, "run the command again with --change-id %s", r.ID)
	}
	return r, err
}

// preview prints the difference that a change makes to cfg.
func (a *app) preview(cfg model.Config, ch model.Change) error {
	next, err := cfg.Apply(cfg.Version+1, model.Proposal{Base: cfg.Version, Change: ch})
	if err != nil {
		return err
	}
	for _, line := range diffConfigs(opsapi.FromConfig(cfg), opsapi.FromConfig(next)) {
		if _, err := fmt.Fprintln(a.out, line); err != nil {
			return eris.Wrap(err, "write difference")
		}
	}
	return nil
}
