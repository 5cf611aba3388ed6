package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// maximumNesting bounds how deep a settings file may be nested.
const maximumNesting = 16

// Finding is something wrong in the settings.
type Finding struct {
	Path    string // of the JSON value, such as peers[2].address; empty for the file as a whole
	Line    int    // in the file, from 1; zero if not known
	Column  int    // in bytes, from 1
	Message string
}

// String returns the finding on one line.
func (f Finding) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// node is a JSON value with its place in the file.
type node struct {
	offset int
	value  any      // string, json.Number, bool or nil; unused for objects and arrays
	kind   byte     // '{', '[' or zero
	names  []string // of the fields of an object, in order
	nodes  []*node  // fields or elements
}

// document decodes one file.
type document struct {
	content  []byte
	decoder  *json.Decoder
	findings []Finding
	places   map[string]int // offset of the value at each path
}

// Decode reads the JSON of a settings file, strictly. Fields that are left out
// keep their defaults. The result is not validated and is of use only if there
// are no findings.
func Decode(content []byte) (Settings, []Finding) {
	s := base()
	d := decode(content, &s)
	return s, d.findings
}

func decode(content []byte, s *Settings) *document {
	d := &document{content: content, decoder: json.NewDecoder(bytes.NewReader(content)), places: map[string]int{}}
	d.decoder.UseNumber()
	// The whole is checked first, because only this check's errors state an
	// offset from the start of the file.
	var whole json.RawMessage
	err := json.Unmarshal(content, &whole)
	if err == nil {
		var root *node
		if root, err = d.parse(0); err == nil {
			d.assign("", root, reflect.ValueOf(s).Elem())
			return d
		}
	}
	offset := int(d.decoder.InputOffset())
	var e *json.SyntaxError
	if errors.As(err, &e) {
		offset = max(0, int(e.Offset)-1)
	}
	line, column := d.place(offset)
	d.findings = append(d.findings, Finding{Line: line, Column: column, Message: err.Error()})
	return d
}

func (d *document) place(offset int) (line, column int) {
	before := d.content[:min(offset, len(d.content))]
	return 1 + bytes.Count(before, []byte{'\n'}), len(before) - bytes.LastIndexByte(before, '\n')
}

func (d *document) find(path string, offset int, format string, arguments ...any) {
	line, column := d.place(offset)
	d.findings = append(d.findings, Finding{path, line, column, fmt.Sprintf(format, arguments...)})
}

// parse reads one JSON value.
func (d *document) parse(depth int) (*node, error) {
	if depth > maximumNesting {
		return nil, errors.Newf("values are nested deeper than %d", maximumNesting)
	}
	// The decoder's offset is the end of the former token.
	from := int(d.decoder.InputOffset())
	for from < len(d.content) && strings.IndexByte(" \t\r\n:,", d.content[from]) >= 0 {
		from++
	}
	n := &node{offset: from}
	token, err := d.decoder.Token()
	if err != nil {
		return nil, err
	}
	delimiter, ok := token.(json.Delim)
	if !ok {
		n.value = token
		return n, nil
	}
	n.kind = byte(delimiter)
	for d.decoder.More() {
		if n.kind == '{' {
			name, err := d.decoder.Token()
			if err != nil {
				return nil, err
			}
			n.names = append(n.names, fmt.Sprint(name))
		}
		inner, err := d.parse(depth + 1)
		if err != nil {
			return nil, err
		}
		n.nodes = append(n.nodes, inner)
	}
	_, err = d.decoder.Token()
	return n, err
}

// assign stores a JSON value in a Go value and adds a finding for each part
// that does not fit.
func (d *document) assign(path string, n *node, into reflect.Value) {
	d.places[path] = n.offset
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		text, ok := n.value.(string)
		if !ok {
			d.find(path, n.offset, "must be a string")
		} else if err := u.UnmarshalText([]byte(text)); err != nil {
			d.find(path, n.offset, "%s", err.Error())
		}
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.assignObject(path, n, into)
	case reflect.Slice:
		if n.kind != '[' {
			d.find(path, n.offset, "must be an array")
			return
		}
		into.Set(reflect.MakeSlice(into.Type(), len(n.nodes), len(n.nodes)))
		for i, e := range n.nodes {
			d.assign(fmt.Sprintf("%s[%d]", path, i), e, into.Index(i))
		}
	case reflect.String:
		if text, ok := n.value.(string); ok {
			into.SetString(text)
		} else {
			d.find(path, n.offset, "must be a string")
		}
	case reflect.Bool:
		if b, ok := n.value.(bool); ok {
			into.SetBool(b)
		} else {
			d.find(path, n.offset, "must be true or false")
		}
	default:
		panic("settings: no decoding for " + into.Type().String())
	}
}

func (d *document) assignObject(path string, n *node, into reflect.Value) {
	if n.kind != '{' {
		d.find(path, n.offset, "must be an object")
		return
	}
	fields := map[string]int{}
	for i := range into.NumField() {
		fields[into.Type().Field(i).Tag.Get("json")] = i
	}
	for i, name := range n.names {
		inner := join(path, name)
		f, ok := fields[name]
		switch {
		case !ok:
			d.find(inner, n.nodes[i].offset, "there is no such field")
		case slices.Contains(n.names[:i], name):
			d.find(inner, n.nodes[i].offset, "the field is given twice")
		default:
			d.assign(inner, n.nodes[i], into.Field(f))
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
