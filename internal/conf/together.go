package conf

import (
	"fmt"
	"net/netip"
	"slices"
)

// checkTogether finds settings that are fine by themselves but contradict each other.
func (r *reader) checkTogether(v values, f files) {
	r.checkListen(v.listen)
	if !slices.Contains(fleetRoles(), r.role) {
		return
	}
	r.checkOneAddress(v.fleet)
	r.checkSelf(v)
	r.checkCreation(v)
	r.checkJoin(v)
	r.checkTLS(v, f)
}

// checkListen keeps the trust domains on different ports.
func (r *reader) checkListen(l Listen) {
	all := []struct{ key, addr string }{{"callers", l.Callers}, {"announce", l.Announce}, {"fleet", l.Fleet}, {"operators", l.Operators}}
	for i, a := range all {
		for _, b := range all[:i] {
			if overlap(a.addr, b.addr) {
				r.fault("listen", a.key, problem{got: a.addr, detail: b.key + " has the same address"}, "a different address for each purpose")
			}
		}
	}
}

// overlap reports whether two addresses cannot both be listened on.
func overlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

func (f Fleet) lists() []struct {
	key   string
	peers []Peer
} {
	return []struct {
		key   string
		peers []Peer
	}{{"controls", f.Controls}, {"seats", f.Seats}, {"journals", f.Journals}}
}

// checkOneAddress finds a host with two addresses and an address with two hosts.
func (r *reader) checkOneAddress(f Fleet) {
	var seen []Peer
	for _, list := range f.lists() {
		for _, p := range list.peers {
			i := slices.IndexFunc(seen, func(o Peer) bool { return (o.Host == p.Host) != (o.Addr == p.Addr) })
			if i >= 0 {
				r.fault("fleet", list.key, problem{got: string(p.Host) + "=" + p.Addr, detail: fmt.Sprintf("another list has %s=%s", seen[i].Host, seen[i].Addr)}, "one address for each host in all lists")
			}
		}
		seen = append(seen, list.peers...)
	}
}

// checkCreation keeps a new fleet from starting with an even number of control
// hosts, which tolerates no more losses than one host fewer. A running fleet
// has one while a control host is replaced.
func (r *reader) checkCreation(v values) {
	if n := len(v.fleet.Controls); r.role == RoleControl && v.create && n > 0 && n%2 == 0 {
		r.fault("fleet", "controls", problem{got: fmt.Sprintf("a list of %d", n), detail: "[control] create_fleet is true"}, "1, 3 or 5 hosts to create a fleet")
	}
}

// checkJoin finds settings of joining that do not fit together.
func (r *reader) checkJoin(v values) {
	if r.role != RoleControl {
		return
	}
	if (v.join.Size > 0) != v.fleet.OwnersAtControl {
		r.fault("control", "join_size", problem{got: fmt.Sprint(v.join.Size), detail: "[fleet] owners does not fit"}, "more than 0 exactly if [fleet] owners is control")
	}
	if v.join.Size > 0 && v.join.MinCopies > v.join.Size/2+1 {
		r.fault("control", "min_copies", problem{got: fmt.Sprint(v.join.MinCopies), detail: "more than a majority of join_size"}, "at most a majority of [control] join_size")
	}
	if v.join.Size > 0 && !v.fleet.AddressNames {
		r.fault("fleet", "address_names", problem{got: "false", detail: "[control] join_size is not 0"}, "true where hosts join by themselves")
	}
}

// checkSelf checks that the host stands in the lists of its role with its own fleet address.
func (r *reader) checkSelf(v values) {
	needed := map[string]bool{
		"controls": r.role == RoleControl && v.join.Size == 0,
		"journals": r.role == RoleJournal || (r.role == RoleControl && v.journal),
	}
	for _, list := range v.fleet.lists() {
		i := slices.IndexFunc(list.peers, func(p Peer) bool { return p.Host == v.host.Name })
		switch {
		case v.host.Name == "" || len(list.peers) == 0:
		case i < 0 && needed[list.key]:
			r.fault("fleet", list.key, problem{got: "without this host, " + string(v.host.Name)}, "a list with every host of this kind")
		case i >= 0 && v.listen.Fleet != "" && list.peers[i].Addr != v.listen.Fleet:
			r.fault("fleet", list.key, problem{got: string(v.host.Name) + "=" + list.peers[i].Addr, detail: "[listen] fleet is " + v.listen.Fleet}, "the same address in both settings")
		}
	}
}
