package api

import "time"

// CellLoad is the load of the pools of a cell on a platform, as its leader sees it.
type CellLoad struct {
	Leading time.Time  `json:"leading"` // since when the leader leads; its counts start there
	At      time.Time  `json:"at"`
	Pools   []PoolLoad `json:"pools"`
}

// PoolLoad is the load of one pool.
type PoolLoad struct {
	Pool       string           `json:"pool"`
	Refusing   bool             `json:"refusing"` // jobs were refused in the last seconds
	Since      time.Time        `json:"since"`    // of Refusing; zero if it never refused
	Workspaces []WorkspaceLoad  `json:"workspaces"`
	Idle       map[string]int64 `json:"idle,omitempty"` // thousandths of processors that are free while tasks wait, by what holds them
}

// WorkspaceLoad is the load of one workspace in a pool.
type WorkspaceLoad struct {
	Workspace string         `json:"workspace"`
	Waiting   []int          `json:"waiting"`           // tasks by priority; the last entry includes all lower ones
	Accepted  int            `json:"accepted"`          // jobs in the last minute
	Refused   int            `json:"refused"`           // attempts in the last minute
	Reasons   map[string]int `json:"reasons,omitempty"` // of these refusals
	Beyond    int            `json:"beyond"`            // waiting jobs that are in time and beyond the share of the workspace
	Late      int            `json:"late"`              // waiting jobs past their objective
	Expired   int            `json:"expired"`           // waiting jobs that are of no more use
	Binds     string         `json:"binds,omitempty"`   // what most waiting tasks wait for
	Since     time.Time      `json:"since,omitzero"`    // since when it is that
}
