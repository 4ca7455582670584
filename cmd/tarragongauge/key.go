package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/client"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Length of a key read from standard input, in bytes.
const (
	minKeyBytes = 16
	maxKeyBytes = 1024
)

func (a *app) keyCommand() *cobra.Command {
	return commandGroup("key", "Issue, withdraw and list the keys of workspaces", a.keyIssue(), a.keyWithdraw(), a.keyList())
}

func (a *app) keyIssue() *cobra.Command {
	f := &changeFlags{}
	fromStdin := false
	cmd := f.addTo(&cobra.Command{
		Use:   "issue WORKSPACE KEY-NAME",
		Short: "Issue a key",
		Long: "Issue a key. The key is created here and printed once; only its digest is sent to the fleet.\n\n" +
			"If the result is unknown, the key is printed all the same. Submit it again with --change-id and --key-stdin.",
		Example: "  tarragongauge key issue shop-7 till\n  printf %s \"$KEY\" | tarragongauge key issue shop-7 till --key-stdin --change-id 5f0c...",
		Args:    exactArgs("WORKSPACE", "KEY-NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.issueKey(cmd, f, model.WorkspaceID(args[0]), model.KeyID(args[1]), fromStdin)
		},
	})
	cmd.Flags().BoolVar(&fromStdin, "key-stdin", false, "read the key from standard input instead of creating one")
	return cmd
}

// issueKey submits a new key of a workspace and prints it, also if the result of
// the change is unknown.
func (a *app) issueKey(cmd *cobra.Command, f *changeFlags, ws model.WorkspaceID, id model.KeyID, fromStdin bool) error {
	if f.changeID != "" && !fromStdin {
		return usageError("--change-id without --key-stdin would print a key other than the one submitted; give the printed key on standard input")
	}
	key, err := a.newOrReadKey(fromStdin)
	if err != nil {
		return err
	}
	c, output, err := a.newClient()
	if err != nil {
		return err
	}
	change := model.IssueKey{Key: model.Key{ID: id, Workspace: ws, Hash: client.HashKey(key)}}
	r, err := a.submit(cmd, c, f, fixedChange(change))
	if f.dryRun || (err != nil && !client.IsErrUnknown(err)) {
		return err
	}
	if printErr := a.printKey(output, opsapi.FromResult(r), key); printErr != nil {
		return printErr
	}
	return err
}

// newOrReadKey returns a new key, or the key on standard input if fromStdin is set.
func (a *app) newOrReadKey(fromStdin bool) (string, error) {
	if !fromStdin {
		return client.NewKey()
	}
	data, err := io.ReadAll(io.LimitReader(a.in, maxKeyBytes+1))
	if err != nil {
		return "", eris.Wrap(err, "read key from standard input")
	}
	key := strings.TrimSpace(string(data))
	if len(key) < minKeyBytes || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return "", usageError("the key on standard input has %d bytes; give %d to %d bytes without spaces", len(key), minKeyBytes, maxKeyBytes)
	}
	return key, nil
}

// issuedKey is the JSON output of the command key issue.
type issuedKey struct {
	Result opsapi.Result `json:"result"`
	Key    string        `json:"key"`
}

// printKey prints an issued key and the result of its change.
func (a *app) printKey(output string, r opsapi.Result, key string) error {
	if output == "json" {
		return printJSON(a.out, issuedKey{Result: r, Key: key})
	}
	state := fmt.Sprintf("accepted as version %d (change %s)", r.Version, r.ChangeID)
	if r.Model().Kind != model.ResultAccepted {
		state = fmt.Sprintf("result unknown (change %s); the key works only if the change is accepted", r.ChangeID)
	}
	_, err := fmt.Fprintf(a.out, "%s\n%s\n", state, key)
	return eris.Wrap(err, "write key")
}

func (a *app) keyWithdraw() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "withdraw WORKSPACE KEY-NAME",
		Short:   "Withdraw a key; it stops working within seconds",
		Example: "  tarragongauge key withdraw shop-7 till --reason 'till replaced'",
		Args:    exactArgs("WORKSPACE", "KEY-NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.submitAndPrint(cmd, f, fixedChange(model.WithdrawKey{Workspace: model.WorkspaceID(args[0]), Key: model.KeyID(args[1])}))
		},
	})
}

func (a *app) keyList() *cobra.Command {
	return a.listCommand("List keys by name", func(c opsapi.Config) (any, *table) {
		t := &table{header: []string{"WORKSPACE", "KEY"}}
		for _, k := range c.Keys {
			t.add(k.Workspace, k.ID)
		}
		return c.Keys, t
	})
}
