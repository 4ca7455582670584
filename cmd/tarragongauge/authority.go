package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/trust"
)

// Names of the certificate and key files in the folder of an authority.
const (
	authorityCertificateName = "authority.crt"
	authorityKeyName         = "authority.key"
)

func (a *app) authorityCommand() *cobra.Command {
	return commandGroup("authority", "Create and show the authority that signs the fleet's certificates", a.authorityCreate(), a.authorityShow())
}

func (a *app) authorityCreate() *cobra.Command {
	dir, validity := "", trust.DefaultAuthorityValidity
	cmd := &cobra.Command{
		Use:   "create FLEET --dir DIR",
		Short: "Create an authority for a fleet",
		Long: "Create an authority for a fleet: " + authorityCertificateName + ", which every host and operator gets, and " + authorityKeyName + ", which stays where certificates are issued.\n\n" +
			"FLEET is the [fleet] name of the settings. Files that exist are not touched.",
		Example: "  tarragongauge authority create egin-tatws --dir /etc/tarragongauge/authority\n" +
			"  tarragongauge authority create egin-tatws --dir /etc/tarragongauge/authority-2027 --validity 43800h",
		Args: exactArgs("FLEET"),
		RunE: func(_ *cobra.Command, args []string) error {
			if dir == "" {
				return usageError("authority create needs --dir DIR; see tarragongauge authority create --help")
			}
			p, err := trust.CreateAuthority(args[0], validity, time.Now())
			if err != nil {
				return err
			}
			return a.writePair(p, dir, filepath.Join(dir, authorityCertificateName), filepath.Join(dir, authorityKeyName), false)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "folder for the two files, created if missing")
	cmd.Flags().DurationVar(&validity, "validity", validity, "how long the authority is valid, such as 87600h for ten years")
	return cmd
}

func (a *app) authorityShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show FILE",
		Short: "Show the authorities of a file",
		Long:  "Show the authorities of a file: one or, during a rotation, several. The exit code is 11 if one is not valid now.",
		Example: "  tarragongauge authority show /etc/tarragongauge/authority.crt\n" +
			"  tarragongauge authority show /etc/tarragongauge/authority.crt --output json",
		Args: exactArgs("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			authorities, err := trust.ReadAuthorities(args[0])
			if err != nil {
				return err
			}
			return a.showCertificates(authorities.Certificates(), time.Now())
		},
	}
}

// writePair writes a certificate and its key, creates dir if missing, and prints
// what was written. Existing files are an error unless replace is set.
func (a *app) writePair(p trust.KeyPair, dir, certificate, key string, replace bool) error {
	const onlyOwner = 0o700
	if err := os.MkdirAll(dir, onlyOwner); err != nil {
		return eris.Wrap(err, "create folder; give another one")
	}
	if err := p.Write(certificate, key, replace); err != nil {
		return err
	}
	certs, err := trust.ReadCertificates(certificate)
	if err != nil {
		return err
	}
	info := describeCertificate(certs[0], time.Now())
	info.CertificateFile, info.KeyFile = certificate, key
	t := &table{header: []string{"FLEET", "HOST", "ROLES", "EXPIRES", "CERTIFICATE", "KEY"}}
	t.add(info.Fleet, info.Host, joinItems(info.Roles), info.NotAfter, certificate, key)
	return a.showOutput(info, t)
}
