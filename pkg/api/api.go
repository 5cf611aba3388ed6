// Package api defines the JSON bodies and error codes of rosemaryloft's HTTP
// interface for callers, upstreams, workers and operators.
//
// # Usage
//
// A caller submits a batch job with
//
//	POST /v1/jobs
//	Authorization: Bearer SECRET
//	Idempotency-Key: 0f3c…
//
//	{"entry":"sorting","tasks":4,"size":{"cpu":1000,"memory":1073741824},"seconds":60}
//
// and polls its state with GET /v1/jobs/{id}. Every response with a status of 400
// or above has an Error as its body.
//
// Processors are in millicores, memory in bytes, accelerators in whole
// devices, and times in RFC 3339.
package api

import (
	"net/netip"
	"time"
)

// Names of headers that are specific to the interface.
const (
	// IdempotencyHeader carries a key that identifies a request, so that a retry of
	// it is recognized.
	IdempotencyHeader = "Idempotency-Key"
	// TimeoutHeader is how long the caller waits for the response, in seconds.
	TimeoutHeader = "Request-Timeout"
	// RequestHeader carries the ID that the system assigned to a request. A runner
	// returns it unchanged with its response.
	RequestHeader = "X-Request-Id"
)

// Size is an amount of each kind of resource.
type Size struct {
	CPU          int64 `json:"cpu"`                    // millicores
	Memory       int64 `json:"memory"`                 // bytes
	Accelerators int64 `json:"accelerators,omitempty"` // whole devices
}

// Submission is the body of POST /v1/jobs.
type Submission struct {
	Entry   string `json:"entry"`
	Tasks   uint32 `json:"tasks"`
	Size    Size   `json:"size"`              // of each task
	Seconds int64  `json:"seconds,omitempty"` // declared run time of a task
	Urgent  bool   `json:"urgent,omitempty"`
	Command string `json:"command,omitempty"` // passed to the worker without being interpreted
}

// Job is the response to POST /v1/jobs, GET /v1/jobs/{id} and DELETE /v1/jobs/{id}.
type Job struct {
	ID        uint64    `json:"id"`
	Entry     string    `json:"entry"`
	Team      string    `json:"team"`
	Class     string    `json:"class"`
	Urgent    bool      `json:"urgent,omitempty"`
	State     string    `json:"state"` // queued, running, succeeded, failed, cancelled
	Reason    string    `json:"reason,omitempty"`
	Submitted time.Time `json:"submitted"`
	Ended     time.Time `json:"ended,omitzero"`
	Size      Size      `json:"size"`
	Tasks     []Task    `json:"tasks"`
}

// Task is one task of a Job.
type Task struct {
	Index    uint32    `json:"index"`
	State    string    `json:"state"` // queued, started, stopping, ended
	Worker   string    `json:"worker,omitempty"`
	Token    uint64    `json:"token,omitempty"` // fencing token of the last start
	Outcome  string    `json:"outcome,omitempty"`
	Attempts uint32    `json:"attempts,omitempty"`
	Started  time.Time `json:"started,omitzero"`
}

// Announcement is the body of POST /v1/runners/{name}/announce.
type Announcement struct {
	Entry       string         `json:"entry"`
	Address     netip.AddrPort `json:"address"` // where the runner serves HTTP
	Zone        string         `json:"zone"`
	Boot        uint64         `json:"boot"`              // boot number: random, drawn when the runner starts
	Slots       int64          `json:"slots"`             // requests that it handles concurrently
	Connections int64          `json:"connections"`       // connections that it accepts concurrently
	Busy        int64          `json:"busy"`              // requests that it is handling now
	Deadline    time.Time      `json:"deadline,omitzero"` // when the announcement expires; at most 30 s ahead
}

// Leave is the body of POST /v1/runners/{name}/leave.
type Leave struct {
	Entry string `json:"entry"`
	Boot  uint64 `json:"boot"`
}

// Accepted is the response to an Announcement or a Leave.
type Accepted struct {
	Deadline time.Time `json:"deadline,omitzero"` // announce again before then
}

// Poll is the body of POST /v1/workers/{name}/poll. Once a poll is answered, the
// worker has a lease that expires 15 s after it sent that poll. A worker must
// ignore the responses to all but its latest poll, and must stop its tasks when
// its lease expires.
type Poll struct {
	Boot        uint64         `json:"boot"`     // boot number: random, drawn when the VM boots
	Sequence    uint64         `json:"sequence"` // increases with each poll of a boot
	Address     netip.AddrPort `json:"address"`
	Zone        string         `json:"zone"`
	Rack        string         `json:"rack"`
	Capacity    Size           `json:"capacity"`
	Accelerator string         `json:"accelerator,omitempty"` // model
	Echo        uint64         `json:"echo,omitempty"`        // latest Orders.Challenge of this boot
	Running     []Running      `json:"running"`               // from the poll on that follows the start
	Ended       []Ended        `json:"ended"`                 // repeated until a response lists them
}

// Running is a task that is running on a worker.
type Running struct {
	Job   uint64    `json:"job"`
	Index uint32    `json:"index"`
	Token uint64    `json:"token"`
	Used  Size      `json:"used"`
	At    time.Time `json:"at"` // when Used was measured
}

// Ended is a run of a task that has ended.
type Ended struct {
	Job     uint64 `json:"job"`
	Index   uint32 `json:"index"`
	Token   uint64 `json:"token"`
	Outcome string `json:"outcome"` // succeeded, failed, oversized, checkpointed, stopped
}

// Orders is the response to a Poll.
type Orders struct {
	Sequence uint64 `json:"sequence"` // of the poll that is answered
	Lease    int64  `json:"lease"`    // milliseconds from when that poll was sent; 0 does not renew the lease
	// Challenge is set while another boot of the worker has the lease. The next poll
	// returns it in Echo, which proves that its boot is the newer one.
	Challenge uint64    `json:"challenge,omitempty"`
	Starts    []Start   `json:"starts,omitempty"`
	Stops     []Stop    `json:"stops,omitempty"`
	Throttle  []Running `json:"throttle,omitempty"` // Used is the new limit
	Ended     []Ended   `json:"ended,omitempty"`    // recorded; not to be repeated
}

// Start orders a worker to start a task. The worker must ignore a start whose
// token is not greater than that of an earlier start of the task.
type Start struct {
	Job     uint64 `json:"job"`
	Index   uint32 `json:"index"`
	Token   uint64 `json:"token"`
	Entry   string `json:"entry"`
	Team    string `json:"team"`
	Size    Size   `json:"size"` // limit on the resources that the task may use
	Resume  bool   `json:"resume,omitempty"`
	Command string `json:"command,omitempty"`
}

// Stop orders a worker to end a task. A worker that has no start of the task with
// this token or a greater one must ignore such a start from then on, and reports
// the run as stopped.
type Stop struct {
	Job   uint64 `json:"job"`
	Index uint32 `json:"index"`
	Token uint64 `json:"token"`
	Mode  string `json:"mode"` // checkpoint, stop
}
