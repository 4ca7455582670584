package main

import (
	"bytes"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/client"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// minAnnounceSecretBytes is the minimum length of an announcement secret.
const minAnnounceSecretBytes = 16

func (a *app) serviceCommand() *cobra.Command {
	return commandGroup("service", "Put and list services", a.servicePut(), a.serviceList())
}

func (a *app) servicePut() *cobra.Command {
	f := &changeFlags{}
	secretFile := ""
	cmd := f.addTo(&cobra.Command{
		Use:     "put SERVICE",
		Short:   "Add a service or replace its announcement secret",
		Long:    "Add a service or replace its announcement secret. Only the digest of the secret is sent to the fleet.",
		Example: "  tarragongauge service put stockbook --secret-file stockbook.secret",
		Args:    exactArgs("SERVICE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			hash, err := hashSecretFile(secretFile)
			if err != nil {
				return err
			}
			return a.submitAndPrint(cmd, f, fixedChange(model.PutService{Service: model.Service{Name: model.ServiceName(args[0]), AnnounceHash: hash}}))
		},
	})
	cmd.Flags().StringVar(&secretFile, "secret-file", "", "file with the secret that targets of the service announce with (required)")
	return cmd
}

// hashSecretFile returns the digest of the announcement secret in a file.
func hashSecretFile(path string) (model.KeyHash, error) {
	if path == "" {
		return model.KeyHash{}, usageError("--secret-file is missing; name a file with the announcement secret")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return model.KeyHash{}, eris.Wrap(err, "read announcement secret")
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minAnnounceSecretBytes {
		return model.KeyHash{}, usageError("the secret in %s has %d bytes; use at least %d random bytes", path, len(secret), minAnnounceSecretBytes)
	}
	return client.HashKey(string(secret)), nil
}

func (a *app) serviceList() *cobra.Command {
	return a.listCommand("List services", func(c opsapi.Config) (any, *table) {
		t := &table{header: []string{"SERVICE", "ROUTES"}}
		for _, s := range c.Services {
			routes := 0
			for _, r := range c.Routes {
				if r.Service == s.Name {
					routes++
				}
			}
			t.add(s.Name, routes)
		}
		return c.Services, t
	})
}
