package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logLines = `{"time":"2026-12-05T02:00:01Z","event":900,"process":"c-1","request":"e-1-7","job":"aa","queue":"quick","workspace":"depot"}
{"time":"2026-12-05T02:00:02Z","event":909,"process":"c-1","step":"aa.0.0","reason":"no worker has room","waited":"1s"}
{"time":"2026-12-05T02:00:03Z","event":903,"process":"c-1","job":"aa","state":"failed","after":"2s","objective":"1s"}
`

// Guards against reports and explanations from logs that need a cell, or that end with
// the wrong exit code.
func TestLogs(t *testing.T) {
	is := is.New(t)
	file, picture := filepath.Join(t.TempDir(), "c-1.log"), filepath.Join(t.TempDir(), "day.png")
	is.NoErr(os.WriteFile(file, []byte(logLines), 0o600))
	for _, c := range []struct {
		line string
		code int
		want string
	}{
		{"report " + file, exitOK, "quick  1         0          0     1"},
		{"--json report " + file, exitOK, `"failed": 1`},
		{"report --plot " + picture + " " + file, exitOK, "depot"},
		{"report --from 2026-12-05T02:00:02Z --until 2026-12-05T02:00:03Z " + file, exitOK, "2026-12-05T02:00:02.000Z  2026-12-05T02:00:02.000Z  1"},
		{"report --until 2020-01-01T00:00:00Z " + file, exitNotFound, ""},
		{"report " + file + ".none", exitUsage, ""},
		{"report --from yesterday " + file, exitUsage, ""},
		{"report", exitUsage, ""},
		{"explain e-1-7 --log " + file, exitOK, "aa: failed after 2s\n  a step waited up to 1s: no worker has room\n"},
		{"--json explain aa --log " + file, exitOK, `"outcome":"failed after 2s"`},
		{"explain bb --log " + file, exitNotFound, ""},
		{"explain aa", exitUsage, ""},
	} {
		var out, errout bytes.Buffer
		is.Equal(run(strings.Fields(c.line), &out, &errout), c.code) // c.line
		is.True(strings.Contains(out.String(), c.want))
		is.Equal(errout.Len() > 0, c.code != exitOK)
	}
	b, err := os.ReadFile(picture)
	is.NoErr(err)
	is.True(bytes.HasPrefix(b, []byte("\x89PNG")))
}
