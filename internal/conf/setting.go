package conf

import (
	"strings"
	"time"
)

// Role is the kind of process that a settings file is for.
type Role string

// Roles that have a settings file.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleJournal Role = "journal"
	RoleSeat    Role = "seat"
	RoleAll     Role = "all"
	RoleTarget  Role = "target"
	RoleClient  Role = "client"
)

// Roles returns all roles that have a settings file.
func Roles() []Role {
	return []Role{RoleControl, RoleEntry, RoleJournal, RoleSeat, RoleAll, RoleTarget, RoleClient}
}

// Setting describes one setting, as the reference shows it.
type Setting struct {
	Section string
	Key     string
	// Roles lists the roles that use the setting. Required lists those of them
	// whose settings files must have it.
	Roles    []Role
	Required []Role
	// Default is the value if the key is absent. It is ignored for roles in Required.
	Default string
	// Allowed describes the allowed values.
	Allowed string
	Help    string
}

// setting is a Setting with its parser.
type setting struct {
	Setting
	// set parses s and stores the result in v, or returns what is wrong with s.
	set func(v *values, f files, s string) []problem
}

// values holds the parsed settings of all roles.
type values struct {
	host        Host
	listen      Listen
	fleet       Fleet
	tls         TLS
	limits      Limits
	log         Log
	operators   Operators
	journal     bool
	createFleet bool
	join        Join
	headers     Headers
	target      Target
	client      Client
}

// Descriptions of allowed values that several settings share.
const (
	allowedName          = "1 to 64 letters, digits, '.', '-' or '_', starting with a letter or digit"
	allowedListenAddress = "an IP address and a port from 1 to 65535, such as 10.0.0.7:8080"
	allowedSecretFile    = "the path of a file with a secret of 16 to 4096 bytes that only its owner and group can read"
)

// fleetRoles returns the roles of the hosts that make up a fleet.
func fleetRoles() []Role { return []Role{RoleControl, RoleEntry, RoleJournal, RoleSeat} }

// processRoles returns the roles of fleetRoles and RoleAll, which runs all of them
// in one process.
func processRoles() []Role { return append(fleetRoles(), RoleAll) }

// settings returns all settings, in the order of the reference.
func settings() []setting {
	var all []setting
	all = append(all, hostSettings()...)
	all = append(all, listenSettings()...)
	all = append(all, fleetSettings()...)
	all = append(all, joinSettings()...)
	all = append(all, headerSettings()...)
	all = append(all, tlsSettings()...)
	all = append(all, limitSettings()...)
	all = append(all, logSettings()...)
	all = append(all, operatorSettings()...)
	all = append(all, controlSettings()...)
	all = append(all, targetSettings()...)
	return append(all, clientSettings()...)
}

func hostSettings() []setting {
	return []setting{
		{
			Setting{Section: "host", Key: "name", Roles: processRoles(), Required: fleetRoles(), Default: "all-1", Allowed: allowedName, Help: "name of this host, unique over the fleet"},
			func(v *values, _ files, s string) []problem { return parseName(&v.host.Name, s) },
		},
		{
			Setting{Section: "host", Key: "zone", Roles: processRoles(), Required: fleetRoles(), Default: "zone-1", Allowed: allowedName, Help: "availability zone of this host"},
			func(v *values, _ files, s string) []problem { return parseName(&v.host.Zone, s) },
		},
		{
			Setting{Section: "host", Key: "data_dir", Roles: []Role{RoleControl, RoleJournal, RoleAll}, Required: []Role{RoleControl, RoleJournal, RoleAll}, Allowed: "the path of an existing folder on a local disk", Help: "folder for the state of this host; one process uses it at a time"},
			func(v *values, f files, s string) []problem { return f.checkDir(&v.host.DataDir, s) },
		},
	}
}

func listenSettings() []setting {
	entryOrAll := []Role{RoleEntry, RoleAll}
	return []setting{
		{
			Setting{Section: "listen", Key: "callers", Roles: entryOrAll, Required: []Role{RoleEntry}, Default: "127.0.0.1:8080", Allowed: allowedListenAddress, Help: "address for callers"},
			func(v *values, _ files, s string) []problem { return parseAddr(&v.listen.Callers, s, true) },
		},
		{
			Setting{Section: "listen", Key: "announce", Roles: entryOrAll, Required: []Role{RoleEntry}, Default: "127.0.0.1:8081", Allowed: allowedListenAddress, Help: "address for announcements of targets"},
			func(v *values, _ files, s string) []problem { return parseAddr(&v.listen.Announce, s, true) },
		},
		{
			Setting{Section: "listen", Key: "fleet", Roles: processRoles(), Required: fleetRoles(), Default: "127.0.0.1:8082", Allowed: allowedListenAddress + ", not 0.0.0.0", Help: "address for other hosts of the fleet, who connect to it as written here; keep it on a private network"},
			func(v *values, _ files, s string) []problem { return parseAddr(&v.listen.Fleet, s, false) },
		},
		{
			Setting{Section: "listen", Key: "operators", Roles: processRoles(), Required: fleetRoles(), Default: "127.0.0.1:8083", Allowed: allowedListenAddress, Help: "address for operators, health checks and metrics; callers and targets must not be able to reach it"},
			func(v *values, _ files, s string) []problem { return parseAddr(&v.listen.Operators, s, true) },
		},
	}
}

func fleetSettings() []setting {
	list := func(sizes string) string {
		return "a list of " + sizes + " host=ip:port, separated by commas, without duplicates"
	}
	return []setting{
		{
			Setting{Section: "fleet", Key: "name", Roles: fleetRoles(), Required: fleetRoles(), Allowed: allowedName, Help: "name of the fleet; hosts of another fleet are refused"},
			func(v *values, _ files, s string) []problem { return parseName(&v.fleet.Name, s) },
		},
		{
			Setting{Section: "fleet", Key: "secret_file", Roles: fleetRoles(), Required: fleetRoles(), Allowed: allowedSecretFile, Help: "secret that all hosts of the fleet share"},
			func(v *values, f files, s string) []problem { return f.readSecret(&v.fleet.Secret, s) },
		},
		{
			Setting{Section: "fleet", Key: "controls", Roles: fleetRoles(), Required: fleetRoles(), Allowed: list("1 to 5"), Help: "control hosts with their fleet addresses; 2 or 4 only while one is added or removed, not with create_fleet"},
			func(v *values, _ files, s string) []problem {
				return parsePeers(&v.fleet.Controls, s, []int{1, 2, 3, 4, 5})
			},
		},
		{
			Setting{Section: "fleet", Key: "seats", Roles: fleetRoles(), Required: fleetRoles(), Allowed: list("1, 3, 5 or 7"), Help: "entry hosts or seat hosts that confirm versions and grant leases, with their fleet addresses"},
			func(v *values, _ files, s string) []problem {
				return parsePeers(&v.fleet.Seats, s, []int{1, 3, 5, 7})
			},
		},
		{
			Setting{Section: "fleet", Key: "journals", Roles: fleetRoles(), Required: fleetRoles(), Allowed: list("1, 3 or 5"), Help: "hosts that keep order reservations, with their fleet addresses"},
			func(v *values, _ files, s string) []problem {
				return parsePeers(&v.fleet.Journals, s, []int{1, 3, 5})
			},
		},
	}
}

func limitSettings() []setting {
	entryOrAll := []Role{RoleEntry, RoleAll}
	return []setting{
		{
			Setting{Section: "limits", Key: "header_bytes", Roles: entryOrAll, Default: "32768", Allowed: "a number from 1024 to 1048576", Help: "longest request header of a caller"},
			func(v *values, _ files, s string) []problem { return parseInt(&v.limits.HeaderBytes, s, 1<<10, 1<<20) },
		},
		{
			Setting{Section: "limits", Key: "body_bytes", Roles: entryOrAll, Default: "1048576", Allowed: "a number from 1024 to 67108864", Help: "longest request body of a caller"},
			func(v *values, _ files, s string) []problem { return parseInt(&v.limits.BodyBytes, s, 1<<10, 64<<20) },
		},
		{
			Setting{Section: "limits", Key: "answer_bytes", Roles: entryOrAll, Default: "67108864", Allowed: "a number from 1024 to 1073741824", Help: "longest response body of a target; a longer one is broken off, since it may have no end"},
			func(v *values, _ files, s string) []problem { return parseInt(&v.limits.AnswerBytes, s, 1<<10, 1<<30) },
		},
		durationSetting("header_timeout", entryOrAll, "5s", "time a caller has to send a header", func(v *values) *time.Duration { return &v.limits.HeaderTimeout }),
		durationSetting("body_timeout", entryOrAll, "10s", "time a caller has to send a body", func(v *values) *time.Duration { return &v.limits.BodyTimeout }),
		durationSetting("idle_timeout", entryOrAll, "60s", "time after which an idle connection of a caller is closed", func(v *values) *time.Duration { return &v.limits.IdleTimeout }),
		durationSetting("stop_timeout", processRoles(), "30s", "longest graceful shutdown", func(v *values) *time.Duration { return &v.limits.StopTimeout }),
		{
			Setting{Section: "limits", Key: "connections", Roles: entryOrAll, Default: "10000", Allowed: "a number from 1 to 1000000", Help: "connections of callers at one time"},
			func(v *values, _ files, s string) []problem { return parseInt(&v.limits.Connections, s, 1, 1000000) },
		},
		{
			Setting{Section: "limits", Key: "operators_bytes", Roles: processRoles(), Default: "1048576", Allowed: "a number from 1024 to 8388608", Help: "longest request body of an operator"},
			func(v *values, _ files, s string) []problem {
				return parseInt(&v.limits.OperatorsBytes, s, 1<<10, 8<<20)
			},
		},
		{
			Setting{Section: "limits", Key: "link_queue", Roles: processRoles(), Default: "4096", Allowed: "a number from 16 to 1048576", Help: "messages waiting for one host of the fleet; more are dropped"},
			func(v *values, _ files, s string) []problem { return parseInt(&v.limits.LinkQueue, s, 16, 1<<20) },
		},
	}
}

// durationSetting returns a setting of section [limits] that holds a duration.
func durationSetting(key string, roles []Role, def, help string, field func(*values) *time.Duration) setting {
	return setting{
		Setting{Section: "limits", Key: key, Roles: roles, Default: def, Allowed: "a duration from 10ms to 10m, such as 5s", Help: help},
		func(v *values, _ files, s string) []problem {
			return parseDuration(field(v), s, 10*time.Millisecond, 10*time.Minute)
		},
	}
}

func logSettings() []setting {
	roles := append(processRoles(), RoleTarget)
	return []setting{
		{
			Setting{Section: "log", Key: "level", Roles: roles, Default: "info", Allowed: "debug, info or error", Help: "least severity that is logged"},
			func(v *values, _ files, s string) []problem {
				return parseChoice(&v.log.Level, s, "debug", "info", "error")
			},
		},
		{
			Setting{Section: "log", Key: "format", Roles: roles, Default: "json", Allowed: "json or text", Help: "form of a log line"},
			func(v *values, _ files, s string) []problem { return parseChoice(&v.log.Format, s, "json", "text") },
		},
	}
}

func operatorSettings() []setting {
	return []setting{{
		Setting{Section: "operators", Key: "tokens", Roles: processRoles(), Required: []Role{RoleControl}, Allowed: "a list of name:hash, separated by commas, where hash is the SHA-256 digest of the token in 64 hexadecimal digits", Help: "operators and the digests of their tokens; without any, only health checks and metrics answer"},
		func(v *values, _ files, s string) []problem { return parseTokens(&v.operators.Tokens, s) },
	}}
}

func controlSettings() []setting {
	return []setting{
		{
			Setting{Section: "control", Key: "journal", Roles: []Role{RoleControl}, Default: "true", Allowed: "true or false", Help: "whether this process also keeps order reservations; it must then stand in [fleet] journals"},
			func(v *values, _ files, s string) []problem { return parseBool(&v.journal, s) },
		},
		{
			Setting{Section: "control", Key: "create_fleet", Roles: []Role{RoleControl}, Default: "false", Allowed: "true or false", Help: "true only for the first start of a new fleet; a host that lost its disk must start with false"},
			func(v *values, _ files, s string) []problem { return parseBool(&v.createFleet, s) },
		},
		{
			Setting{Section: "journal", Key: "create_fleet", Roles: []Role{RoleJournal}, Default: "false", Allowed: "true or false", Help: "true only for the first start of a new fleet; a host that lost its disk must start with false"},
			func(v *values, _ files, s string) []problem { return parseBool(&v.createFleet, s) },
		},
	}
}

func targetSettings() []setting {
	targetOnly := []Role{RoleTarget}
	return []setting{
		{
			Setting{Section: "target", Key: "service", Roles: targetOnly, Required: targetOnly, Allowed: allowedName, Help: "service the target belongs to"},
			func(v *values, _ files, s string) []problem { return parseName(&v.target.Service, s) },
		},
		{
			Setting{Section: "target", Key: "name", Roles: targetOnly, Required: targetOnly, Allowed: allowedName, Help: "name of the target, unique in its service"},
			func(v *values, _ files, s string) []problem { return parseName(&v.target.Target, s) },
		},
		{
			Setting{Section: "target", Key: "zone", Roles: targetOnly, Required: targetOnly, Allowed: allowedName, Help: "availability zone of the target"},
			func(v *values, _ files, s string) []problem { return parseName(&v.target.Zone, s) },
		},
		{
			Setting{Section: "target", Key: "addr", Roles: targetOnly, Required: targetOnly, Allowed: allowedListenAddress + ", not 0.0.0.0", Help: "address the target listens on and announces"},
			func(v *values, _ files, s string) []problem { return parseAddr(&v.target.Addr, s, false) },
		},
		{
			Setting{Section: "target", Key: "slots", Roles: targetOnly, Default: "3", Allowed: "a number from 1 to 10000", Help: "requests the target runs at once"},
			func(v *values, _ files, s string) []problem { return parseInt(&v.target.Slots, s, 1, 10000) },
		},
		{
			Setting{Section: "target", Key: "announce", Roles: targetOnly, Required: targetOnly, Allowed: "a list of ip:port, separated by commas, without duplicates", Help: "announcement addresses of entry hosts, tried in turn"},
			func(v *values, _ files, s string) []problem { return parseAddrs(&v.target.Announce, s) },
		},
		{
			Setting{Section: "target", Key: "secret_file", Roles: targetOnly, Required: targetOnly, Allowed: allowedSecretFile, Help: "announcement secret of the service"},
			func(v *values, f files, s string) []problem { return f.readSecret(&v.target.Secret, s) },
		},
		{
			Setting{Section: "target", Key: "latency", Roles: targetOnly, Default: "5ms", Allowed: "a duration from 0s to 1m", Help: "time one request takes"},
			func(v *values, _ files, s string) []problem {
				return parseDuration(&v.target.Latency, s, 0, time.Minute)
			},
		},
	}
}

func clientSettings() []setting {
	clientOnly := []Role{RoleClient}
	return []setting{
		{
			Setting{Section: "client", Key: "addresses", Roles: clientOnly, Required: clientOnly, Allowed: "a list of host=ip:port, separated by commas, without duplicates", Help: "control hosts with their operators' addresses"},
			func(v *values, _ files, s string) []problem { return parsePeers(&v.client.Addresses, s, nil) },
		},
		{
			Setting{Section: "client", Key: "token_file", Roles: clientOnly, Required: clientOnly, Allowed: allowedSecretFile, Help: "the operator's token"},
			func(v *values, f files, s string) []problem { return f.readSecret(&v.client.Token, s) },
		},
		{
			Setting{Section: "client", Key: "output", Roles: clientOnly, Default: "text", Allowed: "text or json", Help: "form of output unless --output is given"},
			func(v *values, _ files, s string) []problem { return parseChoice(&v.client.Output, s, "text", "json") },
		},
		{
			Setting{Section: "client", Key: "timeout", Roles: clientOnly, Default: "10s", Allowed: "a duration from 100ms to 10m", Help: "longest wait for one answer of one host"},
			func(v *values, _ files, s string) []problem {
				return parseDuration(&v.client.Timeout, s, 100*time.Millisecond, 10*time.Minute)
			},
		},
	}
}

// Reference returns the settings of all roles, in the order of the sections.
func Reference() []Setting {
	var all []Setting
	for _, s := range settings() {
		all = append(all, s.Setting)
	}
	return all
}

// ReferenceTable returns the reference as a Markdown table.
func ReferenceTable() string {
	var b strings.Builder
	b.WriteString("| section | key | roles | required by | default | allowed | meaning |\n|---|---|---|---|---|---|---|\n")
	for _, s := range Reference() {
		cells := []string{s.Section, s.Key, joinRoles(s.Roles), joinRoles(s.Required), s.Default, s.Allowed, s.Help}
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	return b.String()
}

func joinRoles(roles []Role) string {
	names := make([]string, 0, len(roles))
	for _, r := range roles {
		names = append(names, string(r))
	}
	return strings.Join(names, ", ")
}
