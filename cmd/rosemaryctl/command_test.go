package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// fakeEntryVM responds to each "METHOD path" with a fixed body, which may be an
// *api.Error, and records the requests.
type fakeEntryVM struct {
	answers map[string]any
	bodies  map[string]string
	ids     []string
}

func (s *fakeEntryVM) handle(ctx *fasthttp.RequestCtx) {
	line := string(ctx.Method()) + " " + string(ctx.RequestURI())
	s.bodies[line] = string(ctx.PostBody())
	s.ids = append(s.ids, string(ctx.Request.Header.Peek(api.IdempotencyHeader)))
	body, ok := s.answers[line]
	if !ok {
		body = &api.Error{Status: 404, Code: api.UnknownRoute, Message: line, Ran: api.RanNo}
	}
	if e, ok := body.(*api.Error); ok {
		ctx.SetStatusCode(e.Status)
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx.SetBody(b)
}

// startFakeEntryVM serves the responses on loopback, and sets the environment so that
// commands connect there.
func startFakeEntryVM(t *testing.T, answers map[string]any) *fakeEntryVM {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeEntryVM{answers: answers, bodies: map[string]string{}}
	server := &fasthttp.Server{Handler: s.handle}
	go server.Serve(l)                          // ends at Shutdown
	t.Cleanup(func() { _ = server.Shutdown() }) // closes idle connections
	t.Setenv("ROSEMARYLOFT_ADDRESS", l.Addr().String())
	t.Setenv("ROSEMARYLOFT_KEY", "secret")
	return s
}

// runCommand runs a command line and returns its exit code and output.
func runCommand(line ...string) (code int, out, errout string) {
	var o, e bytes.Buffer
	code = run(line, &o, &e)
	return code, o.String(), e.String()
}

// Guards against a change that resets fields that were not given, or that is based
// on a version other than the one read or given.
func TestChangeKeepsTheRest(t *testing.T) {
	is := is.New(t)
	s := startFakeEntryVM(t, map[string]any{
		"GET /v1/catalogue": api.Catalogue{
			Teams:   []api.Team{{Name: "t", Weight: 3, Limit: api.Size{CPU: 8000, Memory: 1 << 30}, Tasks: 5, Version: 4}},
			Entries: []api.Entry{{Name: "e", Owner: "t", Class: "batch", Open: true, Version: 6}},
		},
		"PUT /v1/catalogue/teams/t":   api.Changed{Version: 9},
		"PUT /v1/catalogue/entries/e": api.Changed{Version: 10},
	})
	code, out, errout := runCommand("teams", "change", "t", "--cpu", "2.5", "--requests=0")
	is.Equal(errout, "")
	is.Equal(code, exitOK)
	is.Equal(out, "version 9\n")
	var team api.Team
	is.NoErr(json.Unmarshal([]byte(s.bodies["PUT /v1/catalogue/teams/t"]), &team))
	is.Equal(team, api.Team{Name: "t", Weight: 3, Limit: api.Size{CPU: 2500, Memory: 1 << 30}, Tasks: 5, Version: 4})

	code, _, _ = runCommand("entries", "change", "e", "--no-open", "--version=2", "--memory=1.5G")
	is.Equal(code, exitOK)
	var entry api.Entry
	is.NoErr(json.Unmarshal([]byte(s.bodies["PUT /v1/catalogue/entries/e"]), &entry))
	is.Equal(entry, api.Entry{Name: "e", Owner: "t", Class: "batch", Maximum: api.Size{Memory: 3 << 29}, Version: 2})
	code, _, _ = runCommand("teams", "retire", "x")
	is.Equal(code, exitNotFound)
}

// Guards against output that scripts cannot parse, and against secrets that are not
// shown once on creation or are shown in lists.
func TestOutput(t *testing.T) {
	is := is.New(t)
	startFakeEntryVM(t, map[string]any{
		"PUT /v1/keys/k":                   api.Changed{Version: 1, Secret: "S3CRET"},
		"GET /v1/keys":                     []api.Key{{Name: "k", Role: "worker", Version: 1}},
		"GET /v1/status":                   api.Status{Leader: "control-1", Members: []api.Member{{Name: "control-1", Disk: 255, Voter: true, Live: true}, {Name: "control-2", Voter: true}}},
		"GET /v1/jobs?state=queued&team=t": []api.Job{{ID: 7, Entry: "e", Size: api.Size{CPU: 500, Memory: 1 << 20}}},
	})
	_, out, _ := runCommand("keys", "add", "k", "--role=worker")
	is.True(strings.Contains(out, "secret S3CRET\n"))
	_, out, _ = runCommand("keys")
	is.Equal(out, "NAME  ROLE    TEAM  VERSION  WITHDRAWN\nk     worker  -     1        -\n")
	_, out, _ = runCommand("keys", "--json")
	var keys []api.Key
	is.NoErr(json.Unmarshal([]byte(out), &keys))
	is.Equal(len(keys), 1)
	_, out, _ = runCommand("status")
	is.True(strings.Contains(out, "control-1  00000000000000ff  yes    yes   0"))
	is.True(strings.Contains(out, "control-2  0000000000000000  yes    -     0")) // shows that a voter is missing
	_, out, _ = runCommand("jobs", "list", "--state=queued", "--team=t")
	is.True(strings.Contains(out, "0.5/1M"))
}

// Guards against exit codes that do not match the outcome.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	fail := func(status int, code api.Code, ran api.Ran) *api.Error {
		return &api.Error{Status: status, Code: code, Message: "m", Ran: ran, Version: 3}
	}
	s := startFakeEntryVM(t, map[string]any{
		"POST /v1/workers/a/drain": fail(409, api.Conflict, api.RanNo),
		"POST /v1/workers/b/drain": fail(404, api.UnknownObject, api.RanNo),
		"POST /v1/workers/c/drain": fail(403, api.Forbidden, api.RanNo),
		"POST /v1/workers/d/drain": fail(429, api.Limited, api.RanNo),
		"POST /v1/workers/e/drain": fail(500, api.Internal, api.RanUnknown),
		"POST /v1/workers/f/drain": fail(422, api.Infeasible, api.RanNo),
		"GET /v1/jobs/1":           api.Job{State: "succeeded"},
		"GET /v1/jobs/2":           api.Job{State: "failed"},
	})
	for line, want := range map[string]int{
		"drain a": exitConflict, "drain b": exitNotFound, "drain c": exitDenied, "drain d": exitUnavailable,
		"drain e --request=again": exitUnknown, "drain f": exitRefused, "drain": exitUsage, "drain a --cpu=1": exitUsage,
		"teams add t --cpu=many": exitUsage, "--address=http:// status": exitUsage, "--help": exitOK,
		"jobs wait 1": exitOK, "jobs wait 2": exitJobFailed, "--key-file=/nonexistent/key --key= status": exitLocal,
	} {
		code, _, errout := runCommand(strings.Fields(line)...)
		if code != want {
			t.Errorf("%s: exit code %d instead of %d: %s", line, code, want, errout)
		}
		if want == exitUnknown {
			is.True(strings.Contains(errout, "--request again")) // tells how to learn the outcome
		}
	}
	is.True(strings.Contains(strings.Join(s.ids, " "), "again"))
}

// Guards against exit codes that the help text or the documentation omits, and
// against commands that the documentation omits.
func TestDocumentation(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/rosemaryctl.md")
	is.NoErr(err)
	_, help, _ := runCommand("--help")
	for _, e := range exitHelp {
		is.True(strings.Contains(string(page), fmt.Sprintf("| %d | %s |", e.code, e.text)))
		is.True(strings.Contains(help, fmt.Sprintf("%d  %s", e.code, e.text)))
	}
	for _, line := range strings.Split(help[strings.Index(help, "\nCommands:\n")+len("\nCommands:\n"):], "\n") {
		if name, _, ok := strings.Cut(strings.TrimSpace(line), "  "); ok && strings.HasPrefix(line, "  ") && !strings.HasPrefix(line, "   ") {
			name, _, _ = strings.Cut(name, " (")
			is.True(strings.Contains(string(page), "`"+name)) // the command is described
		}
	}
}

// Guards against an authority whose certificates the daemon rejects, and against a
// second init that replaces the authority.
func TestAuthority(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "authority")
	code, _, _ := runCommand("authority", "init", "--folder", folder)
	is.Equal(code, exitOK)
	code, _, errout := runCommand("authority", "init", "--folder", folder)
	is.Equal(code, exitLocal) // the authority is not replaced
	is.True(strings.Contains(errout, "has an authority already"))
	code, out, _ := runCommand("authority", "issue", "entry-1", "--folder", folder)
	is.Equal(code, exitOK)
	file := filepath.Join(folder, "settings.json")
	is.NoErr(os.WriteFile(file, fmt.Appendf(nil, `{
		"name": "entry-1", "roles": ["entry"],
		"listen": {"callers": "127.0.0.1:1", "upstreams": "127.0.0.1:1", "operators": "127.0.0.1:1", "platform": "127.0.0.1:1", "peers": "127.0.0.1:2"},
		"peers": [{"name": "control-1", "address": "127.0.0.1:3", "control": true}],
		"certificates": {"authority": %q, "certificate": %q, "key": %q}
	}`, filepath.Join(folder, "authority.pem"), strings.Fields(out)[0], strings.Fields(out)[1]), 0o600))
	code, out, _ = runCommand("check", file)
	is.Equal(out, file+": no findings\n")
	is.Equal(code, exitOK)
	is.NoErr(os.WriteFile(file, []byte(`{"nmae": 1}`), 0o600))
	code, out, _ = runCommand("check", file)
	is.Equal(code, exitRefused)
	is.True(strings.Contains(out, "nmae: there is no such field"))
}
