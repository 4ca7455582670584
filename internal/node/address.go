package node

import (
	"net/netip"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// addressSeparator stands for the colon of an address in a host name.
const addressSeparator = "_"

// HostForAddr returns the name of the host with a fleet address, for fleets whose
// settings name only a few addresses: the name tells where the host is.
func HostForAddr(addr string) model.HostID {
	return model.HostID(strings.ReplaceAll(addr, ":", addressSeparator))
}

// AddrOfHost returns the fleet address that a host name tells, and false if it tells none.
func AddrOfHost(host model.HostID) (string, bool) {
	addr := strings.ReplaceAll(string(host), addressSeparator, ":")
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return "", false
	}
	return addr, true
}
