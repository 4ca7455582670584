package conf

import "time"

// Values of the settings unconfirmed and owners in section [fleet].
const (
	refuseUnconfirmed = "refuse"
	serveUnconfirmed  = "serve"
	ownersAtEntry     = "entry"
	ownersAtControl   = "control"
)

// joinSettings returns the settings for fleets whose control hosts join by
// themselves or own the shards.
func joinSettings() []setting {
	control := []Role{RoleControl}
	both := []Role{RoleControl, RoleEntry}
	return []setting{
		{
			Setting{Section: "fleet", Key: "address_names", Roles: both, Default: "false", Allowed: "true or false", Help: "true if each host is named by its fleet address as IP_PORT, so that hosts that no settings file names are reached"},
			func(v *values, _ files, s string) []problem { return parseBool(&v.fleet.AddressNames, s) },
		},
		{
			Setting{Section: "fleet", Key: "unconfirmed", Roles: both, Default: refuseUnconfirmed, Allowed: "refuse or serve", Help: "what an entry host does with keyed requests while nothing confirms its configuration; with serve a withdrawn key may go on working on a host that is cut off"},
			func(v *values, _ files, s string) []problem {
				var choice string
				found := parseChoice(&choice, s, refuseUnconfirmed, serveUnconfirmed)
				v.fleet.ServeUnconfirmed = choice == serveUnconfirmed
				return found
			},
		},
		{
			Setting{Section: "fleet", Key: "owners", Roles: both, Default: ownersAtEntry, Allowed: "entry or control", Help: "which hosts own shards; with control, control hosts are seats too, take announcements, and entry hosts ask the one of their zone; all hosts need the same"},
			func(v *values, _ files, s string) []problem {
				var choice string
				found := parseChoice(&choice, s, ownersAtEntry, ownersAtControl)
				v.fleet.OwnersAtControl = choice == ownersAtControl
				return found
			},
		},
		{
			Setting{Section: "fleet", Key: "forward", Roles: both, Default: "false", Allowed: "true or false", Help: "whether hosts pass messages on for entry hosts that are cut off from control; every host can then speak in the name of another"},
			func(v *values, _ files, s string) []problem { return parseBool(&v.fleet.Forward, s) },
		},
		{
			Setting{Section: "fleet", Key: "compress", Roles: both, Default: "false", Allowed: "true or false", Help: "whether links are compressed; used where both hosts ask for it"},
			func(v *values, _ files, s string) []problem { return parseBool(&v.fleet.Compress, s) },
		},
		{
			Setting{Section: "fleet", Key: "pace", Roles: both, Default: "false", Allowed: "true or false", Help: "whether requests are spread over targets by what was sent to them lately too, and not only by their slots in use"},
			func(v *values, _ files, s string) []problem { return parseBool(&v.fleet.Pace, s) },
		},
		{
			Setting{Section: "control", Key: "join_size", Roles: control, Default: "0", Allowed: "0, 1, 3 or 5", Help: "number of control hosts and seats that the fleet keeps by itself; 0 leaves the lists to the operators"},
			func(v *values, _ files, s string) []problem { return parseJoinSize(&v.join.Size, s) },
		},
		{
			Setting{Section: "control", Key: "min_copies", Roles: control, Default: "1", Allowed: "a number from 1 to 3", Help: "synced copies that a whole configuration needs before it is accepted: one more than the disks that may be lost at once"},
			func(v *values, _ files, s string) []problem { return parseInt(&v.join.MinCopies, s, 1, 3) },
		},
		durationSetting("leave_time", []Role{RoleEntry}, "1s", "time for which a host that stops goes on taking requests while the balancer learns of it", func(v *values) *time.Duration { return &v.limits.LeaveTime }),
	}
}

// parseJoinSize parses 0, 1, 3 or 5.
func parseJoinSize(to *int, s string) []problem {
	var n int
	if found := parseInt(&n, s, 0, 5); found != nil {
		return found
	}
	if n != 0 && n%2 == 0 {
		return newProblem(s, "an even number tolerates no more losses than one host fewer")
	}
	*to = n
	return nil
}

// headerSettings returns the settings of the headers between callers, entry
// hosts and targets.
func headerSettings() []setting {
	entry := []Role{RoleEntry}
	const allowedHeader = "a header name in canonical case, such as X-Request-Id"
	name := func(key, def, help string, to func(*values) *string) setting {
		return setting{
			Setting{Section: "headers", Key: key, Roles: entry, Default: def, Allowed: allowedHeader, Help: help},
			func(v *values, _ files, s string) []problem { return parseName(to(v), s) },
		}
	}
	flag := func(key, help string, to func(*values) *bool) setting {
		return setting{
			Setting{Section: "headers", Key: key, Roles: entry, Default: "false", Allowed: "true or false", Help: help},
			func(v *values, _ files, s string) []problem { return parseBool(to(v), s) },
		}
	}
	return []setting{
		name("request_id", "X-Request-Id", "identifies a request to its target, which sends it back", func(v *values) *string { return &v.headers.RequestID }),
		name("deadline", "X-Deadline-Ms", "time left in milliseconds, of callers and to targets", func(v *values) *string { return &v.headers.Deadline }),
		name("workspace", "X-Workspace", "tells a target whose request it runs", func(v *values) *string { return &v.headers.Workspace }),
		name("not_run", "X-Shed", "marks a target's answer that says that the request was not run", func(v *values) *string { return &v.headers.NotRun }),
		name("instance", "", "tells a target which one is meant; without a name targets are not told", func(v *values) *string { return &v.headers.Instance }),
		name("target_leaving", "X-Target-Leaving", "is 1 in the answers of a target that is about to exit", func(v *values) *string { return &v.headers.TargetLeaving }),
		name("target_rate", "X-Target-Rate", "names in a target's answer the requests per second that it takes from the whole fleet", func(v *values) *string { return &v.headers.TargetRate }),
		{
			Setting{Section: "headers", Key: "target_cold", Roles: []Role{RoleControl, RoleEntry}, Default: "X-Target-Cold-Ms", Allowed: allowedHeader, Help: "says in a target's answer, also to a health check, how many milliseconds longer it is cold"},
			func(v *values, _ files, s string) []problem { return parseName(&v.headers.TargetCold, s) },
		},
		name("key_scheme", "Bearer", "scheme of the Authorization header before a key", func(v *values) *string { return &v.headers.KeyScheme }),
		flag("caller_ids", "whether the request ids of callers are passed on", func(v *values) *bool { return &v.headers.PassCallerIDs }),
		flag("status_promise", "whether the status alone tells the outcome: 408, 421, 429 and 503 mean not run", func(v *values) *bool { return &v.headers.StatusPromise }),
		flag("retry_fractions", "whether Retry-After has fractions of a second, for callers that read them", func(v *values) *bool { return &v.headers.RetryFractions }),
		flag("endless_answers", "whether answers that end with their connection are taken", func(v *values) *bool { return &v.headers.EndlessAnswers }),
	}
}
