package node

import (
	"net/netip"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// addressSeparator replaces the colons of an address in a host name.
const addressSeparator = "_"

// HostForAddr returns the host name that stands for a fleet address. Fleets whose
// settings list only a few addresses use such names, so that the address of every
// host follows from its name.
func HostForAddr(addr string) model.HostID {
	return model.HostID(strings.ReplaceAll(addr, ":", addressSeparator))
}

// AddrOfHost returns the fleet address that a host name stands for. It returns
// false if the name does not stand for an address.
func AddrOfHost(host model.HostID) (string, bool) {
	addr := strings.ReplaceAll(string(host), addressSeparator, ":")
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return "", false
	}
	return addr, true
}
