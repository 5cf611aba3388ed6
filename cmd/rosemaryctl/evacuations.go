package main

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

// evacuationPath is the path of the control processes' interface for evacuations.
const evacuationPath = "/v1/evacuation"

type evacuationsCommand struct {
	List  evacuationsListCommand  `cmd:"" default:"1" help:"List evacuated availability zones. Needs --control."`
	Start evacuationsStartCommand `cmd:"" help:"Start nothing more in an availability zone. Needs --control."`
	End   evacuationsEndCommand   `cmd:"" help:"Revoke an evacuation. Needs --control."`
}

// evacuatedZone is an evacuated zone and what is left there.
type evacuatedZone struct {
	Zone        string    `json:"zone"`
	Since       time.Time `json:"since"`
	Workers     int       `json:"workers"`
	Runs        int       `json:"runs"`
	LongRunning int       `json:"long_running"`
}

type evacuationsListCommand struct{}

// Run prints the evacuated zones.
func (*evacuationsListCommand) Run(s *session) error {
	c, err := s.cell()
	if err != nil {
		return err
	}
	list, err := client.GetControl[struct {
		Evacuations []evacuatedZone `json:"evacuations"`
	}](s, c, evacuationPath)
	if err != nil {
		return err
	}
	rows := make([][]any, len(list.Evacuations))
	for i, z := range list.Evacuations {
		rows[i] = []any{z.Zone, z.Since, z.Workers, z.Runs, z.LongRunning}
	}
	return s.print(list, "ZONE SINCE WORKERS RUNS LONG-RUNNING", rows)
}

type evacuationsStartCommand struct {
	Zone string `arg:"" help:"Availability zone, as workers report it."`
}

// Run evacuates the zone.
func (c *evacuationsStartCommand) Run(s *session) error {
	return s.orderEvacuation(http.MethodPost, c.Zone)
}

type evacuationsEndCommand struct {
	Zone string `arg:"" help:"Availability zone."`
}

// Run revokes the evacuation of the zone.
func (c *evacuationsEndCommand) Run(s *session) error {
	return s.orderEvacuation(http.MethodDelete, c.Zone)
}

// orderEvacuation sends an order about a zone and prints how many workers the zone has.
func (s *session) orderEvacuation(method, zone string) error {
	c, err := s.cell()
	if err != nil {
		return err
	}
	a, err := client.SendControl[struct {
		Zone      string `json:"zone"`
		Evacuated bool   `json:"evacuated"`
		Workers   int    `json:"workers"`
	}](s, c, method, evacuationPath+"/"+url.PathEscape(zone), nil)
	if err != nil {
		return err
	}
	if err := s.print(a, "ZONE EVACUATED WORKERS", [][]any{{a.Zone, a.Evacuated, a.Workers}}); err != nil {
		return err
	}
	if a.Workers == 0 && !s.json {
		_, err = fmt.Fprintln(s.out, "No known worker is in this zone. Check the name.")
	}
	return err
}
