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

// maxNesting is the maximum nesting depth of a settings file.
const maxNesting = 16

// Finding is a problem in the settings.
type Finding struct {
	Path    string // path of the JSON value, such as peers[2].address; empty for the whole file
	Line    int    // in the file, from 1; zero if not known
	Column  int    // in bytes, from 1
	Message string
}

// String formats the finding as one line.
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

// node is a JSON value with its position in the file.
type node struct {
	offset   int
	value    any      // string, json.Number, bool or nil; unused for objects and arrays
	kind     byte     // '{' for an object, '[' for an array, zero for a scalar
	keys     []string // field names of an object, in file order
	children []*node  // fields of an object or elements of an array
}

// document is a settings file that is being decoded.
type document struct {
	content  []byte
	decoder  *json.Decoder
	findings []Finding
	offsets  map[string]int // offset of the value at each path
}

// Decode decodes the JSON of a settings file. Unknown and duplicate fields are
// findings. Omitted fields keep their defaults. The result is not validated, and
// is usable only if there are no findings.
func Decode(content []byte) (Settings, []Finding) {
	s := fileDefaults()
	d := decode(content, &s)
	return s, d.findings
}

func decode(content []byte, s *Settings) *document {
	d := &document{content: content, decoder: json.NewDecoder(bytes.NewReader(content)), offsets: map[string]int{}}
	d.decoder.UseNumber()
	// Check the syntax of the whole file first: only the errors of this check state
	// an offset from the start of the file.
	var raw json.RawMessage
	err := json.Unmarshal(content, &raw)
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
	line, column := d.position(offset)
	d.findings = append(d.findings, Finding{Line: line, Column: column, Message: err.Error()})
	return d
}

// position converts an offset to a line and a column, both counted from 1.
func (d *document) position(offset int) (line, column int) {
	before := d.content[:min(offset, len(d.content))]
	return 1 + bytes.Count(before, []byte{'\n'}), len(before) - bytes.LastIndexByte(before, '\n')
}

// addFinding records a finding about the value at path, which starts at offset.
func (d *document) addFinding(path string, offset int, format string, arguments ...any) {
	line, column := d.position(offset)
	d.findings = append(d.findings, Finding{path, line, column, fmt.Sprintf(format, arguments...)})
}

// parse reads the next JSON value from the decoder.
func (d *document) parse(depth int) (*node, error) {
	if depth > maxNesting {
		return nil, errors.Newf("values are nested deeper than %d", maxNesting)
	}
	// The decoder's offset is the end of the previous token: skip what separates
	// it from the value.
	start := int(d.decoder.InputOffset())
	for start < len(d.content) && strings.IndexByte(" \t\r\n:,", d.content[start]) >= 0 {
		start++
	}
	n := &node{offset: start}
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
			n.keys = append(n.keys, fmt.Sprint(name))
		}
		child, err := d.parse(depth + 1)
		if err != nil {
			return nil, err
		}
		n.children = append(n.children, child)
	}
	_, err = d.decoder.Token()
	return n, err
}

// assign stores a JSON value in target and adds a finding for each part that does
// not have the expected type. It also records the offset of each path.
func (d *document) assign(path string, n *node, target reflect.Value) {
	d.offsets[path] = n.offset
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		text, ok := n.value.(string)
		if !ok {
			d.addFinding(path, n.offset, "must be a string")
		} else if err := u.UnmarshalText([]byte(text)); err != nil {
			d.addFinding(path, n.offset, "%s", err.Error())
		}
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.assignObject(path, n, target)
	case reflect.Slice:
		if n.kind != '[' {
			d.addFinding(path, n.offset, "must be an array")
			return
		}
		target.Set(reflect.MakeSlice(target.Type(), len(n.children), len(n.children)))
		for i, e := range n.children {
			d.assign(fmt.Sprintf("%s[%d]", path, i), e, target.Index(i))
		}
	case reflect.String:
		if text, ok := n.value.(string); ok {
			target.SetString(text)
		} else {
			d.addFinding(path, n.offset, "must be a string")
		}
	case reflect.Bool:
		if b, ok := n.value.(bool); ok {
			target.SetBool(b)
		} else {
			d.addFinding(path, n.offset, "must be true or false")
		}
	default:
		panic("settings: cannot decode into type " + target.Type().String())
	}
}

// assignObject stores a JSON object in a struct, matching fields by their json tag.
func (d *document) assignObject(path string, n *node, target reflect.Value) {
	if n.kind != '{' {
		d.addFinding(path, n.offset, "must be an object")
		return
	}
	fields := map[string]int{}
	for i := range target.NumField() {
		fields[target.Type().Field(i).Tag.Get("json")] = i
	}
	for i, name := range n.keys {
		fieldPath := joinPath(path, name)
		index, ok := fields[name]
		switch {
		case !ok:
			d.addFinding(fieldPath, n.children[i].offset, "there is no such field")
		case slices.Contains(n.keys[:i], name):
			d.addFinding(fieldPath, n.children[i].offset, "the field is given twice")
		default:
			d.assign(fieldPath, n.children[i], target.Field(index))
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
