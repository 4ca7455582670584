package lint

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Names of the sections of a document.
const (
	sectionDefaults   = "defaults"
	sectionWorkspaces = "workspaces"
	sectionKeys       = "keys"
	sectionServices   = "services"
	sectionRoutes     = "routes"
	sectionExceptions = "exceptions"
	sectionPriorities = "priorities"
)

// Decode reads a document in the form of opsapi.Config. It reports every section and
// entry that cannot be read, also unknown names, which the fleet would ignore.
// Entries that cannot be read are left out of the result.
func Decode(data []byte) (opsapi.Config, []Finding) {
	var cfg opsapi.Config
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(data, &sections); err != nil {
		return cfg, []Finding{{Severity: Error, Text: unreadable(data, err)}}
	}
	d := &decoder{}
	readers := map[string]func(section string, raw json.RawMessage){
		"version":         func(s string, raw json.RawMessage) { d.value(s, "", raw, &cfg.Version) },
		sectionDefaults:   func(s string, raw json.RawMessage) { d.value(s, "", raw, &cfg.Defaults) },
		sectionWorkspaces: func(s string, raw json.RawMessage) { cfg.Workspaces = list[opsapi.Workspace](d, s, raw) },
		sectionKeys:       func(s string, raw json.RawMessage) { cfg.Keys = list[opsapi.Key](d, s, raw) },
		sectionServices:   func(s string, raw json.RawMessage) { cfg.Services = list[opsapi.Service](d, s, raw) },
		sectionRoutes:     func(s string, raw json.RawMessage) { cfg.Routes = list[opsapi.Route](d, s, raw) },
		sectionExceptions: func(s string, raw json.RawMessage) { cfg.Exceptions = list[opsapi.Exception](d, s, raw) },
		sectionPriorities: func(s string, raw json.RawMessage) { cfg.Priorities = list[opsapi.WorkspacePriority](d, s, raw) },
		"evacuated":       func(s string, raw json.RawMessage) { d.value(s, "", raw, &cfg.Evacuated) },
		"seats":           func(s string, raw json.RawMessage) { d.value(s, "", raw, &cfg.Seats) },
		"controls":        func(s string, raw json.RawMessage) { d.value(s, "", raw, &cfg.Controls) },
	}
	for _, section := range slices.Sorted(maps.Keys(sections)) {
		if read, ok := readers[section]; ok {
			read(section, sections[section])
			continue
		}
		d.add(section, "", "", fmt.Sprintf("there is no such section; the sections are %s", strings.Join(slices.Sorted(maps.Keys(readers)), ", ")))
	}
	if _, ok := sections[sectionDefaults]; !ok {
		d.add(sectionDefaults, "", "", "the section is missing")
	}
	return cfg, d.findings
}

// unreadable returns the text for a document that is not JSON, with the line.
func unreadable(data []byte, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return fmt.Sprintf("line %d is not JSON: %v", line, err)
	}
	return "the document is not a JSON object; write one with the sections of a configuration"
}

// decoder collects the findings of one document.
type decoder struct{ findings []Finding }

func (d *decoder) add(section, entry, key, text string) {
	d.findings = append(d.findings, Finding{Severity: Error, Section: section, Entry: entry, Key: key, Text: text})
}

// value decodes raw into v and reports whether it could.
func (d *decoder) value(section, entry string, raw json.RawMessage, v any) bool {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return true
	case errors.As(err, &wrongType):
		d.add(section, entry, wrongType.Field, fmt.Sprintf("it is a %s; write a value of type %s", wrongType.Value, wrongType.Type))
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		d.add(section, entry, strings.Trim(strings.TrimPrefix(err.Error(), unknownFieldPrefix), `"`), "there is no such key")
	default:
		d.add(section, entry, "", err.Error())
	}
	return false
}

// unknownFieldPrefix begins the text of the error for an unknown field, which
// encoding/json gives no type.
const unknownFieldPrefix = "json: unknown field "

// list decodes the entries of a section, each by itself.
func list[T any](d *decoder, section string, raw json.RawMessage) []T {
	var entries []json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil {
		d.add(section, "", "", "the section is not a list")
		return nil
	}
	var out []T
	for i, entry := range entries {
		var v T
		if d.value(section, fmt.Sprintf("[%d]", i), entry, &v) {
			out = append(out, v)
		}
	}
	return out
}
