package settings

import (
	"reflect"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// lineIndex holds the line numbers of sections and keys, which the INI library
// does not report.
type lineIndex struct {
	lines map[string]int
	// repeated holds the last line that sets a key again.
	repeated map[string]int
}

func indexLines(data []byte) lineIndex {
	index := lineIndex{lines: make(map[string]int), repeated: make(map[string]int)}
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
	x.repeated[name] = line
}

func (x lineIndex) find(section, key string) int { return x.lines[section+"\x00"+key] }

// reportDuplicates reports keys that are set twice, for which the library would
// silently use the last value.
func (p *parser) reportDuplicates() {
	for name, line := range p.lines.repeated {
		section, key, _ := strings.Cut(name, "\x00")
		if key == "" {
			continue
		}
		p.errs = append(p.errs, &Error{
			File: p.file, Line: line, Section: section, Key: key, Got: key, Want: "each key once",
		})
	}
}

func sortErrors(errs Errors) {
	sort.Slice(errs, func(i, j int) bool {
		if errs[i].Line != errs[j].Line {
			return errs[i].Line < errs[j].Line
		}
		return errs[i].Section+errs[i].Key < errs[j].Section+errs[j].Key
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

// syntaxError returns Errors with the line of a setting without "=", the most
// common syntax error, and *FileError for anything else that the library can't
// parse.
func syntaxError(file string, data []byte, err error) error {
	delimiter, ok := err.(ini.ErrDelimiterNotFound)
	if !ok {
		return &FileError{File: file, Cause: err}
	}
	got := strings.TrimSpace(delimiter.Line)
	invalid := &Error{File: file, Got: got, Want: "a [section], a key = value or a ; comment"}
	for i, line := range strings.Split(string(data), "\n") {
		if strings.TrimSpace(line) == got {
			invalid.Line = i + 1
			break
		}
	}
	return Errors{invalid}
}
