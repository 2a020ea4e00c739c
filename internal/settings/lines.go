package settings

import (
	"reflect"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// lineIndex finds the line of a section or key, which the INI library doesn't
// report.
type lineIndex struct {
	lines map[string]int
	// again holds later lines that set the same key once more.
	again map[string]int
}

func indexLines(data []byte) lineIndex {
	index := lineIndex{lines: make(map[string]int), again: make(map[string]int)}
	section := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.Trim(line, "[]")
			index.add(section, "", i+1)
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if ok && !strings.HasPrefix(line, ";") && !strings.HasPrefix(line, "#") {
			index.add(section, strings.TrimSpace(key), i+1)
		}
	}
	return index
}

func (x lineIndex) add(section, key string, line int) {
	name := section + "\x00" + key
	if x.lines[name] == 0 {
		x.lines[name] = line
		return
	}
	x.again[name] = line
}

func (x lineIndex) find(section, key string) int { return x.lines[section+"\x00"+key] }

// duplicates reports keys set twice: the library would silently take the last.
func (p *parser) duplicates() {
	for name, line := range p.lines.again {
		section, key, _ := strings.Cut(name, "\x00")
		if key == "" {
			continue
		}
		p.faults = append(p.faults, &Error{
			File: p.file, Line: line, Section: section, Key: key, Got: key, Want: "each key once",
		})
	}
}

func sortErrors(faults Errors) {
	sort.Slice(faults, func(i, j int) bool {
		if faults[i].Line != faults[j].Line {
			return faults[i].Line < faults[j].Line
		}
		return faults[i].Section+faults[i].Key < faults[j].Section+faults[j].Key
	})
}

func sectionNames(sections map[string]reflect.Value) string {
	names := make([]string, 0, len(sections))
	for name := range sections {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func keyNames(section reflect.Value) string {
	names := make([]string, section.NumField())
	for i := range names {
		names[i] = section.Type().Field(i).Tag.Get("ini")
	}
	return strings.Join(names, ", ")
}

func hasKey(section reflect.Value, key string) bool {
	for i := range section.NumField() {
		if section.Type().Field(i).Tag.Get("ini") == key {
			return true
		}
	}
	return false
}

// syntaxError names the line of a setting without "=", which is the common
// slip; for what else the library can't read it returns *FileError.
func syntaxError(file string, data []byte, err error) error {
	delimiter, ok := err.(ini.ErrDelimiterNotFound)
	if !ok {
		return &FileError{File: file, Cause: err}
	}
	got := strings.TrimSpace(delimiter.Line)
	fault := &Error{File: file, Got: got, Want: "a [section], a key = value or a ; comment"}
	for i, line := range strings.Split(string(data), "\n") {
		if strings.TrimSpace(line) == got {
			fault.Line = i + 1
			break
		}
	}
	return Errors{fault}
}
