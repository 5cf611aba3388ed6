package api

import (
	"fmt"
	"time"
)

// Ran states whether a request that got an error was executed.
type Ran string

const (
	RanNo      Ran = "no"      // it was not executed and will not be
	RanUnknown Ran = "unknown" // it may have been executed
	RanYes     Ran = "yes"     // it was executed
)

// Code is a machine-readable reason of an Error.
type Code string

const (
	Malformed     Code = "malformed"      // 400: the body or a header is invalid
	Unauthorized  Code = "unauthorized"   // 401: no key, or a wrong or withdrawn one
	Forbidden     Code = "forbidden"      // 403: the key's team or role may not do this
	UnknownEntry  Code = "unknown_entry"  // 404: no such entry, or it is retired
	UnknownJob    Code = "unknown_job"    // 404
	UnknownObject Code = "unknown_object" // 404
	UnknownRoute  Code = "unknown_route"  // 404
	Conflict      Code = "conflict"       // 409: the version is not the current one, which Version states
	Mismatch      Code = "mismatch"       // 409: the idempotency key was used for a different request before
	InProgress    Code = "in_progress"    // 409: the same request is being executed, or there is no stored response to return
	TooLarge      Code = "too_large"      // 413: the body is larger than the entry allows
	Infeasible    Code = "infeasible"     // 422: the job can never run; Message states the reason
	Limited       Code = "limited"        // 429: the team has reached its limit
	Overloaded    Code = "overloaded"     // 503: no slot is free
	NoUpstream    Code = "no_upstream"    // 503: no runner is announced
	Stale         Code = "stale"          // 503: this entry VM has lost contact with the leader
	NoLeader      Code = "no_leader"      // 503: the control group has no leader now
	Draining      Code = "draining"       // 503: this entry VM is shutting down
	BadAnswer     Code = "bad_answer"     // 502: the upstream's response was cut off or belongs to another request
	Timeout       Code = "timeout"        // 504: the deadline passed
	Internal      Code = "internal"       // 500
)

// Error is the body of every response with a status of 400 or above. It is also
// the error that package client returns for such responses.
type Error struct {
	Status  int       `json:"-"`
	Code    Code      `json:"code"`
	Message string    `json:"message"`
	Ran     Ran       `json:"ran"`
	Retry   time.Time `json:"retry,omitzero"`    // when to retry; zero if a retry is of no use
	Version uint64    `json:"version,omitempty"` // current version, on Conflict
}

// Error implements the error interface with the code and the message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }
