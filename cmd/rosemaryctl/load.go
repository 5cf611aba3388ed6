package main

import (
	"fmt"
	"time"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

type loadCommand struct{}

// Run prints the load of the pools.
func (*loadCommand) Run(s *session) error {
	c, err := s.cell()
	if err != nil {
		return err
	}
	load, err := client.GetControl[api.CellLoad](s, c, "/v1/load")
	if err != nil {
		return err
	}
	return s.printLoad(&load)
}

// printLoad prints one row for each workspace in a pool.
func (s *session) printLoad(load *api.CellLoad) error {
	var rows [][]any
	for _, p := range load.Pools {
		refusing := "-"
		if p.Refusing {
			refusing = load.At.Sub(p.Since).Truncate(time.Second).String()
		}
		for _, w := range p.Workspaces {
			binds, since := "-", "-"
			if w.Binds != "" {
				binds, since = w.Binds, load.At.Sub(w.Since).Truncate(time.Second).String()
			}
			rows = append(rows, []any{p.Pool, refusing, w.Workspace, fmt.Sprint(w.Waiting), w.Accepted, w.Refused, w.Beyond, w.Late, w.Expired, binds, since})
		}
	}
	return s.print(load, "POOL REFUSING WORKSPACE WAITING ACCEPTED REFUSED BEYOND LATE EXPIRED BINDS FOR", rows)
}
