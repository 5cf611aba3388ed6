package main

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Exit codes. Scripts rely on them: a code keeps its meaning.
const (
	exitOK          = 0
	exitRefused     = 1 // the request was refused, or check has findings
	exitUsage       = 2 // the command line is wrong
	exitNotFound    = 3 // there is no such object
	exitConflict    = 4 // the object was changed by somebody else meanwhile
	exitDenied      = 5 // the key is missing, wrong, withdrawn or of another role
	exitUnavailable = 6 // nothing was done, and a later attempt may succeed
	exitUnknown     = 7 // it is not known whether the change was made
	exitJob         = 8 // the job ended, but did not succeed
	exitLocal       = 9 // a file on this VM cannot be read or written
)

// exitHelp words the codes for the help text, in order.
var exitHelp = []struct {
	code int
	text string
}{
	{exitOK, "done"},
	{exitRefused, "the request was refused, or check has findings"},
	{exitUsage, "the command line is wrong"},
	{exitNotFound, "there is no such object"},
	{exitConflict, "the object was changed by somebody else meanwhile"},
	{exitDenied, "the key is missing, wrong, withdrawn or of another role"},
	{exitUnavailable, "nothing was done; a later attempt may succeed"},
	{exitUnknown, "it is not known whether the change was made; the error says how to find out"},
	{exitJob, "the job ended, but did not succeed"},
	{exitLocal, "a file on this VM cannot be read or written"},
}

func describeExits() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for _, e := range exitHelp {
		fmt.Fprintf(&b, "  %d  %s\n", e.code, e.text)
	}
	return b.String()
}

// exitError ends the program with a code, after its text if it has any.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func usage(format string, arguments ...any) error {
	return &exitError{exitUsage, fmt.Sprintf(format, arguments...)}
}

// exitCode returns the code for the error of a command.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var own *exitError
	if errors.As(err, &own) {
		return own.code
	}
	var e *api.Error
	if !errors.As(err, &e) {
		return exitLocal
	}
	if e.Ran == api.RanUnknown {
		return exitUnknown
	}
	switch e.Code {
	case api.UnknownEntry, api.UnknownJob, api.UnknownObject:
		return exitNotFound
	case api.Conflict:
		return exitConflict
	case api.Unauthorized, api.Forbidden:
		return exitDenied
	case api.Malformed, api.Mismatch, api.InProgress, api.TooLarge, api.Infeasible, api.UnknownRoute, api.Internal, api.BadAnswer:
		return exitRefused
	}
	return exitUnavailable
}

// checkExit turns the result of settings.Check into an error.
func checkExit(code int) error {
	if code == settings.CheckOK {
		return nil
	}
	return &exitError{code: exitRefused}
}
