package conf

import (
	"fmt"
	"net/netip"
	"slices"
)

// checkConsistency reports settings that are valid alone but contradict each other.
func (r *fileReader) checkConsistency(v values, f files) {
	r.checkListenAddresses(v.listen)
	if !slices.Contains(fleetRoles(), r.role) {
		return
	}
	r.checkUniqueAddresses(v.fleet)
	r.checkOwnAddress(v)
	r.checkFleetCreation(v)
	r.checkJoin(v)
	r.checkTLS(v, f)
}

// checkListenAddresses reports listening addresses that overlap. Callers, targets,
// hosts and operators are trusted differently, so each needs a port of its own.
func (r *fileReader) checkListenAddresses(l Listen) {
	all := []struct{ key, addr string }{{"callers", l.Callers}, {"announce", l.Announce}, {"fleet", l.Fleet}, {"operators", l.Operators}}
	for i, a := range all {
		for _, b := range all[:i] {
			if addressesOverlap(a.addr, b.addr) {
				r.addFault("listen", a.key, problem{got: a.addr, detail: b.key + " has the same address"}, "a different address for each purpose")
			}
		}
	}
}

// addressesOverlap reports whether a process cannot listen on both addresses.
func addressesOverlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// peerLists returns the lists of hosts with their keys in section [fleet].
func (f Fleet) peerLists() []struct {
	key   string
	peers []Peer
} {
	return []struct {
		key   string
		peers []Peer
	}{{"controls", f.Controls}, {"seats", f.Seats}, {"journals", f.Journals}}
}

// checkUniqueAddresses reports a host that has different addresses in different
// lists, and an address that belongs to different hosts.
func (r *fileReader) checkUniqueAddresses(f Fleet) {
	var seen []Peer
	for _, list := range f.peerLists() {
		for _, p := range list.peers {
			i := slices.IndexFunc(seen, func(o Peer) bool { return (o.Host == p.Host) != (o.Addr == p.Addr) })
			if i >= 0 {
				r.addFault("fleet", list.key, problem{got: string(p.Host) + "=" + p.Addr, detail: fmt.Sprintf("another list has %s=%s", seen[i].Host, seen[i].Addr)}, "one address for each host in all lists")
			}
		}
		seen = append(seen, list.peers...)
	}
}

// checkFleetCreation reports an even number of control hosts in a new fleet, since
// it tolerates no more losses than one host fewer. A running fleet may have an
// even number while a control host is replaced.
func (r *fileReader) checkFleetCreation(v values) {
	if n := len(v.fleet.Controls); r.role == RoleControl && v.createFleet && n > 0 && n%2 == 0 {
		r.addFault("fleet", "controls", problem{got: fmt.Sprintf("a list of %d", n), detail: "[control] create_fleet is true"}, "1, 3 or 5 hosts to create a fleet")
	}
}

// checkJoin reports settings for joining that contradict each other.
func (r *fileReader) checkJoin(v values) {
	if r.role != RoleControl {
		return
	}
	if (v.join.Size > 0) != v.fleet.OwnersAtControl {
		r.addFault("control", "join_size", problem{got: fmt.Sprint(v.join.Size), detail: "[fleet] owners does not fit"}, "more than 0 exactly if [fleet] owners is control")
	}
	if v.join.Size > 0 && v.join.MinCopies > v.join.Size/2+1 {
		r.addFault("control", "min_copies", problem{got: fmt.Sprint(v.join.MinCopies), detail: "more than a majority of join_size"}, "at most a majority of [control] join_size")
	}
	if v.join.Size > 0 && !v.fleet.AddressNames {
		r.addFault("fleet", "address_names", problem{got: "false", detail: "[control] join_size is not 0"}, "true where hosts join by themselves")
	}
}

// checkOwnAddress reports a host that is absent from a list of its role, or that
// has an address there other than its own fleet address.
func (r *fileReader) checkOwnAddress(v values) {
	needed := map[string]bool{
		"controls": r.role == RoleControl && v.join.Size == 0,
		"journals": r.role == RoleJournal || (r.role == RoleControl && v.journal),
	}
	for _, list := range v.fleet.peerLists() {
		i := slices.IndexFunc(list.peers, func(p Peer) bool { return p.Host == v.host.Name })
		switch {
		case v.host.Name == "" || len(list.peers) == 0:
		case i < 0 && needed[list.key]:
			r.addFault("fleet", list.key, problem{got: "without this host, " + string(v.host.Name)}, "a list with every host of this kind")
		case i >= 0 && v.listen.Fleet != "" && list.peers[i].Addr != v.listen.Fleet:
			r.addFault("fleet", list.key, problem{got: string(v.host.Name) + "=" + list.peers[i].Addr, detail: "[listen] fleet is " + v.listen.Fleet}, "the same address in both settings")
		}
	}
}
