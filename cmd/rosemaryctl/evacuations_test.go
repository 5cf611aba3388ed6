package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Guards against zones that another spelling of their path changes, a misspelt name that does not show,
// and errors of control processes that look like success.
func TestEvacuations(t *testing.T) {
	is := is.New(t)
	s := startFakeEntryVM(t, map[string]any{
		"GET /v1/evacuation":        map[string]any{"evacuations": []any{map[string]any{"zone": "z 1", "since": "2026-12-06T20:00:00Z", "workers": 3, "runs": 2, "long_running": 1}}},
		"POST /v1/evacuation/z%201": map[string]any{"zone": "z 1", "evacuated": true, "workers": 0},
		"DELETE /v1/evacuation/z":   map[string]any{"zone": "z", "evacuated": false, "workers": 3},
		"POST /v1/evacuation/a%2Fb": &api.Error{Status: 400},
	})
	t.Setenv("ROSEMARYLOFT_CONTROL", os.Getenv("ROSEMARYLOFT_ADDRESS"))
	for _, k := range []struct {
		line, want string
		code       int
	}{
		{"evacuations", "z 1   2026-12-06T20:00:00Z  3        2     1", 0},
		{"evacuations end z", "z     -          3", 0},
		{"evacuations start a/b", "", exitUsage},
	} {
		var out, errout bytes.Buffer
		code := run(strings.Fields(k.line), &out, &errout)
		is.True(strings.Contains(out.String(), k.want))
		is.Equal(code != 0, k.code != 0)
	}
	var out, errout bytes.Buffer
	is.Equal(run([]string{"evacuations", "start", "z 1"}, &out, &errout), 0)
	is.True(strings.Contains(out.String(), "Check the name"))
	is.Equal(s.bodies["POST /v1/evacuation/z%201"], "")
	t.Setenv("ROSEMARYLOFT_CONTROL", "")
	is.Equal(run([]string{"evacuations"}, &out, &errout), exitUsage)
}
