package conf

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// problem is what a parser finds wrong with a value or with one element of a list.
type problem struct {
	got    string
	detail string
}

func wrong(got, format string, args ...any) []problem {
	return []problem{{got: got, detail: fmt.Sprintf(format, args...)}}
}

const namePattern = `^[A-Za-z0-9][A-Za-z0-9._-]*$`

func validName(s string) bool {
	return len(s) <= model.MaxNameLength && regexp.MustCompile(namePattern).MatchString(s)
}

func parseName[T ~string](to *T, s string) []problem {
	if !validName(s) {
		return []problem{{got: s}}
	}
	*to = T(s)
	return nil
}

// checkAddr returns what is wrong with an ip:port, or "".
func checkAddr(s string, allowAny bool) string {
	ap, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		return "not an IP address with a port"
	case ap.Port() == 0:
		return "port 0"
	case !allowAny && ap.Addr().IsUnspecified():
		return "other hosts cannot connect to an unspecified address"
	default:
		return ""
	}
}

func parseAddr(to *string, s string, allowAny bool) []problem {
	if detail := checkAddr(s, allowAny); detail != "" {
		return []problem{{got: s, detail: detail}}
	}
	*to = s
	return nil
}

func parseAddrs(to *[]string, s string) []problem {
	var found []problem
	for _, item := range splitList(s) {
		if detail := checkAddr(item, false); detail != "" {
			found = append(found, problem{got: item, detail: detail})
			continue
		}
		if slices.Contains(*to, item) {
			found = append(found, problem{got: item, detail: "given twice"})
			continue
		}
		*to = append(*to, item)
	}
	return found
}

func splitList(s string) []string {
	items := strings.Split(s, ",")
	for i, item := range items {
		items[i] = strings.TrimSpace(item)
	}
	return items
}

// parsePeers reads host=ip:port, host=ip:port and checks names, addresses, duplicates and the length.
func parsePeers(to *[]Peer, s string, sizes []int) []problem {
	var found []problem
	items := splitList(s)
	for _, item := range items {
		p, detail := parsePeer(item)
		if detail == "" {
			detail = clash(*to, p)
		}
		if detail != "" {
			found = append(found, problem{got: item, detail: detail})
			continue
		}
		*to = append(*to, p)
	}
	if sizes != nil && !slices.Contains(sizes, len(items)) {
		found = append(found, wrong(s, "a list of %d", len(items))...)
	}
	return found
}

func parsePeer(item string) (Peer, string) {
	name, addr, ok := strings.Cut(item, "=")
	if !ok {
		return Peer{}, "without '='"
	}
	p := Peer{Host: model.HostID(strings.TrimSpace(name)), Addr: strings.TrimSpace(addr)}
	if !validName(string(p.Host)) {
		return p, "not a host name"
	}
	return p, checkAddr(p.Addr, false)
}

func clash(peers []Peer, p Peer) string {
	for _, o := range peers {
		if o.Host == p.Host {
			return "the host is given twice"
		}
		if o.Addr == p.Addr {
			return fmt.Sprintf("host %s has the same address", o.Host)
		}
	}
	return ""
}

func parseTokens(to *[]Token, s string) []problem {
	var found []problem
	for _, item := range splitList(s) {
		t, detail := parseToken(item)
		if detail == "" && slices.ContainsFunc(*to, func(o Token) bool { return o.Actor == t.Actor || o.Hash == t.Hash }) {
			detail = "the name or the hash is given twice"
		}
		if detail != "" {
			found = append(found, problem{got: item, detail: detail})
			continue
		}
		*to = append(*to, t)
	}
	return found
}

func parseToken(item string) (Token, string) {
	actor, digest, ok := strings.Cut(item, ":")
	if !ok || !validName(actor) {
		return Token{}, "without a valid operator's name before ':'"
	}
	hash, err := hex.DecodeString(digest)
	if err != nil || len(hash) != len(Token{}.Hash) {
		return Token{}, "the hash is not 64 hexadecimal digits"
	}
	return Token{Actor: actor, Hash: [32]byte(hash)}, ""
}

func parseInt(to *int, s string, least, most int) []problem {
	n, err := strconv.Atoi(s)
	if err != nil || n < least || n > most {
		return []problem{{got: s}}
	}
	*to = n
	return nil
}

func parseDuration(to *time.Duration, s string, least, most time.Duration) []problem {
	d, err := time.ParseDuration(s)
	if err != nil || d < least || d > most {
		return []problem{{got: s}}
	}
	*to = d
	return nil
}

func parseBool(to *bool, s string) []problem {
	if s != "true" && s != "false" {
		return []problem{{got: s}}
	}
	*to = s == "true"
	return nil
}

func parseChoice(to *string, s string, choices ...string) []problem {
	if !slices.Contains(choices, s) {
		return []problem{{got: s}}
	}
	*to = s
	return nil
}
