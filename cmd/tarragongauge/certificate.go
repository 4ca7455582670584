package main

import (
	"crypto/x509"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func (a *app) certificateCommand() *cobra.Command {
	return commandGroup("certificate", "Issue and show the certificates of hosts", a.certificateIssue(), a.certificateShow())
}

// issueFlags holds the flags of the command certificate issue.
type issueFlags struct {
	roles        []string
	addresses    []string
	validity     time.Duration
	authorityDir string
	dir          string
	replace      bool
}

func (a *app) certificateIssue() *cobra.Command {
	f := issueFlags{validity: trust.DefaultHostValidity}
	cmd := &cobra.Command{
		Use:   "issue HOST --role ROLE,... --authority-dir DIR --dir DIR",
		Short: "Issue a certificate for a host",
		Long: "Issue a certificate for a host with a new key, as HOST.crt and HOST.key.\n\n" +
			"HOST is the [host] name of the settings. A process needs its own role (control, entry or journal) and the role operators for its operators' port. Addresses are for tools such as curl that check IP addresses; the fleet checks host names.",
		Example: "  tarragongauge certificate issue control-1 --role control,operators --address 10.20.1.11 --authority-dir /etc/tarragongauge/authority --dir /etc/tarragongauge/issued\n" +
			"  tarragongauge certificate issue entry-1 --role entry,operators --validity 720h --authority-dir /etc/tarragongauge/authority --dir /etc/tarragongauge/issued --replace",
		Args: exactArgs("HOST"),
		RunE: func(_ *cobra.Command, args []string) error { return a.issueCertificate(args[0], f) },
	}
	cmd.Flags().StringSliceVar(&f.roles, "role", nil, "roles of the host: control, entry, journal or operators")
	cmd.Flags().StringSliceVar(&f.addresses, "address", nil, "IP addresses of the host")
	cmd.Flags().DurationVar(&f.validity, "validity", f.validity, "how long the certificate is valid, such as 2160h for 90 days")
	cmd.Flags().StringVar(&f.authorityDir, "authority-dir", "", "folder with "+authorityCertificateName+" and "+authorityKeyName)
	cmd.Flags().StringVar(&f.dir, "dir", "", "folder for the two files, created if missing")
	cmd.Flags().BoolVar(&f.replace, "replace", false, "replace files that exist")
	return cmd
}

func (a *app) issueCertificate(host string, f issueFlags) error {
	if f.authorityDir == "" || f.dir == "" {
		return usageError("certificate issue needs --authority-dir and --dir; see tarragongauge certificate issue --help")
	}
	r := trust.CertificateRequest{Host: model.HostID(host), Validity: f.validity}
	for _, role := range f.roles {
		r.Roles = append(r.Roles, trust.Role(role))
	}
	for _, s := range f.addresses {
		addr, err := netip.ParseAddr(s)
		if err != nil {
			return usageError("--address is %q; give an IP address without a port", s)
		}
		r.Addresses = append(r.Addresses, addr)
	}
	authority, err := trust.ReadAuthority(filepath.Join(f.authorityDir, authorityCertificateName), filepath.Join(f.authorityDir, authorityKeyName))
	if err != nil {
		return err
	}
	p, err := authority.Issue(r, time.Now())
	if err != nil {
		return err
	}
	return a.writePair(p, f.dir, filepath.Join(f.dir, host+".crt"), filepath.Join(f.dir, host+".key"), f.replace)
}

func (a *app) certificateShow() *cobra.Command {
	authority := ""
	cmd := &cobra.Command{
		Use:   "show FILE [--authority FILE]",
		Short: "Show a certificate",
		Long:  "Show a certificate. With --authority, check also that one of these authorities signed it. The exit code is 11 if it is not valid now or not accepted.",
		Example: "  tarragongauge certificate show /etc/tarragongauge/host.crt\n" +
			"  tarragongauge certificate show /etc/tarragongauge/host.crt --authority /etc/tarragongauge/authority.crt --output json",
		Args: exactArgs("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			certs, err := trust.ReadCertificates(args[0])
			if err != nil {
				return err
			}
			now := time.Now()
			if err := a.showCertificates(certs, now); err != nil || authority == "" {
				return err
			}
			return verifyAll(certs, authority, now)
		},
	}
	cmd.Flags().StringVar(&authority, "authority", "", "file with the authorities that hosts accept")
	return cmd
}

// verifyAll checks that the authorities in the file with the given path signed
// all certificates.
func verifyAll(certs []*x509.Certificate, path string, now time.Time) error {
	authorities, err := trust.ReadAuthorities(path)
	if err != nil {
		return err
	}
	for _, c := range certs {
		if _, err := authorities.Verify(c, x509.ExtKeyUsageServerAuth, now, trust.Expectation{}); err != nil {
			return err
		}
	}
	return nil
}
