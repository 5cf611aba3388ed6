package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const loadAnswer = `{"leading":"2026-12-05T02:00:00Z","at":"2026-12-05T02:01:00Z","pools":[{"pool":"desk","refusing":true,"since":"2026-12-05T02:00:50Z",
"workspaces":[{"workspace":"depot","waiting":[3,0,40],"accepted":7,"refused":2,"reasons":{"why":2},"beyond":1,"late":4,"expired":5,"binds":"ticket","since":"2026-12-05T02:00:30Z"}]}]}`

// Guards against a view of the load without the workspace, what binds it, or the reasons.
func TestLoad(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/v1/load")
		_, err := w.Write([]byte(loadAnswer))
		is.NoErr(err)
	}))
	defer s.Close()
	control := "--control " + strings.TrimPrefix(s.URL, "http://")
	for line, want := range map[string]string{
		control + " load":        "desk  10s       depot      [3 0 40]  7         2        1       4     5        ticket  30s",
		control + " --json load": `"why": 2`,
	} {
		var out, errout bytes.Buffer
		is.Equal(run(strings.Fields(line), &out, &errout), exitOK)
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s: %s", line, out.String())
		}
	}
	var out, errout bytes.Buffer
	is.Equal(run([]string{"load"}, &out, &errout), exitUsage)
}
