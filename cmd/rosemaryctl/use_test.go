package main

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a table without the delay, and against a command that asks an entry VM because
// no control process is given.
func TestUseCommand(t *testing.T) {
	is := is.New(t)
	startFakeEntryVM(t, map[string]any{"GET /v1/use": map[string]any{"uses": []map[string]any{
		{"workspace": "a", "pool": "p", "amount": 3.25, "of_use": 0.75, "of_weight": 0.5, "delay_ms": 585},
	}}})
	code, _, _ := runCommand("use")
	is.Equal(code, exitUsage)
	t.Setenv("ROSEMARYLOFT_CONTROL", os.Getenv("ROSEMARYLOFT_ADDRESS"))
	code, out, _ := runCommand("use")
	is.Equal(code, exitOK)
	is.Equal(strings.Fields(strings.Split(out, "\n")[1]), []string{"a", "p", "3.250", "0.750", "0.500", "585ms"})
}
