// Package settings loads a daemon's INI file and validates every line before
// anything is started.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// ExitBadSettings is the exit code of a process with invalid settings.
const ExitBadSettings = 2

// Error reports one invalid setting. Line is zero when no line applies, such as
// for a missing key.
type Error struct {
	File    string
	Line    int
	Section string
	Key     string
	Got     string
	Want    string
}

func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	return fmt.Sprintf("%s: [%s] %s: got %q, want %s", where, e.Section, e.Key, e.Got, e.Want)
}

// Errors holds every invalid setting found in one file.
type Errors []*Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, invalid := range e {
		lines[i] = invalid.Error()
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by settings with rules that involve several keys. Check
// is called when every key is valid by itself; the file and line of its errors
// are filled in by the caller.
type Validator interface{ Check() Errors }

// FileError reports a settings file that can't be read or parsed.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("settings file %s: %v", e.File, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// Load reads file into target, a pointer to a struct of section structs whose
// fields carry `ini:"key"` tags. The initial values of target are the defaults.
// It returns *FileError or Errors.
//
// Field types: string, int, bool, time.Duration, netip.AddrPort and
// []netip.AddrPort. A string field may carry `want:"name"` (a name such as that
// of a zone), `want:"url"` (http:// or https:// with IP:port) or `want:"a|b"`
// (one of these); a field tagged `required:"true"` must be set.
func Load(file string, target any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	return Parse(file, data, target)
}

// Parse is Load for the contents of a file; file is only used in errors.
func Parse(file string, data []byte, target any) error {
	// Line continuation is disabled: a value that ends in a backslash would absorb
	// the next line, and the setting on that line would silently keep its default.
	options := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreContinuation: true}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		return syntaxError(file, data, err)
	}
	p := &parser{file: file, lines: indexLines(data)}
	sections := sectionFields(target)
	p.reportUnknownNames(parsed, sections)
	for name, section := range sections {
		p.section(parsed, name, section)
	}
	p.reportDuplicates()
	if checker, ok := target.(Validator); ok && len(p.errs) == 0 {
		for _, invalid := range checker.Check() {
			p.invalid(invalid.Section, invalid.Key, invalid.Got, invalid.Want)
		}
	}
	if len(p.errs) > 0 {
		sortErrors(p.errs)
		return p.errs
	}
	return nil
}

// Print returns the current values of target as an INI document, with the text
// of each field's `help` tag as a comment above its key.
func Print(target any) string {
	var out strings.Builder
	value := reflect.ValueOf(target).Elem()
	for i := range value.NumField() {
		section := value.Type().Field(i)
		fmt.Fprintf(&out, "[%s]\n", section.Tag.Get("ini"))
		printSection(&out, value.Field(i))
		out.WriteString("\n")
	}
	return out.String()
}

func printSection(out *strings.Builder, section reflect.Value) {
	for i := range section.NumField() {
		field := section.Type().Field(i)
		fmt.Fprintf(out, "; %s\n%s = %s\n", field.Tag.Get("help"), field.Tag.Get("ini"), format(section.Field(i)))
	}
}

func format(value reflect.Value) string {
	switch v := value.Interface().(type) {
	case netip.AddrPort:
		if !v.IsValid() {
			return ""
		}
		return v.String()
	case []netip.AddrPort:
		parts := make([]string, len(v))
		for i, address := range v {
			parts[i] = address.String()
		}
		return strings.Join(parts, ", ")
	}
	return fmt.Sprint(value.Interface())
}

func sectionFields(target any) map[string]reflect.Value {
	value := reflect.ValueOf(target).Elem()
	sections := make(map[string]reflect.Value, value.NumField())
	for i := range value.NumField() {
		sections[value.Type().Field(i).Tag.Get("ini")] = value.Field(i)
	}
	return sections
}

type parser struct {
	file  string
	lines lineIndex
	errs  Errors
}

// invalid records the error for an invalid setting.
func (p *parser) invalid(section, key, got, want string) {
	p.errs = append(p.errs, &Error{
		File: p.file, Line: p.lines.find(section, key), Section: section, Key: key, Got: got, Want: want,
	})
}

// reportUnknownNames records errors for unknown sections and keys.
func (p *parser) reportUnknownNames(parsed *ini.File, sections map[string]reflect.Value) {
	for _, section := range parsed.Sections() {
		known, ok := sections[section.Name()]
		if section.Name() == ini.DefaultSection {
			for _, key := range section.Keys() {
				p.invalid("", key.Name(), key.String(), "a key below a [section] line")
			}
			continue
		}
		if !ok {
			p.invalid(section.Name(), "", section.Name(), "one of the sections "+sectionNames(sections))
			continue
		}
		for _, key := range section.Keys() {
			if !hasKey(known, key.Name()) {
				p.invalid(section.Name(), key.Name(), key.String(), "one of the keys "+keyNames(known))
			}
		}
	}
}

// section parses one section into target.
func (p *parser) section(parsed *ini.File, name string, target reflect.Value) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		key := field.Tag.Get("ini")
		section, err := parsed.GetSection(name)
		if err != nil || !section.HasKey(key) {
			if field.Tag.Get("required") == "true" && target.Field(i).IsZero() {
				p.invalid(name, key, "", "a value: this key has no default")
			}
			continue
		}
		text := section.Key(key).String()
		if want := assign(target.Field(i), field.Tag.Get("want"), text); want != "" {
			p.invalid(name, key, text, want)
		}
	}
}

// assign parses text and sets target. It returns a description of the allowed
// values when text is invalid, else an empty string.
func assign(target reflect.Value, want, text string) string {
	switch target.Interface().(type) {
	case string:
		if allowed := checkText(want, text); allowed != "" {
			return allowed
		}
		target.SetString(text)
	case time.Duration:
		duration, err := time.ParseDuration(text)
		if err != nil || duration <= 0 {
			return "a positive duration such as 500ms, 5s or 2m"
		}
		target.SetInt(int64(duration))
	case int:
		number, err := strconv.Atoi(text)
		if err != nil || number < 0 {
			return "a whole number of at least 0"
		}
		target.SetInt(int64(number))
	case bool:
		flag, err := strconv.ParseBool(text)
		if err != nil {
			return "true or false"
		}
		target.SetBool(flag)
	case netip.AddrPort:
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return wantAddress
		}
		target.Set(reflect.ValueOf(address))
	case []netip.AddrPort:
		return assignAddresses(target, text)
	}
	return ""
}

const wantAddress = "an IP number and port such as 10.0.0.7:7000"

func assignAddresses(target reflect.Value, text string) string {
	var addresses []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		address, err := netip.ParseAddrPort(part)
		if err != nil {
			return "a comma-separated list of " + wantAddress
		}
		addresses = append(addresses, address)
	}
	target.Set(reflect.ValueOf(addresses))
	return ""
}

func checkText(want, text string) string {
	switch {
	case want == "":
		return ""
	case want == "name":
		if text == "" || strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789-.") != "" {
			return "a name of a-z, 0-9, '-' and '.'"
		}
		return ""
	case want == "url":
		return checkURL(text)
	}
	for choice := range strings.SplitSeq(want, "|") {
		if text == choice {
			return ""
		}
	}
	return "one of " + strings.ReplaceAll(want, "|", ", ")
}

func checkURL(text string) string {
	for _, scheme := range []string{"http://", "https://"} {
		if rest, ok := strings.CutPrefix(text, scheme); ok {
			if _, err := netip.ParseAddrPort(rest); err == nil {
				return ""
			}
		}
	}
	return "http:// or https:// with an IP number and port, such as http://10.0.0.7:7400"
}
