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

// Bounds of a key read from standard input, in bytes.
const (
	minKey = 16
	maxKey = 1024
)

func (a *app) keyCommand() *cobra.Command {
	return group("key", "Issue, withdraw and list the keys of workspaces", a.keyIssue(), a.keyWithdraw(), a.keyList())
}

func (a *app) keyIssue() *cobra.Command {
	f := &changeFlags{}
	fromInput := false
	cmd := f.add(&cobra.Command{
		Use:   "issue WORKSPACE KEY-NAME",
		Short: "Issue a key",
		Long: "Issue a key. The key is created here and printed once; only its digest is sent to the fleet.\n\n" +
			"If the result is unknown, the key is printed all the same. Submit it again with --change-id and --key-stdin.",
		Example: "  tarragongauge key issue shop-7 till\n  printf %s \"$KEY\" | tarragongauge key issue shop-7 till --key-stdin --change-id 5f0c...",
		Args:    exactly("WORKSPACE", "KEY-NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.issue(cmd, f, model.WorkspaceID(args[0]), model.KeyID(args[1]), fromInput)
		},
	})
	cmd.Flags().BoolVar(&fromInput, "key-stdin", false, "read the key from standard input instead of creating one")
	return cmd
}

func (a *app) issue(cmd *cobra.Command, f *changeFlags, ws model.WorkspaceID, id model.KeyID, fromInput bool) error {
	if f.changeID != "" && !fromInput {
		return usage("--change-id without --key-stdin would print a key other than the one submitted; give the printed key on standard input")
	}
	key, err := a.makeKey(fromInput)
	if err != nil {
		return err
	}
	c, output, err := a.connect()
	if err != nil {
		return err
	}
	change := model.IssueKey{Key: model.Key{ID: id, Workspace: ws, Hash: client.HashKey(key)}}
	r, err := a.submit(cmd, c, f, fixed(change))
	if f.dryRun || (err != nil && !client.IsErrUnknown(err)) {
		return err
	}
	if printErr := a.printKey(output, opsapi.FromResult(r), key); printErr != nil {
		return printErr
	}
	return err
}

func (a *app) makeKey(fromInput bool) (string, error) {
	if !fromInput {
		return client.NewKey()
	}
	data, err := io.ReadAll(io.LimitReader(a.in, maxKey+1))
	if err != nil {
		return "", eris.Wrap(err, "read key from standard input")
	}
	key := strings.TrimSpace(string(data))
	if len(key) < minKey || len(key) > maxKey || strings.ContainsAny(key, " \t\r\n") {
		return "", usage("the key on standard input has %d bytes; give %d to %d bytes without spaces", len(key), minKey, maxKey)
	}
	return key, nil
}

// issuedKey is the JSON output of a new key.
type issuedKey struct {
	Result opsapi.Result `json:"result"`
	Key    string        `json:"key"`
}

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
	return f.add(&cobra.Command{
		Use:     "withdraw WORKSPACE KEY-NAME",
		Short:   "Withdraw a key; it stops working within seconds",
		Example: "  tarragongauge key withdraw shop-7 till --reason 'till replaced'",
		Args:    exactly("WORKSPACE", "KEY-NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.change(cmd, f, fixed(model.WithdrawKey{Workspace: model.WorkspaceID(args[0]), Key: model.KeyID(args[1])}))
		},
	})
}

func (a *app) keyList() *cobra.Command {
	return a.listCommand("List keys by name", func(c opsapi.Config) (any, *table) {
		t := &table{head: []string{"WORKSPACE", "KEY"}}
		for _, k := range c.Keys {
			t.add(k.Workspace, k.ID)
		}
		return c.Keys, t
	})
}
