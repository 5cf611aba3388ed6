package main

import (
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// baseVersionFor returns the version on which a change is based, and remembers it for
// report: the given version, or the current one if none was given.
func (s *session) baseVersionFor(given *uint64, current uint64) uint64 {
	s.baseVersion = current
	if given != nil {
		s.baseVersion = *given
	}
	return s.baseVersion
}

// notFound returns the error for an object that does not exist.
func notFound(kind, name string) error {
	return &api.Error{Code: api.UnknownObject, Message: "there is no " + kind + " " + name, Ran: api.RanNo}
}

// find returns the first element of a list that matches, and whether there is one.
func find[T any](list []T, matches func(*T) bool) (*T, bool) {
	for i := range list {
		if matches(&list[i]) {
			return &list[i], true
		}
	}
	return nil, false
}

type teamsCommand struct {
	List   teamsListCommand   `cmd:"" default:"1" help:"List teams."`
	Add    teamsAddCommand    `cmd:"" help:"Add a team."`
	Change teamsChangeCommand `cmd:"" help:"Change what is given; the rest stays."`
	Retire teamsRetireCommand `cmd:"" help:"Take no more work of a team."`
}

type teamsListCommand struct{}

// Run prints the teams.
func (*teamsListCommand) Run(s *session) error {
	c, err := s.Catalogue(s)
	if err != nil {
		return err
	}
	rows := make([][]any, len(c.Teams))
	for i, t := range c.Teams {
		rows[i] = []any{t.Name, t.Weight, t.Limit, t.Tasks, t.Requests, t.Version, t.Retired}
	}
	return s.print(c.Teams, "NAME WEIGHT LIMIT TASKS REQUESTS VERSION RETIRED", rows)
}

type teamFlags struct {
	sizeFlags
	Weight   *int64 `help:"Share of a full pool, relative to other teams."`
	Tasks    *int64 `help:"Limit on running tasks; 0 means none."`
	Requests *int64 `help:"Limit on requests in flight; 0 means none."`
}

func (f teamFlags) apply(t *api.Team) {
	f.sizeFlags.apply(&t.Limit)
	setIfGiven(&t.Weight, f.Weight)
	setIfGiven(&t.Tasks, f.Tasks)
	setIfGiven(&t.Requests, f.Requests)
}

type teamsAddCommand struct {
	Name string `arg:""`
	teamFlags
}

// Run adds the team.
func (c *teamsAddCommand) Run(s *session) error {
	t := api.Team{Name: c.Name, Weight: 1}
	c.apply(&t)
	return s.printChange(s.PutTeam(s, t))
}

type teamsChangeCommand struct {
	Name    string  `arg:""`
	Version *uint64 `help:"Fail unless this is the current version."`
	teamFlags
}

// Run changes the team.
func (c *teamsChangeCommand) Run(s *session) error {
	return changeTeam(s, c.Name, c.Version, c.apply)
}

type teamsRetireCommand struct {
	Name    string  `arg:""`
	Version *uint64 `help:"Fail unless this is the current version."`
}

// Run retires the team.
func (c *teamsRetireCommand) Run(s *session) error {
	return changeTeam(s, c.Name, c.Version, func(t *api.Team) { t.Retired = true })
}

func changeTeam(s *session, name string, version *uint64, edit func(*api.Team)) error {
	all, err := s.Catalogue(s)
	if err != nil {
		return err
	}
	t, ok := find(all.Teams, func(t *api.Team) bool { return t.Name == name })
	if !ok {
		return notFound("team", name)
	}
	t.Version = s.baseVersionFor(version, t.Version)
	edit(t)
	return s.printChange(s.PutTeam(s, *t))
}

type entriesCommand struct {
	List   entriesListCommand   `cmd:"" default:"1" help:"List entries."`
	Add    entriesAddCommand    `cmd:"" help:"Add an entry."`
	Change entriesChangeCommand `cmd:"" help:"Change what is given; the rest stays."`
	Retire entriesRetireCommand `cmd:"" help:"Take no more work for an entry."`
}

type entriesListCommand struct{}

// Run prints the entries.
func (*entriesListCommand) Run(s *session) error {
	c, err := s.Catalogue(s)
	if err != nil {
		return err
	}
	rows := make([][]any, len(c.Entries))
	for i, e := range c.Entries {
		rows[i] = []any{e.Name, e.Owner, e.Class, e.Open, e.Idempotent, e.Maximum, e.Tasks, formatMemory(e.Body), e.Version, e.Retired}
	}
	return s.print(c.Entries, "NAME OWNER CLASS OPEN IDEMPOTENT MAXIMUM TASKS BODY VERSION RETIRED", rows)
}

type entryFlags struct {
	sizeFlags
	Open       *bool   `help:"Take work of every team." negatable:""`
	Idempotent *bool   `help:"Requests may be run more than once." negatable:""`
	Tasks      *int64  `help:"Limit on running tasks; 0 means none."`
	Body       *memory `help:"Largest request body; 0 means 1M."`
}

func (f entryFlags) apply(e *api.Entry) {
	f.sizeFlags.apply(&e.Maximum)
	setIfGiven(&e.Open, f.Open)
	setIfGiven(&e.Idempotent, f.Idempotent)
	setIfGiven(&e.Tasks, f.Tasks)
	setIfGiven(&e.Body, (*int64)(f.Body))
}

type entriesAddCommand struct {
	Name  string `arg:""`
	Owner string `required:"" help:"Team."`
	Class string `required:"" enum:"service,batch,gang" help:"service, batch or gang."`
	entryFlags
}

// Run adds the entry.
func (c *entriesAddCommand) Run(s *session) error {
	e := api.Entry{Name: c.Name, Owner: c.Owner, Class: c.Class}
	c.apply(&e)
	return s.printChange(s.PutEntry(s, e))
}

type entriesChangeCommand struct {
	Name    string  `arg:""`
	Version *uint64 `help:"Fail unless this is the current version."`
	Owner   *string `help:"Team."`
	entryFlags
}

// Run changes the entry.
func (c *entriesChangeCommand) Run(s *session) error {
	return changeEntry(s, c.Name, c.Version, func(e *api.Entry) {
		setIfGiven(&e.Owner, c.Owner)
		c.apply(e)
	})
}

type entriesRetireCommand struct {
	Name    string  `arg:""`
	Version *uint64 `help:"Fail unless this is the current version."`
}

// Run retires the entry.
func (c *entriesRetireCommand) Run(s *session) error {
	return changeEntry(s, c.Name, c.Version, func(e *api.Entry) { e.Retired = true })
}

func changeEntry(s *session, name string, version *uint64, edit func(*api.Entry)) error {
	all, err := s.Catalogue(s)
	if err != nil {
		return err
	}
	e, ok := find(all.Entries, func(e *api.Entry) bool { return e.Name == name })
	if !ok {
		return notFound("entry", name)
	}
	e.Version = s.baseVersionFor(version, e.Version)
	edit(e)
	return s.printChange(s.PutEntry(s, *e))
}

type keysCommand struct {
	List   keysListCommand   `cmd:"" default:"1" help:"List keys, without their secrets."`
	Add    keysAddCommand    `cmd:"" help:"Add a key and show its secret once."`
	Change keysChangeCommand `cmd:"" help:"Give a key a new secret and show it once. The former secret stops working."`
	Retire keysRetireCommand `cmd:"" aliases:"withdraw" help:"Withdraw a key. It stops working within seconds."`
}

type keysListCommand struct{}

// Run prints the keys.
func (*keysListCommand) Run(s *session) error {
	list, err := s.Keys(s)
	if err != nil {
		return err
	}
	rows := make([][]any, len(list))
	for i, k := range list {
		rows[i] = []any{k.Name, k.Role, k.Team, k.Version, k.Withdrawn}
	}
	return s.print(list, "NAME ROLE TEAM VERSION WITHDRAWN", rows)
}

type keysAddCommand struct {
	Name string `arg:""`
	Role string `required:"" enum:"caller,upstream,worker,operator" help:"caller, upstream, worker or operator."`
	Team string `help:"Team; not for operators, optional for workers."`
}

// Run adds the key.
func (c *keysAddCommand) Run(s *session) error {
	return s.printChange(s.PutKey(s, api.Key{Name: c.Name, Role: c.Role, Team: c.Team}))
}

type keysChangeCommand struct {
	Name    string  `arg:""`
	Version *uint64 `help:"Fail unless this is the current version."`
}

// Run replaces the secret of the key.
func (c *keysChangeCommand) Run(s *session) error { return changeKey(s, c.Name, c.Version, false) }

type keysRetireCommand struct {
	Name    string  `arg:""`
	Version *uint64 `help:"Fail unless this is the current version."`
}

// Run withdraws the key.
func (c *keysRetireCommand) Run(s *session) error { return changeKey(s, c.Name, c.Version, true) }

func changeKey(s *session, name string, version *uint64, withdraw bool) error {
	list, err := s.Keys(s)
	if err != nil {
		return err
	}
	k, ok := find(list, func(k *api.Key) bool { return k.Name == name })
	if !ok {
		return notFound("key", name)
	}
	k.Version, k.Withdrawn = s.baseVersionFor(version, k.Version), withdraw
	return s.printChange(s.PutKey(s, *k))
}
