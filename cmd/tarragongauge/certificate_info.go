package main

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/internal/trust"
)

// certificateInfo is the JSON output for one certificate.
type certificateInfo struct {
	// Kind is authority or host.
	Kind      string   `json:"kind"`
	Fleet     string   `json:"fleet"`
	Host      string   `json:"host,omitempty"`
	Roles     []string `json:"roles,omitempty"`
	Addresses []string `json:"addresses,omitempty"`
	NotBefore string   `json:"not_before"`
	NotAfter  string   `json:"not_after"`
	// State is valid, expired, not_yet_valid or malformed.
	State string `json:"state"`
	// Fingerprint is the SHA-256 digest of the certificate in hexadecimal digits.
	Fingerprint     string `json:"fingerprint"`
	CertificateFile string `json:"certificate_file,omitempty"`
	KeyFile         string `json:"key_file,omitempty"`
}

// describeCertificate returns the output for a certificate, without its files.
func describeCertificate(c *x509.Certificate, now time.Time) certificateInfo {
	sum := sha256.Sum256(c.Raw)
	info := certificateInfo{
		Kind:        "host",
		NotBefore:   c.NotBefore.UTC().Format(time.RFC3339),
		NotAfter:    c.NotAfter.UTC().Format(time.RFC3339),
		State:       certificateState(c, now),
		Fingerprint: hex.EncodeToString(sum[:]),
	}
	if fleet, err := trust.FleetOf(c); err == nil {
		info.Kind, info.Fleet = "authority", fleet
		return info
	}
	id, _ := trust.ParseIdentity(c) // without an identity, State is malformed
	info.Fleet, info.Host = id.Fleet, string(id.Host)
	for _, r := range id.Roles {
		info.Roles = append(info.Roles, string(r))
	}
	for _, ip := range c.IPAddresses {
		info.Addresses = append(info.Addresses, ip.String())
	}
	return info
}

// certificateState returns the value of certificateInfo.State.
func certificateState(c *x509.Certificate, now time.Time) string {
	err := checkCertificate(c, now)
	switch {
	case err == nil:
		return "valid"
	case trust.IsErrExpired(err):
		return "expired"
	case trust.IsErrNotYetValid(err):
		return "not_yet_valid"
	default:
		return "malformed"
	}
}

// checkCertificate checks that a certificate belongs to a host or an authority of
// a fleet and is valid now.
func checkCertificate(c *x509.Certificate, now time.Time) error {
	_, err := trust.ParseIdentity(c)
	if c.IsCA {
		_, err = trust.FleetOf(c)
	}
	if err != nil {
		return err
	}
	return trust.CheckValidity(c, now)
}

// showCertificates prints certificates and returns the error of the first invalid one.
func (a *app) showCertificates(certs []*x509.Certificate, now time.Time) error {
	var infos []certificateInfo
	var faulty error
	t := &table{header: []string{"KIND", "FLEET", "HOST", "ROLES", "ADDRESSES", "FROM", "EXPIRES", "STATE", "FINGERPRINT"}}
	for _, c := range certs {
		info := describeCertificate(c, now)
		infos = append(infos, info)
		t.add(info.Kind, info.Fleet, info.Host, joinItems(info.Roles), joinItems(info.Addresses), info.NotBefore, info.NotAfter, info.State, info.Fingerprint[:16])
		if err := checkCertificate(c, now); err != nil && faulty == nil {
			faulty = err
		}
	}
	if err := a.showOutput(infos, t); err != nil {
		return err
	}
	return faulty
}

// joinItems joins items with commas for a cell of a table.
func joinItems(items []string) string { return strings.Join(items, ",") }

// showOutput prints v as JSON or t as text, as the flag --output says, for commands
// that read no settings file. The default is text.
func (a *app) showOutput(v any, t *table) error {
	output := a.output
	if output == "" {
		output = "text"
	}
	if err := checkOutput(output, "text", "json"); err != nil {
		return err
	}
	return a.show(output, v, t)
}
