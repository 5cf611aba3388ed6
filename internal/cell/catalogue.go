package cell

import (
	"context"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Names of the catalogue entries and teams that Fill creates.
const (
	Service = "counter"  // service with idempotent requests
	Orders  = "orders"   // service with non-idempotent requests
	Batch   = "sorting"  // batch jobs of independent tasks
	Gang    = "celltest" // gang jobs, whose tasks all start at once
	Team    = "workshop" // team that owns all entries
	Other   = "laundry"  // team that owns no entry
)

// Keys holds the secrets of the keys that Fill creates.
type Keys struct {
	Caller   string // caller key of Team
	Stranger string // caller key of Other
	Upstream string
	Worker   string
}

// Fill creates the teams, entries and keys in an empty catalogue.
func (c *Cell) Fill(ctx context.Context) (Keys, error) {
	o := c.Operator()
	for _, t := range []api.Team{
		{Name: Team, Weight: 2, Requests: 64},
		{Name: Other, Weight: 1},
	} {
		if _, err := o.PutTeam(ctx, t); err != nil {
			return Keys{}, err
		}
	}
	for _, e := range []api.Entry{
		{Name: Service, Owner: Team, Class: "service", Idempotent: true},
		{Name: Orders, Owner: Team, Class: "service"},
		{Name: Batch, Owner: Team, Class: "batch"},
		{Name: Gang, Owner: Team, Class: "gang"},
	} {
		if _, err := o.PutEntry(ctx, e); err != nil {
			return Keys{}, err
		}
	}
	var k Keys
	for _, x := range []struct {
		key    api.Key
		secret *string
	}{
		{api.Key{Name: "clerk", Team: Team, Role: "caller"}, &k.Caller},
		{api.Key{Name: "stranger", Team: Other, Role: "caller"}, &k.Stranger},
		{api.Key{Name: "runners", Team: Team, Role: "upstream"}, &k.Upstream},
		{api.Key{Name: "pool", Role: "worker"}, &k.Worker},
	} {
		changed, err := o.PutKey(ctx, x.key)
		if err != nil {
			return Keys{}, err
		}
		*x.secret = changed.Secret
	}
	return k, nil
}
