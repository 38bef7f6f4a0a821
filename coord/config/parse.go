package config

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is a named TOML file of objects. The name appears in faults.
type File struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// Parse reads objects from files into one set, and returns all faults of
// syntax, types, names and duplicates. The set holds the objects that could be
// read. Set.Check finds broken references and contradictions.
func Parse(files ...File) (*Set, []Fault) {
	s := NewSet()
	var faults []Fault
	for _, f := range files {
		for _, sec := range sections(f.Data) {
			faults = append(faults, s.parseSection(f.Name, sec)...)
		}
	}
	return s, faults
}

func (s *Set) parseSection(file string, sec section) []Fault {
	if sec.header == "" {
		if line := sec.firstLine(); line > 0 {
			return []Fault{{File: file, Line: line, Text: `stands before the first object; write a header like "[team.shop]" above it`}}
		}
		return nil
	}
	kind, name, _ := strings.Cut(sec.header, ".")
	ref := Ref{Type(kind), name}
	at := location{file: file, line: sec.line, fields: sec.fieldLines()}
	if !ref.Type.Valid() {
		return []Fault{{File: file, Line: sec.line, Object: sec.header, Text: `no such type of object; write a header like "[team.shop]" with one of team, key, policy, queue, share, limit, endpoint`}}
	}
	var faults []Fault
	if !ValidName(name) {
		faults = append(faults, at.fault(ref, "", "not a name; write one word of at most 40 lower-case letters, digits and hyphens that begins with a letter"))
	}
	if first, ok := s.locations[ref]; ok {
		return append(faults, at.fault(ref, "", "defined twice, first at "+Fault{File: first.file, Line: first.line}.position()+"; remove one or rename it"))
	}
	o := newObject(ref)
	faults = append(faults, decode(o, at, sec)...)
	s.Put(o)
	s.locations[ref] = at
	return faults
}

// decode fills o from a section. If the section as a whole is invalid, each
// line is decoded on its own, so that all faults are found.
func decode(o Object, at location, sec section) []Fault {
	body := []byte(strings.Join(sec.lines, "\n"))
	err := strict(body, o)
	if err == nil {
		return nil
	}
	if multiline(sec.lines) {
		return decodeFaults(err, at, o.Ref())
	}
	var faults []Fault
	for i, text := range sec.lines {
		for _, f := range decodeFaults(strict([]byte(text), o), at, o.Ref()) {
			f.Line = sec.bodyLine() + i
			faults = append(faults, f)
		}
	}
	if len(faults) == 0 {
		return decodeFaults(err, at, o.Ref())
	}
	return faults
}

func strict(data []byte, o Object) error {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(o)
}

// multiline reports whether a value spans several lines, so that lines can't be
// decoded on their own.
func multiline(lines []string) bool {
	for _, text := range lines {
		trimmed := strings.TrimSpace(text)
		if strings.HasSuffix(trimmed, "[") || strings.HasSuffix(trimmed, ",") || strings.HasSuffix(trimmed, `"""`) {
			return true
		}
	}
	return false
}

func decodeFaults(err error, at location, ref Ref) []Fault {
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		faults := make([]Fault, 0, len(missing.Errors))
		for i := range missing.Errors {
			field := strings.Join(missing.Errors[i].Key(), ".")
			faults = append(faults, at.fault(ref, field, "unknown field; remove it or correct its spelling"))
		}
		return faults
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, _ := syntax.Position()
		f := at.fault(ref, strings.Join(syntax.Key(), "."), strings.TrimPrefix(syntax.Error(), "toml: ")+"; write it as docs/CONFIG.md shows")
		f.Line = at.line + row
		return []Fault{f}
	}
	return []Fault{at.fault(ref, "", err.Error())}
}

// fault returns a fault at the field's line, or at the object's if the field's
// line is unknown.
func (p location) fault(ref Ref, field, text string) Fault {
	line := p.line
	if l, ok := p.fields[field]; ok {
		line = l
	}
	return Fault{File: p.file, Line: line, Object: ref.String(), Field: field, Text: text}
}

// position returns the file and line of f, without the rest.
func (f Fault) position() string {
	return strings.TrimSuffix(strings.TrimSpace(Fault{File: f.File, Line: f.Line}.String()), ":")
}
