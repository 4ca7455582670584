package conf

import (
	"bytes"
	"fmt"
	"strings"
)

// place is where a key or, with an empty key, a section stands in a file.
type place struct{ section, key string }

// lines locates the sections and keys of a file, which the INI reader does not.
type lines struct {
	at     map[place]int
	faults []Fault
}

// defaultSection is where the INI reader puts keys above the first section.
const defaultSection = "DEFAULT"

// scan locates sections and keys, and finds duplicates and values over several
// lines, which the INI reader would accept silently.
func scan(file string, data []byte) lines {
	l := lines{at: map[place]int{}}
	section := defaultSection
	for i, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			if !strings.Contains(line, "]") {
				l.malformed(file, i+1, section, line)
			}
			section = sectionName(line)
			l.note(file, i+1, place{section: section})
		default:
			key, value, ok := strings.Cut(line, "=")
			p := place{section: section, key: strings.TrimSpace(key)}
			if !ok || p.key == "" {
				l.malformed(file, i+1, section, line)
				continue
			}
			l.note(file, i+1, p)
			l.checkQuote(file, i+1, p, strings.TrimSpace(value))
		}
	}
	return l
}

func sectionName(line string) string {
	name, _, _ := strings.Cut(line[1:], "]")
	return strings.TrimSpace(name)
}

func (l *lines) note(file string, n int, p place) {
	first, seen := l.at[p]
	if !seen {
		l.at[p] = n
		return
	}
	f := Fault{File: file, Line: n, Section: p.section, Key: p.key, Got: "given twice", Detail: fmt.Sprintf("first in line %d", first), Want: "each section and key once"}
	l.faults = append(l.faults, f)
}

func (l *lines) checkQuote(file string, n int, p place, value string) {
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		l.faults = append(l.faults, Fault{File: file, Line: n, Section: p.section, Key: p.key, Got: value, Want: "a value on one line, without quotes over several lines"})
	}
}

func (l *lines) malformed(file string, n int, section, line string) {
	l.faults = append(l.faults, Fault{File: file, Line: n, Section: section, Got: line, Want: "lines of the form [section], key = value, or # comment"})
}
