package main

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/conf"
)

func (a *app) checkCommand() *cobra.Command {
	role, withoutFiles, reference := "", false, false
	cmd := &cobra.Command{
		Use:   "check --role ROLE FILE...",
		Short: "Check settings files",
		Long:  "Check settings files and report every fault. With --reference, print the table of all settings.",
		Example: "  tarragongauge check --role entry /etc/tarragongauge/entry.ini\n" +
			"  tarragongauge check --reference",
		RunE: func(_ *cobra.Command, args []string) error {
			if reference {
				_, err := fmt.Fprint(a.out, conf.ReferenceTable())
				return eris.Wrap(err, "write reference")
			}
			if len(args) == 0 || role == "" {
				return usageError("check needs --role and at least one file; see tarragongauge check --help")
			}
			return a.checkFiles(conf.Role(role), args, withoutFiles)
		},
	}
	cmd.Flags().StringVar(&role, "role", "", "control, entry, journal, seat, all, target or client")
	cmd.Flags().BoolVar(&withoutFiles, "without-files", false, "do not look at the files and folders that settings name")
	cmd.Flags().BoolVar(&reference, "reference", false, "print the table of all settings")
	cmd.AddCommand(a.checkConfigCommand())
	return cmd
}

// checkFiles checks settings files of a role. It prints ok for each valid file
// and the faults of the others.
func (a *app) checkFiles(role conf.Role, paths []string, withoutFiles bool) error {
	var opts []conf.Option
	if withoutFiles {
		opts = append(opts, conf.WithoutFiles())
	}
	faulty := 0
	for _, path := range paths {
		err := conf.Check(path, role, opts...)
		if err == nil {
			_, err = fmt.Fprintf(a.out, "%s: ok\n", path)
			if err != nil {
				return eris.Wrap(err, "write output")
			}
			continue
		}
		faulty++
		if _, err := fmt.Fprintln(a.errOut, err); err != nil {
			return eris.Wrap(err, "write output")
		}
	}
	if faulty > 0 {
		return errExit{code: exitSettings, cause: eris.Errorf("%d of %d files have faults; correct the lines above", faulty, len(paths))}
	}
	return nil
}
