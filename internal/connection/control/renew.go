package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Link is an entry VM's link to the leader. It implements Leader and Directory.
type Link struct {
	options  Options
	replicas *replicas
	view     *view
	start    time.Time
	deadline atomic.Int64 // of the view, in nanoseconds after start; zero before the first grant
	draining atomic.Bool
	kick     chan struct{}
	hooks    hooks

	// The fields below belong to the renew loop.
	sequence uint64
	term     uint64 // of the last grant applied
	routes   listed
	renewal  Renewal // its slices are reused
	stale    bool    // LinkStale was logged for the current gap

	mu      sync.Mutex
	reports []report // announcements and leaves that no grant has answered
}

// hooks switch guards off in tests.
type hooks struct {
	ignoreDeadline bool // the view never expires
	ignoreOrder    bool // grants are applied in any order
}

// listed is the version of the list of runners held. Versions of different
// leaders cannot be compared.
type listed struct{ term, version uint64 }

// report is a runner's announcement or leave on its way to the leader.
type report struct {
	report RunnerReport
	done   chan struct{} // closed once a grant answered it
}

// New returns a Link. Run must be called for it to have a view.
func New(options Options) (*Link, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	l := &Link{
		options:  options,
		replicas: &replicas{names: options.Candidates},
		view:     newView(),
		start:    options.Now(),
		kick:     make(chan struct{}, 1),
	}
	return l, nil
}

// Kick asks for a renewal as soon as RenewSpacing allows.
func (l *Link) Kick() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Drain tells the leader that the entry VM is shutting down, so that its
// runners get other owners.
func (l *Link) Drain() {
	l.draining.Store(true)
	l.Kick()
}

// Report hands a runner's announcement or leave to the leader and waits until
// a grant has answered it. It fails with ErrNoLeader when ctx ends before.
func (l *Link) Report(ctx context.Context, r RunnerReport) error {
	p := report{report: r, done: make(chan struct{})}
	l.mu.Lock()
	l.reports = append(l.reports, p)
	l.mu.Unlock()
	l.Kick()
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		l.drop(p)
		return ErrNoLeader
	}
}

// drop forgets a report whose sender has given up.
func (l *Link) drop(p report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.reports {
		if l.reports[i].done == p.done {
			l.reports = append(l.reports[:i], l.reports[i+1:]...)
			return
		}
	}
}

// Run renews the session until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	search := l.replicas.search()
	for ctx.Err() == nil {
		sent := l.options.Now()
		failed := !l.renew(ctx, search, sent)
		l.logStale()
		l.pause(ctx, sent, failed)
	}
	return nil
}

// pause waits for the time of the next renewal. After a failure the next
// replica is tried as soon as the spacing allows.
func (l *Link) pause(ctx context.Context, sent time.Time, failed bool) {
	since := l.options.Now().Sub(sent)
	sleep(ctx, RenewSpacing-since)
	if failed {
		return
	}
	timer := time.NewTimer(RenewInterval - max(since, RenewSpacing))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.kick:
	case <-ctx.Done():
	}
}

// renew sends one renewal and applies the grant. It reports whether a grant
// was applied.
func (l *Link) renew(ctx context.Context, search *search, sent time.Time) bool {
	select {
	case <-l.kick: // what asked for it goes into this renewal
	default:
	}
	renewal, carried := l.build()
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var grant Grant
	if err := l.options.Peer.Call(call, search.current, MethodRenew, renewal, &grant); err != nil {
		l.renewal = Renewal{} // a call given up may still read the slices
		hint, _ := notLeader(err)
		if lost := search.current; search.failed(hint) {
			l.options.Log.Emit(event.LinkLost, zap.String("leader", lost), zap.Error(err))
		}
		return false
	}
	if !l.apply(&grant, sent) {
		search.failed("")
		return false
	}
	if search.found() {
		l.options.Log.Emit(event.LinkLeader, zap.String("leader", search.current), zap.Uint64("term", grant.Term))
	}
	l.answered(carried)
	return true
}

// build returns the next renewal and the reports that it carries.
func (l *Link) build() (*Renewal, []report) {
	l.sequence++
	expired := l.fresh() != nil
	if expired {
		l.routes = listed{} // the runners may have other owners by now
	}
	r := &l.renewal
	*r = Renewal{
		Entry: l.options.Name, Boot: l.options.Boot, Sequence: l.sequence,
		Peer: l.options.Address, Zone: l.options.Zone, Draining: l.draining.Load(),
		Version: l.view.version.Load(), Term: l.routes.term, Routes: l.routes.version,
		Teams: r.Teams[:0], Owned: r.Owned[:0], Runners: r.Runners[:0], Workers: r.Workers[:0],
	}
	if l.options.Teams != nil {
		r.Teams = l.options.Teams.Uses(r.Teams)
	}
	if l.options.Runners != nil && !expired {
		r.Owned = l.options.Runners.Owned(r.Owned)
	}
	if l.options.Workers != nil {
		r.Workers = l.options.Workers.Reports(r.Workers)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.reports {
		r.Runners = append(r.Runners, p.report)
	}
	return r, append([]report(nil), l.reports...)
}

// answered tells the senders of reports that the leader has them.
func (l *Link) answered(carried []report) {
	for _, p := range carried {
		close(p.done)
		l.drop(p)
	}
}

// apply takes over a grant unless it is out of order, and reports whether it did.
func (l *Link) apply(g *Grant, sent time.Time) bool {
	if !l.hooks.ignoreOrder && !l.ordered(g) {
		l.options.Log.Emit(event.LinkBackward, zap.Uint64("term", g.Term), zap.Uint64("sequence", g.Sequence),
			zap.Uint64("catalogue", g.Catalogue.Version))
		return false
	}
	l.term = g.Term
	if l.view.apply(&g.Catalogue) {
		l.options.Log.Emit(event.LinkCatalogue, zap.Uint64("version", g.Catalogue.Version))
	}
	deadline := sent.Add(ViewTime)
	if l.options.Teams != nil {
		l.options.Teams.Grant(g.Teams, deadline)
	}
	l.applyRoutes(g)
	l.deadline.Store(int64(deadline.Sub(l.start)))
	if l.options.Workers != nil {
		l.options.Workers.Deliver(g.Workers)
	}
	return true
}

// ordered reports whether a grant answers the latest renewal and is not from
// an earlier term or from a replica that misses catalogue changes known here.
// A grant to an earlier renewal could raise an allotment that the leader has
// given to others after it read the later one.
func (l *Link) ordered(g *Grant) bool {
	c := &g.Catalogue
	empty := c.Version == 0 && !c.Whole && len(c.Teams)+len(c.Entries)+len(c.Keys) == 0
	return g.Sequence == l.sequence && g.Term >= l.term && (empty || c.Version >= l.view.version.Load())
}

// applyRoutes takes over the list of runners. Changes are of use only on top
// of the same leader's list.
func (l *Link) applyRoutes(g *Grant) {
	if !g.Full && g.Term != l.routes.term {
		l.routes = listed{}
		return
	}
	l.routes = listed{term: g.Term, version: g.Routes}
	if l.options.Runners != nil && (g.Full || len(g.Runners) > 0) {
		l.options.Runners.Routes(g.Runners, g.Full)
	}
}

// logStale logs the end of the view's validity once per gap.
func (l *Link) logStale() {
	stale := l.deadline.Load() != 0 && l.fresh() != nil
	if stale && !l.stale {
		l.options.Log.Emit(event.LinkStale, zap.Time("deadline", l.Deadline()))
	}
	l.stale = stale
}

// fresh returns ErrStale once the view's deadline has passed.
func (l *Link) fresh() error {
	if l.hooks.ignoreDeadline {
		return nil
	}
	if int64(l.options.Now().Sub(l.start)) >= l.deadline.Load() {
		return ErrStale
	}
	return nil
}

// Deadline returns the time until which the view is valid. It is the zero time
// before the first grant.
func (l *Link) Deadline() time.Time {
	d := l.deadline.Load()
	if d == 0 {
		return time.Time{}
	}
	return l.start.Add(time.Duration(d))
}

// Key returns the key with the given secret.
func (l *Link) Key(secret string) (work.Key, error) {
	return look(l, secret, l.view.key)
}

// Entry returns the catalogue entry with the given name.
func (l *Link) Entry(name string) (work.Entry, error) {
	return look(l, name, l.view.entry)
}

// Team returns the team with the given name.
func (l *Link) Team(name string) (work.Team, error) {
	return look(l, name, l.view.team)
}

// look looks an object up in the view while it is fresh.
func look[V any](l *Link, name string, find func(string) (V, bool)) (V, error) {
	var none V
	if err := l.fresh(); err != nil {
		return none, err
	}
	v, ok := find(name)
	if !ok {
		return none, ErrNotFound
	}
	return v, nil
}

var (
	_ Leader    = (*Link)(nil)
	_ Directory = (*Link)(nil)
)
