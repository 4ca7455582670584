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

// problem describes an invalid value or an invalid element of a list.
type problem struct {
	// got is the text that was read.
	got string
	// detail explains the cause. It is empty where the allowed values say enough.
	detail string
}

// newProblem returns a list with one problem, whose detail is formatted.
func newProblem(got, format string, args ...any) []problem {
	return []problem{{got: got, detail: fmt.Sprintf(format, args...)}}
}

const namePattern = `^[A-Za-z0-9][A-Za-z0-9._-]*$`

func isValidName(s string) bool {
	return len(s) <= model.MaxNameLength && regexp.MustCompile(namePattern).MatchString(s)
}

func parseName[T ~string](to *T, s string) []problem {
	if !isValidName(s) {
		return []problem{{got: s}}
	}
	*to = T(s)
	return nil
}

// checkAddr returns why s is not a valid ip:port, or "" if it is. The
// unspecified address is valid only with allowAny.
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

// parseAddrs parses a list of ip:port without duplicates.
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

// splitList splits a list at its commas and trims spaces around the elements.
func splitList(s string) []string {
	items := strings.Split(s, ",")
	for i, item := range items {
		items[i] = strings.TrimSpace(item)
	}
	return items
}

// parsePeers parses a list of host=ip:port without duplicate hosts or addresses.
// Its length must be one of sizes, unless sizes is nil.
func parsePeers(to *[]Peer, s string, sizes []int) []problem {
	var found []problem
	items := splitList(s)
	for _, item := range items {
		p, detail := parsePeer(item)
		if detail == "" {
			detail = findDuplicate(*to, p)
		}
		if detail != "" {
			found = append(found, problem{got: item, detail: detail})
			continue
		}
		*to = append(*to, p)
	}
	if sizes != nil && !slices.Contains(sizes, len(items)) {
		found = append(found, newProblem(s, "a list of %d", len(items))...)
	}
	return found
}

// parsePeer parses host=ip:port. It returns what is wrong, or "".
func parsePeer(item string) (Peer, string) {
	name, addr, ok := strings.Cut(item, "=")
	if !ok {
		return Peer{}, "without '='"
	}
	p := Peer{Host: model.HostID(strings.TrimSpace(name)), Addr: strings.TrimSpace(addr)}
	if !isValidName(string(p.Host)) {
		return p, "not a host name"
	}
	return p, checkAddr(p.Addr, false)
}

// findDuplicate describes how p repeats a host or an address of peers, or returns "".
func findDuplicate(peers []Peer, p Peer) string {
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

// parseTokens parses a list of name:hash without duplicate names or hashes.
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

// parseToken parses name:hash. It returns what is wrong, or "".
func parseToken(item string) (Token, string) {
	actor, digest, ok := strings.Cut(item, ":")
	if !ok || !isValidName(actor) {
		return Token{}, "without a valid operator's name before ':'"
	}
	hash, err := hex.DecodeString(digest)
	if err != nil || len(hash) != len(Token{}.Hash) {
		return Token{}, "the hash is not 64 hexadecimal digits"
	}
	return Token{Actor: actor, Hash: [32]byte(hash)}, ""
}

func parseInt(to *int, s string, lowest, highest int) []problem {
	n, err := strconv.Atoi(s)
	if err != nil || n < lowest || n > highest {
		return []problem{{got: s}}
	}
	*to = n
	return nil
}

func parseDuration(to *time.Duration, s string, lowest, highest time.Duration) []problem {
	d, err := time.ParseDuration(s)
	if err != nil || d < lowest || d > highest {
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
