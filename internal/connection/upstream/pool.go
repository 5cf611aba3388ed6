// Package upstream holds the runners that an entry VM owns, and the team
// allotments of the entry VM.
//
// One entry VM owns a runner at a time. Its Pool alone counts the runner's
// slots and connections for the whole fleet, so that a runner never gets more
// requests at once than it announced slots for.
//
// # Usage
//
//	pool := upstream.New(upstream.Options{Name: "entry-1", Zone: "nord"})
//	link, err := control.New(control.Options{Runners: pool, ...})
//	slot, err := pool.Acquire("counter") // ErrNone, ErrFull
//	defer slot.Release()
//	answer, err := slot.Send(&upstream.Request{...}) // ErrNotSent, ErrLate, ErrBroken, ErrMismatch
//
// A Slot is taken before anything is sent and released when the answer is
// there, also if that is after the request's deadline. Without an answer it
// stays taken until the runner reports fewer requests, or for the time of
// another request.
package upstream

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/shard"
)

const (
	// RequestTime is the longest deadline of a request.
	RequestTime = 30 * time.Second
	// DialTime bounds the opening of a connection to a runner.
	DialTime = time.Second
	// IdleTime is how long an unused connection is kept. It is below the idle
	// timeouts of common HTTP servers, so that a runner rarely closes a
	// connection just as a request is sent on it.
	IdleTime = 4 * time.Second
	// AnswerBytes is the largest answer of a runner, in bytes. With its headers
	// it has to fit the 16 MiB of a call between entry VMs.
	AnswerBytes = 8 << 20

	// avoidFirst and avoidMaximum bound the time for which a failing runner
	// gets nothing. It doubles with each failure in a row.
	avoidFirst   = 100 * time.Millisecond
	avoidMaximum = 10 * time.Second
	// leaveTime is how long a leave received here outweighs the leader's list
	// of runners, which may have been sent before the leader knew of the leave.
	leaveTime = 5 * time.Second
	// reportAge is the age from which a given-up request is certainly included
	// in the count of a runner that still handles it.
	reportAge = time.Second
)

// Errors of Acquire.
var (
	// ErrNone tells that this entry VM owns no runner of the catalogue entry.
	ErrNone = errors.New("no runner is owned")
	// ErrFull tells that no owned runner of the catalogue entry has a free slot.
	ErrFull = errors.New("no slot is free")
)

// Options configures a Pool.
type Options struct {
	Name string // of the entry VM
	Zone string // availability zone; runners in it are preferred
	Dial func(address string, timeout time.Duration) (net.Conn, error)
	Rand func(n int) int // uniform in [0, n)
	Now  func() time.Time
	Log  event.Log
}

// Pool holds the runners of the fleet and the slots of those that this entry
// VM owns. It implements control.Runners.
type Pool struct {
	options  Options
	services *shard.Map[string, *service]
	hooks    hooks
}

// hooks switch guards off in tests.
type hooks struct {
	ignoreSlots    bool // more requests than slots are sent
	ignoreIdentity bool // answers of other requests are accepted
	ignoreLength   bool // answers cut short are accepted
}

// service is what is known about one catalogue entry.
type service struct {
	mu      sync.Mutex
	runners map[string]*runner
	owned   []*runner
	owners  []Owner // other entry VMs
	known   bool    // a runner is announced, with an owner or without
}

// runner is one runner. Its fields are guarded by its service's lock.
type runner struct {
	id      control.RunnerID
	route   control.Route
	client  *client // nil unless owned now or before
	owned   bool
	used    int64     // requests in flight from here
	foreign int64     // requests of former owners that it may still handle
	until   time.Time // the last of those has ended by then
	lost    int64     // requests given up here that it may still handle
	lostAt  time.Time // when the last of those was given up
	left    time.Time // a leave was received here
	failed  int       // failures in a row
	avoid   time.Time // gets nothing before then
}

// Owner is another entry VM that owns runners of a catalogue entry.
type Owner struct {
	Name  string
	Near  bool // owns a runner in this availability zone
	Slots int64
}

// New returns an empty Pool.
func New(options Options) *Pool {
	if options.Dial == nil {
		options.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		}
	}
	if options.Rand == nil {
		options.Rand = rand.IntN
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Pool{options: options, services: shard.New[string, *service]()}
}

// service returns the service of a catalogue entry, which it adds if needed.
func (p *Pool) service(entry string) *service {
	var s *service
	p.services.With(entry, func(m map[string]*service) {
		if s = m[entry]; s == nil {
			s = &service{runners: make(map[string]*runner)}
			m[entry] = s
		}
	})
	return s
}

// Acquire takes a slot of an owned runner: of two runners picked at random
// the less loaded one (Mitzenmacher, "The power of two choices", 2001). Runners
// in this availability zone are preferred while one of them has a free slot.
func (p *Pool) Acquire(entry string) (*Slot, error) {
	s, ok := p.services.Get(entry)
	if !ok {
		return nil, ErrNone
	}
	now := p.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.owned) == 0 {
		return nil, ErrNone
	}
	r := p.choose(s.owned, now, true)
	if r == nil {
		r = p.choose(s.owned, now, false)
	}
	if r == nil {
		return nil, ErrFull
	}
	r.used++
	return &Slot{pool: p, service: s, runner: r, client: r.client}, nil
}

// choose returns the less loaded of two random runners with a free slot.
func (p *Pool) choose(owned []*runner, now time.Time, near bool) *runner {
	var pair [2]*runner
	free := 0
	for _, r := range owned {
		if near && r.route.Zone != p.options.Zone || !p.available(r, now) {
			continue
		}
		free++ // reservoir sampling of two
		if free <= 2 {
			pair[free-1] = r
		} else if i := p.options.Rand(free); i < 2 {
			pair[i] = r
		}
	}
	if free < 2 {
		return pair[0]
	}
	a, b := pair[0], pair[1]
	if b.taken(now)*a.capacity() < a.taken(now)*b.capacity() {
		return b
	}
	return a
}

// available reports whether the runner may get a new request.
func (p *Pool) available(r *runner, now time.Time) bool {
	if now.Before(r.avoid) || now.Before(r.left) {
		return false
	}
	return r.taken(now) < r.capacity() || p.hooks.ignoreSlots
}

// capacity is the number of requests that may be in flight at once.
func (r *runner) capacity() int64 { return min(r.route.Slots, r.route.Connections) }

// taken is the number of slots that are in use, or may be.
func (r *runner) taken(now time.Time) int64 {
	if r.foreign > 0 && !now.Before(r.until) {
		r.foreign = 0
	}
	if r.lost > 0 && now.Sub(r.lostAt) >= RequestTime {
		r.lost = 0
	}
	return r.used + r.foreign + r.lost
}

// Free returns the number of free slots of the owned runners.
func (p *Pool) Free(entry string) int64 {
	s, ok := p.services.Get(entry)
	if !ok {
		return 0
	}
	now := p.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, r := range s.owned {
		if p.available(r, now) {
			n += r.capacity() - r.taken(now)
		}
	}
	return n
}

// Owners appends the other entry VMs that own runners of the catalogue entry.
func (p *Pool) Owners(entry string, into []Owner) []Owner {
	s, ok := p.services.Get(entry)
	if !ok {
		return into
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(into, s.owners...)
}

// Known reports whether a runner of the catalogue entry is announced.
func (p *Pool) Known(entry string) bool {
	s, ok := p.services.Get(entry)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// Owned appends the runners that this entry VM owns and their taken slots.
func (p *Pool) Owned(into []control.OwnedRunner) []control.OwnedRunner {
	now := p.options.Now()
	p.services.Range(func(_ string, s *service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.owned {
			into = append(into, control.OwnedRunner{Runner: r.id, Used: r.taken(now) - r.foreign})
		}
		return true
	})
	return into
}

// HandedOver reports whether every runner has an owner other than this VM.
func (p *Pool) HandedOver() bool {
	over := true
	p.services.Range(func(_ string, s *service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.runners {
			if !r.route.Gone && (r.route.Owner == "" || r.route.Owner == p.options.Name) {
				over = false
			}
		}
		return over
	})
	return over
}

// Announced takes over the runner's own count of requests from an announcement
// that reached this entry VM.
func (p *Pool) Announced(report control.RunnerReport) {
	s, ok := p.services.Get(report.Runner.Entry)
	if !ok {
		return
	}
	now := p.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runners[report.Runner.Name]; r != nil && r.owned && r.route.Address == report.Address {
		r.reported(report.Busy, now)
	}
}

// Left stops new requests to a runner at once, ahead of the leader's list.
func (p *Pool) Left(id control.RunnerID) {
	s, ok := p.services.Get(id.Entry)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runners[id.Name]; r != nil {
		r.left = p.options.Now().Add(leaveTime)
	}
}

// reported lowers the requests that are not in flight from here to what the
// runner says it handles.
func (r *runner) reported(busy int64, now time.Time) {
	r.foreign = min(r.foreign, busy)
	if now.Sub(r.lostAt) >= reportAge {
		r.lost = min(r.lost, busy)
	}
}

// Routes takes over changes of the list of runners, or the whole list.
func (p *Pool) Routes(routes []control.Route, full bool) {
	if full {
		p.retain(routes)
	}
	changed := make(map[*service]bool)
	for i := range routes {
		s := p.service(routes[i].Runner.Entry)
		s.mu.Lock()
		p.route(s, &routes[i])
		s.mu.Unlock()
		changed[s] = true
	}
	for s := range changed {
		s.mu.Lock()
		p.index(s)
		s.mu.Unlock()
	}
}

// retain drops the runners that a whole list does not name.
func (p *Pool) retain(routes []control.Route) {
	keep := make(map[control.RunnerID]bool, len(routes))
	for i := range routes {
		keep[routes[i].Runner] = true
	}
	p.services.Range(func(_ string, s *service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.runners {
			if !keep[r.id] {
				p.release(r)
				r.route.Gone = true
			}
		}
		p.index(s)
		return true
	})
}

// route applies one route under the service's lock.
func (p *Pool) route(s *service, route *control.Route) {
	r := s.runners[route.Runner.Name]
	if r == nil {
		r = &runner{id: route.Runner}
		s.runners[route.Runner.Name] = r
	}
	moved := r.route.Address != route.Address
	r.route = *route
	switch owned := route.Owner == p.options.Name && !route.Gone; {
	case !owned:
		p.release(r)
	case !r.owned || moved:
		p.own(r, moved)
	default:
		r.reported(route.Busy, p.options.Now())
		r.client.resize(r.capacity())
	}
}

// own takes over the runner. What it handles besides the requests from here is
// left over from former owners.
func (p *Pool) own(r *runner, moved bool) {
	now := p.options.Now()
	r.owned = true
	r.foreign = max(0, r.route.Busy-r.used)
	r.until = now.Add(RequestTime)
	if moved || r.client == nil {
		if r.client != nil {
			r.client.close()
		}
		r.client = newClient(&p.options, r.route.Address.String(), r.capacity())
		r.failed, r.avoid, r.left = 0, time.Time{}, time.Time{}
	}
	r.client.resize(r.capacity())
	p.options.Log.Emit(event.RunnerOwned, zap.String("entry", r.id.Entry), zap.String("runner", r.id.Name),
		zap.Int64("slots", r.capacity()), zap.Int64("busy", r.foreign))
}

// release gives the runner up. Its requests in flight go on.
func (p *Pool) release(r *runner) {
	if !r.owned {
		return
	}
	r.owned = false
	r.client.close()
	p.options.Log.Emit(event.RunnerReleased, zap.String("entry", r.id.Entry), zap.String("runner", r.id.Name),
		zap.Bool("gone", r.route.Gone), zap.String("owner", r.route.Owner), zap.Int64("flight", r.used))
}

// index rebuilds the lists that requests are routed by, and forgets runners
// that are gone and have nothing in flight.
func (p *Pool) index(s *service) {
	s.owned = s.owned[:0]
	s.owners = s.owners[:0]
	s.known = false
	for _, name := range slices.Sorted(maps.Keys(s.runners)) {
		r := s.runners[name]
		s.known = s.known || !r.route.Gone
		switch {
		case r.route.Gone:
			if r.used == 0 {
				delete(s.runners, name)
			}
		case r.owned:
			s.owned = append(s.owned, r)
		case r.route.Owner != "" && r.route.Owner != p.options.Name:
			s.owners = addOwner(s.owners, r, p.options.Zone)
		}
	}
}

func addOwner(owners []Owner, r *runner, zone string) []Owner {
	for i := range owners {
		if owners[i].Name == r.route.Owner {
			owners[i].Slots += r.capacity()
			owners[i].Near = owners[i].Near || r.route.Zone == zone
			return owners
		}
	}
	return append(owners, Owner{Name: r.route.Owner, Near: r.route.Zone == zone, Slots: r.capacity()})
}
