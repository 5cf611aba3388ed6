package api

import "time"

// Team is a workspace, which owns entries and keys. In a change, Version is the
// version on which the change is based; zero adds the team.
type Team struct {
	Name     string `json:"name"`
	Weight   int64  `json:"weight"`             // share of a fully used pool relative to other teams
	Limit    Size   `json:"limit"`              // on running tasks; zero fields mean no limit
	Tasks    int64  `json:"tasks,omitempty"`    // limit on running tasks; zero means no limit
	Requests int64  `json:"requests,omitempty"` // limit on requests in flight; zero means no limit
	Version  uint64 `json:"version"`
	Retired  bool   `json:"retired,omitempty"`
}

// Entry is a catalogue entry: a service or queue. Version is as in Team.
type Entry struct {
	Name       string `json:"name"`
	Owner      string `json:"owner"`                // team
	Class      string `json:"class"`                // service, batch, gang
	Open       bool   `json:"open,omitempty"`       // accepts work from every team
	Idempotent bool   `json:"idempotent,omitempty"` // requests may be executed more than once
	Maximum    Size   `json:"maximum"`              // largest declared size of a task; zero fields mean no limit
	Tasks      int64  `json:"tasks,omitempty"`      // limit on running tasks; zero means no limit
	Body       int64  `json:"body,omitempty"`       // largest request body in bytes; zero means 1 MiB
	Version    uint64 `json:"version"`
	Retired    bool   `json:"retired,omitempty"`
}

// Key grants a role in a team. Secret must be empty in a request and is empty in
// lists of keys: only Changed, the response to the change, carries the secret.
type Key struct {
	Name      string `json:"name"`
	Team      string `json:"team,omitempty"`
	Role      string `json:"role"` // caller, upstream, worker, operator
	Secret    string `json:"secret,omitempty"`
	Version   uint64 `json:"version"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Catalogue is the response to GET /v1/catalogue.
type Catalogue struct {
	Version uint64  `json:"version"`
	Teams   []Team  `json:"teams"`
	Entries []Entry `json:"entries"`
	Keys    []Key   `json:"keys"`
}

// Changed is the response to a change of the catalogue.
type Changed struct {
	Version uint64 `json:"version"`
	Secret  string `json:"secret,omitempty"` // new secret of a key that was created or renewed
}

// Worker is a worker, as listed for operators.
type Worker struct {
	Name     string    `json:"name"`
	Zone     string    `json:"zone"`
	Rack     string    `json:"rack"`
	Capacity Size      `json:"capacity"`
	Reserved Size      `json:"reserved"`
	Tasks    int       `json:"tasks"`
	Drained  bool      `json:"drained,omitempty"`
	Aside    bool      `json:"aside,omitempty"` // quarantined after failures
	Gone     bool      `json:"gone,omitempty"`
	Lease    time.Time `json:"lease,omitzero"`
}

// Upstream is a runner, as listed for operators.
type Upstream struct {
	Entry string `json:"entry"`
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Owner string `json:"owner"` // entry VM that assigns its slots to requests
	Slots int64  `json:"slots"`
}

// Queue is the load of a catalogue entry.
type Queue struct {
	Entry   string    `json:"entry"`
	Team    string    `json:"team"`
	Queued  int       `json:"queued"`
	Running int       `json:"running"`
	Oldest  time.Time `json:"oldest,omitzero"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Leader    string   `json:"leader"`
	Term      uint64   `json:"term"`
	Applied   uint64   `json:"applied"`
	Catalogue uint64   `json:"catalogue"`
	Members   []Member `json:"members"`
	Entries   []Node   `json:"entries"`
}

// Member is a replica of the control group.
type Member struct {
	Name    string `json:"name"`
	Disk    uint64 `json:"disk"` // random ID of its data directory
	Voter   bool   `json:"voter"`
	Matched uint64 `json:"matched"`
	Live    bool   `json:"live"` // it answers the leader
}

// Node is an entry VM.
type Node struct {
	Name     string    `json:"name"`
	Zone     string    `json:"zone"`
	Draining bool      `json:"draining,omitempty"`
	Version  uint64    `json:"version"`
	Deadline time.Time `json:"deadline"`
}

// Explanation is the response to GET /v1/jobs/{id}/explain.
type Explanation struct {
	Text string `json:"text"`
}
