// Package conf reads the settings of each process from an INI file into typed
// values. Loading reports every fault of a file at once, and one table of
// settings drives both the reader and the reference page.
package conf

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Host says who a process is.
type Host struct {
	Name model.HostID
	Zone model.ZoneName
	// DataDir is an existing folder, or empty for roles without a disk.
	DataDir string
}

// Listen holds the listening addresses of a process as ip:port. An address is
// empty when the role does not use it. No two are equal.
type Listen struct {
	Callers   string
	Announce  string
	Fleet     string
	Operators string
}

// Peer is a host of the fleet with its fleet address as ip:port.
type Peer struct {
	Host model.HostID
	Addr string
}

// Fleet says which fleet a process belongs to and where its fixed hosts are.
type Fleet struct {
	Name   string
	Secret Secret
	// Controls, Seats and Journals are in the order of the file, without
	// duplicates. A host that stands in several lists has one address.
	Controls []Peer
	Seats    []Peer
	Journals []Peer
	// AddressNames is set in a fleet whose host names are their fleet addresses,
	// so that hosts that no settings file names can be reached.
	AddressNames bool
	// ServeUnconfirmed lets entry hosts serve by the last known configuration
	// while nothing confirms it.
	ServeUnconfirmed bool
	// OwnersAtControl lets control hosts own all shards. Entry hosts then ask one
	// control host, of their own zone if there is one, on behalf of all.
	OwnersAtControl bool
	// Forward lets hosts pass messages on between entry and control hosts.
	Forward bool
	// Compress compresses the links, and PingEvery replaces the interval of their pings unless it is 0.
	Compress  bool
	PingEvery time.Duration
	// Retries is the budget that replaces that of the defaults, unless Burst is 0.
	Retries Retries
	// StaleAfter ends new work for a target that has not announced itself, or is 0 for the default.
	StaleAfter time.Duration
}

// Retries bounds the attempts beyond the first of a service's requests, as pool.Retries does.
type Retries struct {
	Share     float64
	PerSecond float64
	Burst     float64
	Alone     float64
}

// Join says how a control host joins the others by itself. Without Size the
// operators choose the control hosts and seats.
type Join struct {
	// Size is the number of control hosts and seats to keep: 0, 1, 3 or 5.
	Size int
	// MinCopies is the number of synced copies that an accepted change must have.
	MinCopies int
}

// Headers are the names of headers between callers, entry hosts and targets,
// or empty for the defaults; see entry.Names.
type Headers struct {
	RequestID, Deadline, Workspace, NotRun, Instance, KeyScheme string
	CallerIDs                                                   bool
	// StatusPromise, RetryFractions and EndlessAnswers are those of package entry.
	StatusPromise  bool
	RetryFractions bool
	EndlessAnswers bool
}

// Limits bounds what a process accepts.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// AnswerBytes bounds the response body of a target.
	AnswerBytes    int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	IdleTimeout    time.Duration
	Connections    int
	OperatorsBytes int
	// LinkQueue bounds the messages waiting for one host of the fleet.
	LinkQueue int
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration
	// LeaveTime is how long a host that is shutting down goes on taking requests
	// while the balancer learns of it.
	LeaveTime time.Duration
}

// Log says what is logged and how.
type Log struct {
	// Level is debug, info or error.
	Level string
	// Format is json or text.
	Format string
}

// Token is the digest of an operator's bearer token.
type Token struct {
	Actor string
	Hash  [32]byte
}

// Operators says who may use the operators' API.
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
	// Journal says whether the process also keeps order reservations.
	Journal bool
	// CreateFleet lets a host with an empty data folder vote. It is set only while a fleet is created.
	CreateFleet bool
	Join        Join
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
	// CreateFleet lets a journal with an empty data folder vote. It is set only while a fleet is created.
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

// All holds the settings of a first trial with every role in one process.
type All struct {
	Host      Host
	Listen    Listen
	Operators Operators
	Limits    Limits
	Log       Log
}

// Target holds the settings of a stub target.
type Target struct {
	Service  model.ServiceName
	Target   model.TargetID
	Zone     model.ZoneName
	Addr     string
	Slots    int
	Announce []string
	Secret   Secret
	// Latency is the time one request takes.
	Latency time.Duration
	Log     Log
}

// Client holds the settings of an operator's tools.
type Client struct {
	// Addresses are the operators' addresses of the control hosts.
	Addresses []Peer
	Token     Secret
	// Output is text or json.
	Output  string
	Timeout time.Duration
	// AuthorityFile holds the authorities that control hosts are checked
	// against, or is empty if their operators' ports are not encrypted.
	AuthorityFile string
}
