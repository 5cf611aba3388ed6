package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// writeSettings writes a valid settings file with its certificates and returns its
// path. The replacements are pairs of an old and a new text.
func writeSettings(t testing.TB, replacements ...string) string {
	folder := t.TempDir()
	a, err := certificate.Create(now)
	if err == nil {
		err = a.Write(folder)
	}
	if err == nil {
		err = a.Issue(folder, "control-1", now)
	}
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("FOLDER", folder).Replace(`{
  "name": "control-1",
  "region": "senegal",
  "zone": "nord",
  "roles": ["entry", "control"],
  "data": "FOLDER/data",
  "listen": {
    "callers": "10.0.0.1:8080", "upstreams": "10.0.0.1:8080",
    "operators": "10.0.0.1:8081", "platform": "10.0.0.1:8080",
    "peers": "10.0.0.1:7400"
  },
  "peers": [
    {"name": "control-1", "address": "10.0.0.1:7400", "control": true},
    {"name": "control-2", "address": "10.0.0.2:7400", "control": true},
    {"name": "control-3", "address": "10.0.0.3:7400", "control": true},
    {"name": "entry-4", "address": "10.0.0.4:7400"}
  ],
  "certificates": {
    "authority": "FOLDER/authority.pem", "certificate": "FOLDER/control-1.pem", "key": "FOLDER/control-1.key"
  },
  "operators": ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]
}`)
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(text, replacements[i]) {
			t.Fatalf("the settings do not contain %s", replacements[i])
		}
		text = strings.ReplaceAll(text, replacements[i], replacements[i+1])
	}
	path := filepath.Join(folder, "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against valid settings that are rejected or read wrongly.
func TestLoad(t *testing.T) {
	is := is.New(t)
	s, findings := Load(writeSettings(t), now)
	is.Equal(findings, nil)
	is.Equal(s.ControlNames(), []string{"control-1", "control-2", "control-3"})
	is.Equal(len(s.PeerAddresses()), 3)
	is.Equal(s.Log, DefaultLog)
	servers := s.Listen.Servers()
	is.Equal(len(servers), 2)
	is.Equal(servers[0].Surfaces, []Surface{Callers, Upstreams, Platform})
	is.Equal(servers[1].Surfaces, []Surface{Operators})
}

// Guards against mistakes in a file that are noticed only when the process runs,
// and against findings without a position.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		replace []string
		want    []string
	}{
		"unknown field":     {[]string{`"zone":`, `"zoen":`}, []string{"4:11: zoen: there is no such field"}},
		"given twice":       {[]string{`"zone":`, `"region":`}, []string{"4:13: region: the field is given twice"}},
		"syntax":            {[]string{`"nord",`, `"nord"`}, []string{"5:3: invalid character '\"'"}},
		"literal":           {[]string{`"nord",`, `nord,`}, []string{"4:12: invalid character 'o'"}},
		"cut short":         {[]string{"]\n}", "]"}, []string{"21:83: unexpected end of JSON input"}},
		"trailing":          {[]string{"]\n}", "]\n} {}"}, []string{"22:3: invalid character '{' after top-level value"}},
		"kinds":             {[]string{`"nord"`, "7", `["entry", "control"]`, `"entry"`}, []string{"zone: must be a string", "roles: must be an array"}},
		"role":              {[]string{`["entry",`, `["entrance",`}, []string{`roles[0]: "entrance" is no role`}},
		"host name":         {[]string{`10.0.0.2:7400`, `control-2:7400`}, []string{`peers[1].address: "control-2:7400" is no IP address`}},
		"duplicate name":    {[]string{`"control-3"`, `"control-2"`}, []string{`peers[2].name: "control-2" is also peers[1]`, "peers: 2 processes"}},
		"duplicate address": {[]string{`10.0.0.3`, `10.0.0.2`}, []string{"peers[2].address: 10.0.0.2:7400 is also"}},
		"own address":       {[]string{`10.0.0.4`, `10.0.0.1`}, []string{"peers[3].address: 10.0.0.1:7400 is"}},
		"IP version":        {[]string{`"10.0.0.4:7400"`, `"[fd00::4]:7400"`}, []string{"peers[3].address: [fd00::4]:7400 cannot be reached"}},
		"even control":      {[]string{`"10.0.0.4:7400"`, `"10.0.0.4:7400", "control": true`}, []string{"peers: 4 processes have the role"}},
		"no control":        {[]string{`, "control": true`, ``, `["entry", "control"]`, `["entry"]`}, []string{"peers: no process has"}},
		"contradiction":     {[]string{`["entry", "control"]`, `["entry"]`}, []string{"peers[0].control: contradicts"}},
		"missing disk":      {[]string{`/data"`, `/a/b/data"`}, []string{"data: the role \"control\" needs a disk"}},
		"no data":           {[]string{`"data": "`, `"data": "", "log": "`}, []string{"data: the role \"control\" needs a folder", "log: must be"}},
		"missing files":     {[]string{`.key`, `.kye`, `authority.pem`, `a.pem`}, []string{"certificates.authority: open", "certificates.key: open"}},
		"wrong certificate": {[]string{`"control-1"`, `"control-9"`}, []string{"certificates: ", "names another process"}},
		"missing address":   {[]string{`"operators": "10.0.0.1:8081",`, ``}, []string{`listen.operators: is needed for the role "entry"`}},
		"digest":            {[]string{`"0123`, `"x123`}, []string{"operators[0]: must be the 64 hexadecimal digits"}},
		"port":              {[]string{`:8081`, `:0`}, []string{"listen.operators: needs a port"}},
		"name":              {[]string{`"control-1"`, `"Control 1"`}, []string{"name: must have", "peers[0].name: must be"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(Check(writeSettings(t, c.replace...), now, &out), CheckFindings)
			for _, w := range c.want {
				if !strings.Contains(out.String(), w) {
					t.Errorf("no %q in\n%s", w, &out)
				}
			}
			for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
				is.True(strings.Contains(line, "settings.json:") && strings.Count(line, ":") >= 3) // file, line, column
			}
		})
	}
	is := is.New(t)
	var out bytes.Buffer
	exposed := writeSettings(t)
	is.NoErr(os.Chmod(filepath.Join(filepath.Dir(exposed), "control-1.key"), 0o644))
	is.Equal(Check(exposed, now, &out), CheckFindings)
	is.True(strings.Contains(out.String(), "certificates.key: other users may read"))
	out.Reset()
	is.Equal(Check(filepath.Join(t.TempDir(), "none"), now, &out), CheckFindings)
	is.True(strings.Contains(out.String(), "no such file"))
	out.Reset()
	is.Equal(Check(writeSettings(t), now, &out), CheckOK)
}

// Guards against a process without a settings file that fails to start, and
// against an operator key that changes at each start.
func TestDefault(t *testing.T) {
	is := is.New(t)
	t.Chdir(t.TempDir())
	s := Default()
	is.Equal(len(s.Validate(now)), 0)
	is.Equal(len(s.Listen.Servers()), 1)
	p, err := Prepare(s, now)
	is.NoErr(err)
	is.Equal(len(p.Validate(now)), 0)
	is.Equal(len(p.Operators), 1)
	again, err := Prepare(s, now.AddDate(0, 1, 0))
	is.NoErr(err)
	is.Equal(fmt.Sprint(again), fmt.Sprint(p))
}

// Guards against files that make the decoder panic, against findings without a
// position, and against decoded settings whose methods panic.
func FuzzDecode(f *testing.F) {
	content, err := os.ReadFile(writeSettings(f))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	for _, s := range []string{"", "{", "[]", `{"peers":[{}]}`, `{"listen":null}`, `{"name":"a","name":"b"}`, strings.Repeat("[", 100), `{"peers":[{"address":"[::1%x]:1"}]}`, "{\"a\":\n1}x"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		s, findings := Decode(content)
		for _, f := range findings {
			if f.Line < 1 || f.Column < 1 || f.Message == "" {
				t.Fatalf("finding without a position or message: %+v", f)
			}
		}
		if len(findings) == 0 {
			s.ControlNames()
			s.PeerAddresses()
			s.Listen.Servers()
		}
	})
}

// Guards against fields that docs/settings.md omits.
func TestDocumentation(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/settings.md")
	is.NoErr(err)
	var visit func(prefix string, s reflect.Type)
	visit = func(prefix string, s reflect.Type) {
		for i := range s.NumField() {
			f := s.Field(i)
			path := prefix + f.Tag.Get("json")
			switch inner := f.Type; {
			case inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct:
				visit(path+"[].", inner.Elem())
			case inner.Kind() == reflect.Struct && inner != reflect.TypeFor[Address]():
				visit(path+".", inner)
			default:
				if !bytes.Contains(page, []byte("| `"+path+"` |")) {
					t.Errorf("docs/settings.md has no line for %s", path)
				}
			}
		}
	}
	visit("", reflect.TypeFor[Settings]())
}
