package main

import (
	"strconv"
	"time"

	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

type useCommand struct{}

// usedParts is the answer of a control process to /v1/use.
type usedParts struct {
	Uses []struct {
		Workspace string  `json:"workspace"`
		Pool      string  `json:"pool"`
		Amount    float64 `json:"amount"`
		OfUse     float64 `json:"of_use"`
		OfWeight  float64 `json:"of_weight"`
		DelayMS   int64   `json:"delay_ms"`
	} `json:"uses"`
}

// Run prints what workspaces have used of the pools.
func (*useCommand) Run(s *session) error {
	c, err := s.cell()
	if err != nil {
		return err
	}
	list, err := client.GetControl[usedParts](s, c, "/v1/use")
	if err != nil {
		return err
	}
	rows := make([][]any, len(list.Uses))
	for i, u := range list.Uses {
		rows[i] = []any{u.Workspace, u.Pool, decimals(u.Amount), decimals(u.OfUse), decimals(u.OfWeight), time.Duration(u.DelayMS) * time.Millisecond}
	}
	return s.print(list, "WORKSPACE POOL AMOUNT OF-USE OF-WEIGHT DELAY", rows)
}

// decimals formats a number for a table.
func decimals(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }
