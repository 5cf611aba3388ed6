package cell

import (
	"context"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Entries of the catalogue that Fill makes.
const (
	Service = "counter"  // idempotent requests
	Orders  = "orders"   // non-idempotent requests
	Batch   = "sorting"  // independent tasks
	Gang    = "celltest" // tasks that start all at once
	Team    = "workshop" // owner of all entries
	Other   = "laundry"  // a team that owns nothing
)

// Keys are the secrets that Fill makes.
type Keys struct {
	Caller   string // of Team
	Stranger string // caller key of Other
	Upstream string
	Worker   string
}

// Fill adds teams, entries and keys to an empty catalogue.
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
