// Package conf reads the settings of each process from an INI file into typed
// values. Loading reports every fault of a file at once. One table of settings
// serves both the parser and the reference for operators.
package conf

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Host identifies the host of a process.
type Host struct {
	Name model.HostID
	Zone model.ZoneName
	// DataDir is an existing folder for the host's state, or empty for roles that store nothing.
	DataDir string
}

// Listen holds the listening addresses of a process as ip:port. An address that
// the role does not use is empty. No two addresses overlap.
type Listen struct {
	Callers   string
	Announce  string
	Fleet     string
	Operators string
}

// Peer is a host of the fleet with an address as ip:port: its fleet address in
// Fleet, and that of its operators' port in Client.
type Peer struct {
	Host model.HostID
	Addr string
}

// Fleet holds the name, secret and addresses of the fleet that a process belongs
// to, and the settings that its hosts share.
type Fleet struct {
	Name   string
	Secret Secret
	// Controls, Seats and Journals list hosts in the order of the file, without
	// duplicates. A host has the same address in all lists.
	Controls []Peer
	Seats    []Peer
	Journals []Peer
	// AddressNames is set if each host is named after its fleet address, so that
	// hosts that are absent from the settings can be reached.
	AddressNames bool
	// ServeUnconfirmed lets entry hosts serve with the last known configuration
	// while nothing confirms it. Otherwise they refuse requests with a key.
	ServeUnconfirmed bool
	// OwnersAtControl lets control hosts own all shards. Each entry host then sends
	// its questions to one control host, of its own zone if there is one.
	OwnersAtControl bool
	// Forward lets hosts pass on messages of entry hosts that are cut off from the
	// control hosts.
	Forward bool
	// Compress compresses the links to hosts that also ask for it. PingInterval is the
	// interval between pings on a link, or 0 for the default.
	Compress     bool
	PingInterval time.Duration
	// Pace keeps the load of the targets of a service even although what is known of
	// it is slightly stale.
	Pace bool
	// Retries replaces the default retry budget, unless its Burst is 0.
	Retries Retries
	// StaleAfter is the time without an announcement after which a target gets no
	// more requests, or 0 for the default.
	StaleAfter time.Duration
}

// Retries bounds the attempts of a service's requests beyond the first. The
// budget is a token bucket. pool.Retries has the same fields and describes them.
type Retries struct {
	Share      float64
	PerSecond  float64
	Burst      float64
	LocalBurst float64
}

// Join holds the settings of control hosts that join a fleet by themselves. If
// Size is 0, operators choose the control hosts and seats instead.
type Join struct {
	// Size is the number of control hosts and seats to keep: 0, 1, 3 or 5.
	Size int
	// MinCopies is the number of hosts that must have synced a change to disk before
	// it is accepted: one more than the disks that may be lost at once.
	MinCopies int
}

// Headers holds the names of the headers between callers, entry hosts and
// targets. Each is empty for its default; entry.HeaderNames says what it carries.
type Headers struct {
	RequestID, Deadline, Workspace, NotRun, Instance, KeyScheme string
	TargetLeaving, TargetRate, TargetCold                       string
	PassCallerIDs                                               bool
	// StatusPromise, RetryFractions and EndlessAnswers turn on entry.WithStatusPromise,
	// entry.WithRetryFractions and entry.WithEndlessAnswers.
	StatusPromise  bool
	RetryFractions bool
	EndlessAnswers bool
}

// Limits bounds the requests, connections and messages that a process accepts,
// and its shutdown.
type Limits struct {
	// HeaderBytes and BodyBytes bound the header and the body of a caller's request.
	HeaderBytes int
	BodyBytes   int
	// AnswerBytes bounds the response body of a target.
	AnswerBytes int
	// HeaderTimeout and BodyTimeout bound the time in which a caller sends a header
	// or a body. A caller's connection is closed when idle for IdleTimeout.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	// Connections is the maximum number of open connections of callers.
	Connections int
	// OperatorsBytes bounds the body of an operator's request.
	OperatorsBytes int
	// LinkQueue is the maximum number of messages that wait for one host of the fleet.
	LinkQueue int
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration
	// LeaveTime is the time for which a host that shuts down still accepts requests,
	// since the load balancer needs time to notice.
	LeaveTime time.Duration
}

// Log holds the level and the format of the log.
type Log struct {
	// Level is debug, info or error.
	Level string
	// Format is json or text.
	Format string
}

// Token identifies an operator by the digest of a bearer token.
type Token struct {
	// Actor is the operator's name in the history of changes.
	Actor string
	// Hash is the SHA-256 digest of the token.
	Hash [32]byte
}

// Operators holds the tokens that the operators' API accepts.
type Operators struct{ Tokens []Token }

// Control holds the settings of a control host.
type Control struct {
	Host      Host
	Listen    Listen
	Fleet     Fleet
	Operators Operators
	Limits    Limits
	Log       Log
	TLS       TLS
	// RunsJournal is set if the process also keeps order reservations.
	RunsJournal bool
	// CreateFleet lets a host with an empty data folder vote. It may be set only
	// while a fleet is created: a host that lost its disk must not vote.
	CreateFleet bool
	Join        Join
	// Headers holds TargetCold only, for the health checks of the owners.
	Headers Headers
}

// Entry holds the settings of an entry host.
type Entry struct {
	Host      Host
	Listen    Listen
	Fleet     Fleet
	Operators Operators
	Limits    Limits
	Headers   Headers
	Log       Log
	TLS       TLS
}

// Journal holds the settings of a journal host.
type Journal struct {
	Host      Host
	Listen    Listen
	Fleet     Fleet
	Operators Operators
	Limits    Limits
	Log       Log
	TLS       TLS
	// CreateFleet lets a journal with an empty data folder vote. It may be set only
	// while a fleet is created: a journal that lost its disk must not vote.
	CreateFleet bool
}

// Seat holds the settings of a host that is a seat and takes no traffic.
type Seat struct {
	Host      Host
	Listen    Listen
	Fleet     Fleet
	Operators Operators
	Limits    Limits
	Log       Log
	TLS       TLS
}

// All holds the settings of a process that runs every role, for trying out a fleet
// on one machine.
type All struct {
	Host      Host
	Listen    Listen
	Operators Operators
	Limits    Limits
	Log       Log
}

// Target holds the settings of a stub target.
type Target struct {
	Service model.ServiceName
	Target  model.TargetID
	Zone    model.ZoneName
	// Addr is the ip:port that the target listens on and announces.
	Addr string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Announce lists the announcement addresses of entry hosts, tried in turn.
	Announce []string
	// Secret is the announcement secret of the service.
	Secret Secret
	// Latency is the time that one request takes.
	Latency time.Duration
	Log     Log
}

// Client holds the settings of an operator's tools.
type Client struct {
	// Addresses lists the control hosts with the addresses of their operators' ports.
	Addresses []Peer
	// Token is the operator's bearer token.
	Token Secret
	// Output is text or json.
	Output string
	// Timeout bounds the wait for one answer of one host.
	Timeout time.Duration
	// AuthorityFile is the path of the authority certificates that control hosts
	// are checked against, or empty if their operators' ports do not use TLS.
	AuthorityFile string
}
