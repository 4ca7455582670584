package conf

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxFileBytes bounds the size of a settings file in bytes.
const MaxFileBytes = 1 << 20

type options struct{ files files }

// Option changes how Check and the Load functions treat a settings file.
type Option func(*options)

// WithoutFiles leaves out the files and folders that settings name, so that a
// settings file can be checked on another machine. Secrets stay empty.
func WithoutFiles() Option {
	return func(o *options) { o.files.skip = true }
}

// LoadControl loads the settings of a control host. Like the other Load
// functions it returns an ErrSettings if the file has faults.
func LoadControl(path string, opts ...Option) (Control, error) {
	v, err := load(path, RoleControl, opts)
	return Control{Host: v.host, Listen: v.listen, Fleet: v.fleet, Operators: v.operators, Limits: v.limits, Log: v.log, TLS: v.tls, RunsJournal: v.journal, CreateFleet: v.createFleet, Join: v.join, Headers: v.headers}, err
}

// LoadEntry loads the settings of an entry host.
func LoadEntry(path string, opts ...Option) (Entry, error) {
	v, err := load(path, RoleEntry, opts)
	return Entry{Host: v.host, Listen: v.listen, Fleet: v.fleet, Operators: v.operators, Limits: v.limits, Headers: v.headers, Log: v.log, TLS: v.tls}, err
}

// LoadJournal loads the settings of a journal host.
func LoadJournal(path string, opts ...Option) (Journal, error) {
	v, err := load(path, RoleJournal, opts)
	return Journal{Host: v.host, Listen: v.listen, Fleet: v.fleet, Operators: v.operators, Limits: v.limits, Log: v.log, TLS: v.tls, CreateFleet: v.createFleet}, err
}

// LoadSeat loads the settings of a host that is a seat and takes no traffic.
func LoadSeat(path string, opts ...Option) (Seat, error) {
	v, err := load(path, RoleSeat, opts)
	return Seat{Host: v.host, Listen: v.listen, Fleet: v.fleet, Operators: v.operators, Limits: v.limits, Log: v.log, TLS: v.tls}, err
}

// LoadAll loads the settings of a process that runs every role, for trying
// out a fleet on one machine.
func LoadAll(path string, opts ...Option) (All, error) {
	v, err := load(path, RoleAll, opts)
	return newAll(v), err
}

// DefaultAll returns the default settings of a process that runs every role and
// keeps its state in dataDir.
func DefaultAll(dataDir string) (All, error) {
	v, err := parse("the defaults", []byte("[host]\ndata_dir = "+dataDir+"\n"), RoleAll, files{})
	return newAll(v), err
}

func newAll(v values) All {
	return All{Host: v.host, Listen: v.listen, Operators: v.operators, Limits: v.limits, Log: v.log}
}

// LoadTarget loads the settings of a stub target.
func LoadTarget(path string, opts ...Option) (Target, error) {
	v, err := load(path, RoleTarget, opts)
	v.target.Log = v.log
	return v.target, err
}

// LoadClient loads the settings of an operator's tools.
func LoadClient(path string, opts ...Option) (Client, error) {
	v, err := load(path, RoleClient, opts)
	v.client.AuthorityFile = v.tls.Files.Authority
	return v.client, err
}

// Check reports every fault of a settings file as an ErrSettings.
func Check(path string, role Role, opts ...Option) error {
	if !slices.Contains(Roles(), role) {
		return fmt.Errorf("role %q does not exist; use one of %s", role, joinRoles(Roles()))
	}
	_, err := load(path, role, opts)
	return err
}

// load reads and parses the settings file of a role.
func load(path string, role Role, opts []Option) (values, error) {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	info, err := os.Stat(path)
	if err != nil {
		return values{}, fmt.Errorf("read settings: %w; name an existing file", err)
	}
	if !info.Mode().IsRegular() || info.Size() > MaxFileBytes {
		return values{}, fmt.Errorf("read settings: %s is not a regular file of at most %d bytes", path, MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return values{}, fmt.Errorf("read settings: %w", err)
	}
	return parse(path, data, role, o.files)
}

// fileReader collects the faults of one settings file while its settings are parsed.
type fileReader struct {
	file string
	role Role
	// index tells at which line a fault is.
	index  lineIndex
	faults []Fault
}

// parse parses the content of a settings file. Its error is an ErrSettings.
func parse(file string, data []byte, role Role, f files) (values, error) {
	r := &fileReader{file: file, role: role, index: indexLines(file, data)}
	r.faults = append(r.faults, r.index.faults...)
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true, SkipUnrecognizableLines: true, KeyValueDelimiters: "="}, data)
	if err != nil {
		if len(r.faults) == 0 {
			r.index.addMalformed(file, 0, "", err.Error())
			r.faults = r.index.faults
		}
		return values{}, ErrSettings{Faults: r.faults}
	}
	var v values
	r.checkUnknownNames(parsed)
	for _, s := range settings() {
		if slices.Contains(s.Roles, role) {
			r.readSetting(&v, f, parsed, s)
		}
	}
	if v.tls.Enabled() {
		v.tls.Expect = expectedCertificate(role, v)
	}
	r.checkConsistency(v, f)
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.Line - b.Line })
		return v, ErrSettings{Faults: r.faults}
	}
	return v, nil
}

// addFault records a problem with a key, or with a section if key is empty.
func (r *fileReader) addFault(section, key string, p problem, want string) {
	r.faults = append(r.faults, Fault{
		File: r.file, Line: r.index.lineOf[place{section, key}], Section: section, Key: key,
		Got: p.got, Detail: p.detail, Want: want,
	})
}

// checkUnknownNames records sections and keys that the role does not use.
func (r *fileReader) checkUnknownNames(parsed *ini.File) {
	sections, keys := r.knownNames()
	for _, s := range parsed.Sections() {
		name := s.Name()
		if name == defaultSection && len(s.Keys()) == 0 {
			continue
		}
		if !slices.Contains(sections, name) {
			r.addFault(name, "", problem{got: "a section that " + string(r.role) + " does not know"}, "the sections "+strings.Join(sections, ", "))
			continue
		}
		for _, k := range s.KeyStrings() {
			if !slices.Contains(keys[name], k) {
				r.addFault(name, k, problem{got: "a key that " + string(r.role) + " does not know"}, "the keys "+strings.Join(keys[name], ", "))
			}
		}
	}
}

// knownNames returns the sections that the role uses and the keys of each.
func (r *fileReader) knownNames() ([]string, map[string][]string) {
	var sections []string
	keys := map[string][]string{}
	for _, s := range settings() {
		if !slices.Contains(s.Roles, r.role) {
			continue
		}
		if keys[s.Section] == nil {
			sections = append(sections, s.Section)
		}
		keys[s.Section] = append(keys[s.Section], s.Key)
	}
	return sections, keys
}

// readSetting stores the value of one setting, or its default, in v. It records
// a fault if the value is not allowed, or is missing although the role requires it.
func (r *fileReader) readSetting(v *values, f files, parsed *ini.File, s setting) {
	section, err := parsed.GetSection(s.Section)
	present := err == nil && section.HasKey(s.Key)
	value := s.Default
	if present {
		value = strings.TrimSpace(section.Key(s.Key).Value())
	}
	required := slices.Contains(s.Required, r.role)
	switch {
	case !present && required, present && value == "":
		r.addFault(s.Section, s.Key, problem{}, s.Allowed)
	case value != "":
		for _, p := range s.set(v, f, value) {
			r.addFault(s.Section, s.Key, p, s.Allowed)
		}
	}
}
