package conf

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxFile bounds the size of a settings file in bytes.
const MaxFile = 1 << 20

type options struct{ files files }

// Option changes how settings are loaded.
type Option func(*options)

// WithoutFiles skips the files and folders that settings point to, so that a
// file can be checked on another machine. Secrets stay empty.
func WithoutFiles() Option {
	return func(o *options) { o.files.skip = true }
}

// LoadControl loads the settings of a control host.
func LoadControl(path string, opts ...Option) (Control, error) {
	v, err := load(path, RoleControl, opts)
	return Control{Host: v.host, Listen: v.listen, Fleet: v.fleet, Operators: v.operators, Limits: v.limits, Log: v.log, TLS: v.tls, Journal: v.journal, CreateFleet: v.create, Join: v.join}, err
}

// LoadEntry loads the settings of an entry host.
func LoadEntry(path string, opts ...Option) (Entry, error) {
	v, err := load(path, RoleEntry, opts)
	return Entry{Host: v.host, Listen: v.listen, Fleet: v.fleet, Operators: v.operators, Limits: v.limits, Headers: v.headers, Log: v.log, TLS: v.tls}, err
}

// LoadJournal loads the settings of a journal host.
func LoadJournal(path string, opts ...Option) (Journal, error) {
	v, err := load(path, RoleJournal, opts)
	return Journal{Host: v.host, Listen: v.listen, Fleet: v.fleet, Operators: v.operators, Limits: v.limits, Log: v.log, TLS: v.tls, CreateFleet: v.create}, err
}

// LoadSeat loads the settings of a host that is a seat and takes no traffic.
func LoadSeat(path string, opts ...Option) (Seat, error) {
	v, err := load(path, RoleSeat, opts)
	return Seat{Host: v.host, Listen: v.listen, Fleet: v.fleet, Operators: v.operators, Limits: v.limits, Log: v.log, TLS: v.tls}, err
}

// LoadAll loads the settings of a first trial.
func LoadAll(path string, opts ...Option) (All, error) {
	v, err := load(path, RoleAll, opts)
	return all(v), err
}

// DefaultAll returns the settings of a first trial without a file.
func DefaultAll(dataDir string) (All, error) {
	v, err := parse("the defaults", []byte("[host]\ndata_dir = "+dataDir+"\n"), RoleAll, files{})
	return all(v), err
}

func all(v values) All {
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

func load(path string, role Role, opts []Option) (values, error) {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	info, err := os.Stat(path)
	if err != nil {
		return values{}, fmt.Errorf("read settings: %w; name an existing file", err)
	}
	if !info.Mode().IsRegular() || info.Size() > MaxFile {
		return values{}, fmt.Errorf("read settings: %s is not a regular file of at most %d bytes", path, MaxFile)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return values{}, fmt.Errorf("read settings: %w", err)
	}
	return parse(path, data, role, o.files)
}

// reader collects the faults of one file.
type reader struct {
	file   string
	role   Role
	lines  lines
	faults []Fault
}

// parse reads settings from memory. Its error is an ErrSettings.
func parse(file string, data []byte, role Role, f files) (values, error) {
	r := &reader{file: file, role: role, lines: scan(file, data)}
	r.faults = append(r.faults, r.lines.faults...)
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true, SkipUnrecognizableLines: true, KeyValueDelimiters: "="}, data)
	if err != nil {
		if len(r.faults) == 0 {
			r.lines.malformed(file, 0, "", err.Error())
			r.faults = r.lines.faults
		}
		return values{}, ErrSettings{Faults: r.faults}
	}
	var v values
	r.checkNames(parsed)
	for _, s := range settings() {
		if slices.Contains(s.Roles, role) {
			r.read(&v, f, parsed, s)
		}
	}
	if v.tls.Enabled() {
		v.tls.Expect = expect(role, v)
	}
	r.checkTogether(v, f)
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.Line - b.Line })
		return v, ErrSettings{Faults: r.faults}
	}
	return v, nil
}

func (r *reader) fault(section, key string, p problem, want string) {
	r.faults = append(r.faults, Fault{
		File: r.file, Line: r.lines.at[place{section, key}], Section: section, Key: key,
		Got: p.got, Detail: p.detail, Want: want,
	})
}

// checkNames finds sections and keys that the role does not know.
func (r *reader) checkNames(parsed *ini.File) {
	sections, keys := r.known()
	for _, s := range parsed.Sections() {
		name := s.Name()
		if name == defaultSection && len(s.Keys()) == 0 {
			continue
		}
		if !slices.Contains(sections, name) {
			r.fault(name, "", problem{got: "a section that " + string(r.role) + " does not know"}, "the sections "+strings.Join(sections, ", "))
			continue
		}
		for _, k := range s.KeyStrings() {
			if !slices.Contains(keys[name], k) {
				r.fault(name, k, problem{got: "a key that " + string(r.role) + " does not know"}, "the keys "+strings.Join(keys[name], ", "))
			}
		}
	}
}

// known returns the sections and the keys of each section that the role knows.
func (r *reader) known() ([]string, map[string][]string) {
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

func (r *reader) read(v *values, f files, parsed *ini.File, s setting) {
	section, err := parsed.GetSection(s.Section)
	present := err == nil && section.HasKey(s.Key)
	value := s.Default
	if present {
		value = strings.TrimSpace(section.Key(s.Key).Value())
	}
	required := slices.Contains(s.Required, r.role)
	switch {
	case !present && required, present && value == "":
		r.fault(s.Section, s.Key, problem{}, s.Allowed)
	case value != "":
		for _, p := range s.set(v, f, value) {
			r.fault(s.Section, s.Key, p, s.Allowed)
		}
	}
}
