// Package upstream holds the runners that an entry VM owns, and the team
// allotments of the entry VM.
//
// A runner is owned by one entry VM at a time. All requests to the runner go
// through the Pool of its owner, which counts them, so that a runner never gets
// more concurrent requests than the slots that it announced.
//
// # Usage
//
//	pool := upstream.New(upstream.Options{Name: "entry-1", Zone: "nord"})
//	link, err := control.New(control.Options{Runners: pool, ...})
//	slot, err := pool.Acquire("counter") // ErrNone, ErrFull
//	defer slot.Release()
//	answer, err := slot.Send(&upstream.Request{...}) // ErrNotSent, ErrTimeout, ErrIncomplete, ErrMismatch
//
// A Slot is acquired before a request is sent and released when the response has
// arrived, even if that is after the request's deadline. Without a response the
// slot stays in use until the runner reports fewer requests, or for RequestTimeout.
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
	// RequestTimeout is the maximum time that a request may take.
	RequestTimeout = 30 * time.Second
	// DialTimeout is the timeout for opening a connection to a runner.
	DialTimeout = time.Second
	// IdleTimeout is how long an idle connection is kept open. It is below the idle
	// timeouts of common HTTP servers, so that a runner rarely closes a
	// connection while a request is being sent on it.
	IdleTimeout = 4 * time.Second
	// MaxResponseBytes is the maximum size of a response body, in bytes. With its
	// headers it must fit into the 16 MiB of a call between entry VMs.
	MaxResponseBytes = 8 << 20

	// minBackoff and maxBackoff bound the time for which a failing runner gets
	// no requests. It doubles with each consecutive failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// leaveTime is how long a leave received by this entry VM overrides the
	// leader's list of runners, which may be older than the leave.
	leaveTime = 5 * time.Second
	// minReportAge is the age from which an abandoned request is certainly
	// included in the count reported by a runner that still handles it.
	minReportAge = time.Second
)

// Errors of Acquire.
var (
	// ErrNone means that this entry VM owns no runner of the catalogue entry.
	ErrNone = errors.New("no runner is owned")
	// ErrFull means that no owned runner of the catalogue entry has a free slot.
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

// Pool holds the list of all runners, and counts the slots of those that this
// entry VM owns. It implements control.Runners.
type Pool struct {
	options  Options
	services *shard.Map[string, *service]
	hooks    hooks
}

// hooks disable safety checks in tests.
type hooks struct {
	ignoreSlots    bool // send more requests than there are slots
	ignoreIdentity bool // accept responses to other requests
	ignoreLength   bool // accept truncated responses
}

// service holds the runners of one catalogue entry.
type service struct {
	mu      sync.Mutex
	runners map[string]*runner
	owned   []*runner
	owners  []Owner // other entry VMs that own runners of the entry
	known   bool    // at least one runner is announced, with or without an owner
}

// runner is the state of one runner. It is guarded by the lock of its service.
type runner struct {
	id             control.RunnerID
	route          control.Route
	client         *client // nil if the runner was never owned by this entry VM
	owned          bool
	used           int64     // requests in flight from this entry VM
	inherited      int64     // requests of former owners that may still be running
	inheritedUntil time.Time // all of those have ended by then
	abandoned      int64     // abandoned requests of this entry VM that may still be running
	abandonedAt    time.Time // when the last of those was abandoned
	leftUntil      time.Time // gets no requests until then, after a leave received by this entry VM
	failures       int       // consecutive failures
	avoidUntil     time.Time // gets no requests until then
}

// Owner is an entry VM other than this one that owns runners of a catalogue entry.
type Owner struct {
	Name     string
	SameZone bool // it owns a runner in the availability zone of this entry VM
	Slots    int64
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

// service returns the service of a catalogue entry and creates it if needed.
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

// Acquire reserves a slot of an owned runner. It picks two available runners at
// random and takes the less loaded one (Mitzenmacher, "The power of two choices",
// 2001). Runners in the availability zone of this entry VM are preferred as long
// as one of them has a free slot.
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

// choose returns the less loaded of two random runners with a free slot, or nil
// if there is none. With sameZone set, only runners in the availability zone of
// this entry VM are considered.
func (p *Pool) choose(owned []*runner, now time.Time, sameZone bool) *runner {
	var pair [2]*runner
	free := 0
	for _, r := range owned {
		if sameZone && r.route.Zone != p.options.Zone || !p.available(r, now) {
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
	if b.inUse(now)*a.capacity() < a.inUse(now)*b.capacity() {
		return b
	}
	return a
}

// available reports whether the runner may get a new request.
func (p *Pool) available(r *runner, now time.Time) bool {
	if now.Before(r.avoidUntil) || now.Before(r.leftUntil) {
		return false
	}
	return r.inUse(now) < r.capacity() || p.hooks.ignoreSlots
}

// capacity returns the maximum number of concurrent requests.
func (r *runner) capacity() int64 { return min(r.route.Slots, r.route.Connections) }

// inUse returns the number of slots that are or may be in use.
func (r *runner) inUse(now time.Time) int64 {
	if r.inherited > 0 && !now.Before(r.inheritedUntil) {
		r.inherited = 0
	}
	if r.abandoned > 0 && now.Sub(r.abandonedAt) >= RequestTimeout {
		r.abandoned = 0
	}
	return r.used + r.inherited + r.abandoned
}

// Free returns the number of free slots of the owned runners of a catalogue entry.
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
			n += r.capacity() - r.inUse(now)
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

// Owned appends the runners that this entry VM owns, with the number of slots
// that its own requests use.
func (p *Pool) Owned(into []control.OwnedRunner) []control.OwnedRunner {
	now := p.options.Now()
	p.services.Range(func(_ string, s *service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.owned {
			into = append(into, control.OwnedRunner{Runner: r.id, Used: r.inUse(now) - r.inherited})
		}
		return true
	})
	return into
}

// HandedOver reports whether every announced runner is owned by another entry VM.
func (p *Pool) HandedOver() bool {
	handedOver := true
	p.services.Range(func(_ string, s *service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.runners {
			if !r.route.Gone && (r.route.Owner == "" || r.route.Owner == p.options.Name) {
				handedOver = false
			}
		}
		return handedOver
	})
	return handedOver
}

// Announced updates an owned runner with the number of requests that it states
// in an announcement received by this entry VM.
func (p *Pool) Announced(report control.RunnerReport) {
	s, ok := p.services.Get(report.Runner.Entry)
	if !ok {
		return
	}
	now := p.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runners[report.Runner.Name]; r != nil && r.owned && r.route.Address == report.Address {
		r.applyBusyCount(report.Busy, now)
	}
}

// Left stops new requests to a runner immediately, before the leader's list of
// runners reflects the leave.
func (p *Pool) Left(id control.RunnerID) {
	s, ok := p.services.Get(id.Entry)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runners[id.Name]; r != nil {
		r.leftUntil = p.options.Now().Add(leaveTime)
	}
}

// applyBusyCount reduces the counts of inherited and abandoned requests to at
// most the number of requests that the runner reports.
func (r *runner) applyBusyCount(busy int64, now time.Time) {
	r.inherited = min(r.inherited, busy)
	if now.Sub(r.abandonedAt) >= minReportAge {
		r.abandoned = min(r.abandoned, busy)
	}
}

// Routes applies changes to the list of runners, or replaces it if full is set.
func (p *Pool) Routes(routes []control.Route, full bool) {
	if full {
		p.removeMissing(routes)
	}
	changed := make(map[*service]bool)
	for i := range routes {
		s := p.service(routes[i].Runner.Entry)
		s.mu.Lock()
		p.applyRoute(s, &routes[i])
		s.mu.Unlock()
		changed[s] = true
	}
	for s := range changed {
		s.mu.Lock()
		p.rebuildIndex(s)
		s.mu.Unlock()
	}
}

// removeMissing marks the runners that are missing from a complete list as gone.
func (p *Pool) removeMissing(routes []control.Route) {
	keep := make(map[control.RunnerID]bool, len(routes))
	for i := range routes {
		keep[routes[i].Runner] = true
	}
	p.services.Range(func(_ string, s *service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.runners {
			if !keep[r.id] {
				p.releaseOwnership(r)
				r.route.Gone = true
			}
		}
		p.rebuildIndex(s)
		return true
	})
}

// applyRoute applies one route. The caller holds the lock of the service.
func (p *Pool) applyRoute(s *service, route *control.Route) {
	r := s.runners[route.Runner.Name]
	if r == nil {
		r = &runner{id: route.Runner}
		s.runners[route.Runner.Name] = r
	}
	moved := r.route.Address != route.Address
	r.route = *route
	switch owned := route.Owner == p.options.Name && !route.Gone; {
	case !owned:
		p.releaseOwnership(r)
	case !r.owned || moved:
		p.takeOwnership(r, moved)
	default:
		r.applyBusyCount(route.Busy, p.options.Now())
		r.client.resize(r.capacity())
	}
}

// takeOwnership makes this entry VM the owner of the runner. Requests that the
// runner handles beyond those of this entry VM are inherited from former owners.
func (p *Pool) takeOwnership(r *runner, moved bool) {
	now := p.options.Now()
	r.owned = true
	r.inherited = max(0, r.route.Busy-r.used)
	r.inheritedUntil = now.Add(RequestTimeout)
	if moved || r.client == nil {
		if r.client != nil {
			r.client.close()
		}
		r.client = newClient(&p.options, r.route.Address.String(), r.capacity())
		r.failures, r.avoidUntil, r.leftUntil = 0, time.Time{}, time.Time{}
	}
	r.client.resize(r.capacity())
	p.options.Log.Emit(event.RunnerOwned, zap.String("entry", r.id.Entry), zap.String("runner", r.id.Name),
		zap.Int64("slots", r.capacity()), zap.Int64("busy", r.inherited))
}

// releaseOwnership gives up the ownership of the runner. Requests in flight
// continue.
func (p *Pool) releaseOwnership(r *runner) {
	if !r.owned {
		return
	}
	r.owned = false
	r.client.close()
	p.options.Log.Emit(event.RunnerReleased, zap.String("entry", r.id.Entry), zap.String("runner", r.id.Name),
		zap.Bool("gone", r.route.Gone), zap.String("owner", r.route.Owner), zap.Int64("flight", r.used))
}

// rebuildIndex rebuilds the lists used for routing, and deletes runners that are
// gone and have no requests in flight. The caller holds the lock of the service.
func (p *Pool) rebuildIndex(s *service) {
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

// addOwner adds the slots of a runner to its owner in the list.
func addOwner(owners []Owner, r *runner, zone string) []Owner {
	for i := range owners {
		if owners[i].Name == r.route.Owner {
			owners[i].Slots += r.capacity()
			owners[i].SameZone = owners[i].SameZone || r.route.Zone == zone
			return owners
		}
	}
	return append(owners, Owner{Name: r.route.Owner, SameZone: r.route.Zone == zone, Slots: r.capacity()})
}
