package main

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Exit codes. The meaning of a code must not change, because scripts rely on it.
const (
	exitOK          = 0
	exitRefused     = 1 // the request was refused, or check has findings
	exitUsage       = 2 // the command line is invalid
	exitNotFound    = 3 // there is no such object
	exitConflict    = 4 // the object has been changed concurrently
	exitDenied      = 5 // the key is missing, wrong, withdrawn or lacks the role
	exitUnavailable = 6 // nothing was done, and a retry may succeed
	exitUnknown     = 7 // it is not known whether the change was made
	exitJobFailed   = 8 // the job ended, but did not succeed
	exitLocal       = 9 // a file on this VM cannot be read or written
)

// exitHelp describes the codes for the help text, in numerical order.
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
	{exitJobFailed, "the job ended, but did not succeed"},
	{exitLocal, "a file on this VM cannot be read or written"},
}

// exitCodesHelp returns the section of the help text about exit codes.
func exitCodesHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for _, e := range exitHelp {
		fmt.Fprintf(&b, "  %d  %s\n", e.code, e.text)
	}
	return b.String()
}

// exitError ends the program with a code. Its text, if any, is printed.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

// usageError returns an error about an invalid command line.
func usageError(format string, arguments ...any) error {
	return &exitError{exitUsage, fmt.Sprintf(format, arguments...)}
}

// exitCode returns the exit code for the error of a command.
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

// checkExit converts the result of settings.Check to an error. The findings are
// already printed, so the error has no text.
func checkExit(code int) error {
	if code == settings.CheckOK {
		return nil
	}
	return &exitError{code: exitRefused}
}
