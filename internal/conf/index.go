package conf

import (
	"bytes"
	"fmt"
	"strings"
)

// place identifies a key of a section, or the section itself if the key is empty.
type place struct{ section, key string }

// lineIndex holds the line numbers of sections and keys, starting at 1, and the
// faults found on the way. The INI library does not report line numbers.
type lineIndex struct {
	lineOf map[place]int
	faults []Fault
}

// defaultSection is the section in which the INI library puts keys above the first section.
const defaultSection = "DEFAULT"

// indexLines finds the lines of sections and keys. It reports duplicates and
// values over several lines, which the INI library accepts silently.
func indexLines(file string, data []byte) lineIndex {
	l := lineIndex{lineOf: map[place]int{}}
	section := defaultSection
	for i, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			if !strings.Contains(line, "]") {
				l.addMalformed(file, i+1, section, line)
			}
			section = sectionName(line)
			l.addLine(file, i+1, place{section: section})
		default:
			key, value, ok := strings.Cut(line, "=")
			p := place{section: section, key: strings.TrimSpace(key)}
			if !ok || p.key == "" {
				l.addMalformed(file, i+1, section, line)
				continue
			}
			l.addLine(file, i+1, p)
			l.checkQuotes(file, i+1, p, strings.TrimSpace(value))
		}
	}
	return l
}

// sectionName returns the name in a line that starts with '['.
func sectionName(line string) string {
	name, _, _ := strings.Cut(line[1:], "]")
	return strings.TrimSpace(name)
}

// addLine records n as the line number of p, or a fault if p already occurred on
// an earlier line.
func (l *lineIndex) addLine(file string, n int, p place) {
	first, seen := l.lineOf[p]
	if !seen {
		l.lineOf[p] = n
		return
	}
	f := Fault{File: file, Line: n, Section: p.section, Key: p.key, Got: "given twice", Detail: fmt.Sprintf("first in line %d", first), Want: "each section and key once"}
	l.faults = append(l.faults, f)
}

// checkQuotes reports a value that starts with a quote that may span several lines.
func (l *lineIndex) checkQuotes(file string, n int, p place, value string) {
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		l.faults = append(l.faults, Fault{File: file, Line: n, Section: p.section, Key: p.key, Got: value, Want: "a value on one line, without quotes over several lines"})
	}
}

// addMalformed reports a line that is neither a section, a key nor a comment.
func (l *lineIndex) addMalformed(file string, n int, section, line string) {
	l.faults = append(l.faults, Fault{File: file, Line: n, Section: section, Got: line, Want: "lines of the form [section], key = value, or # comment"})
}
