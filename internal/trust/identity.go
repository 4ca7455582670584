package trust

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// uriScheme is the scheme of the URIs in certificates. A host's certificate has
// one URI tarragongauge:FLEET/ROLE/HOST for each role, an authority's
// certificate has the single URI tarragongauge:FLEET. The URIs are opaque, since
// crypto/x509 requires a valid domain name after "//" and fleet names need not
// be one.
const uriScheme = "tarragongauge"

// namePattern matches valid names of fleets and hosts.
const namePattern = `^[A-Za-z0-9][A-Za-z0-9._-]*$`

func validName(s string) bool {
	return len(s) <= model.MaxNameLength && regexp.MustCompile(namePattern).MatchString(s)
}

func authorityURIs(fleet string) []*url.URL {
	return []*url.URL{{Scheme: uriScheme, Opaque: fleet}}
}

// uris returns the URIs of a certificate with this identity, one for each role.
func (id Identity) uris() []*url.URL {
	uris := make([]*url.URL, 0, len(id.Roles))
	for _, r := range id.Roles {
		uris = append(uris, &url.URL{Scheme: uriScheme, Opaque: id.Fleet + "/" + string(r) + "/" + string(id.Host)})
	}
	return uris
}

// ParseIdentity returns the identity that a host's certificate claims, without
// checking who signed it; Authorities.Verify does that. Its errors are ErrInvalidFile.
func ParseIdentity(c *x509.Certificate) (Identity, error) {
	var id Identity
	for _, u := range c.URIs {
		parsed, err := parseURI(u)
		if err != nil {
			return Identity{}, err
		}
		if len(id.Roles) > 0 && (id.Fleet != parsed.Fleet || id.Host != parsed.Host) {
			return Identity{}, ErrInvalidFile{Cause: "the certificate names several hosts; issue one for each host"}
		}
		if id.HasRole(parsed.Roles[0]) {
			return Identity{}, ErrInvalidFile{Cause: "the certificate names a role twice; issue it again"}
		}
		id.Fleet, id.Host, id.Roles = parsed.Fleet, parsed.Host, append(id.Roles, parsed.Roles[0])
	}
	if len(id.Roles) == 0 || c.IsCA {
		return Identity{}, ErrInvalidFile{Cause: "this is not the certificate of a host; make one with tarragongauge certificate issue"}
	}
	return id, nil
}

// parseURI returns the identity in one URI of a host's certificate, with a single role.
func parseURI(u *url.URL) (Identity, error) {
	parts := strings.Split(u.Opaque, "/")
	ok := u.Scheme == uriScheme && len(parts) == 3 && validName(parts[0]) && slices.Contains(Roles(), Role(parts[1])) && validName(parts[2])
	if !ok || u.String() != uriScheme+":"+u.Opaque {
		return Identity{}, ErrInvalidFile{Cause: fmt.Sprintf("the certificate has the URI %q instead of %s:FLEET/ROLE/HOST; make it with tarragongauge certificate issue", u, uriScheme)}
	}
	return Identity{Fleet: parts[0], Host: model.HostID(parts[2]), Roles: []Role{Role(parts[1])}}, nil
}

// FleetOf returns the name of the fleet in an authority's certificate. It returns
// an ErrInvalidFile for a certificate of another kind.
func FleetOf(c *x509.Certificate) (string, error) {
	ok := c.IsCA && c.BasicConstraintsValid && len(c.URIs) == 1 && c.URIs[0].Scheme == uriScheme && validName(c.URIs[0].Opaque)
	if !ok {
		return "", ErrInvalidFile{Cause: "this is not the certificate of an authority; make one with tarragongauge authority create"}
	}
	return c.URIs[0].Opaque, nil
}

// check returns an ErrWrongFleet, ErrWrongHost or ErrMissingRole unless id meets
// the expectation. The given fleet is required if the expectation names none.
func (e Expectation) check(id Identity, fleet string) error {
	if e.Fleet != "" {
		fleet = e.Fleet
	}
	if id.Fleet != fleet {
		return ErrWrongFleet{Host: id.Host, Got: id.Fleet, Want: fleet}
	}
	if e.Host != "" && id.Host != e.Host {
		return ErrWrongHost{Got: id.Host, Want: e.Host}
	}
	for _, r := range e.Roles {
		if !id.HasRole(r) {
			return ErrMissingRole{Host: id.Host, Got: id.Roles, Want: r}
		}
	}
	return nil
}
