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

// Link connects an entry VM with the leader. It implements Leader and Directory.
type Link struct {
	options          Options
	replicas         *replicas
	view             *view
	start            time.Time
	deadline         atomic.Int64 // end of the validity of the view, in nanoseconds after start; zero before the first grant
	draining         atomic.Bool
	renewalRequested chan struct{}
	hooks            hooks

	// The fields below are used only by the renewal loop.
	sequence    uint64
	answered    uint64 // sequence of the last renewal whose grant was applied
	term        uint64 // of the last grant applied
	routes      routesVersion
	renewal     Renewal // its slices are reused
	staleLogged bool    // LinkStale was logged since the view expired

	mu      sync.Mutex
	pending []pendingReport // announcements and leaves not yet answered by a grant
}

// hooks disable safety checks in tests.
type hooks struct {
	ignoreDeadline bool // the view never expires
	ignoreOrder    bool // grants are applied in any order
}

// routesVersion identifies the current list of runners. Versions of different
// leaders cannot be compared.
type routesVersion struct{ term, version uint64 }

// pendingReport is an announcement or leave of a runner that no grant has
// answered yet.
type pendingReport struct {
	report RunnerReport
	done   chan struct{} // closed when a grant answers the report
}

// New returns a Link. It has no valid view until Run renews the session.
func New(options Options) (*Link, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	l := &Link{
		options:          options,
		replicas:         &replicas{names: options.Candidates},
		view:             newView(),
		start:            options.Now(),
		renewalRequested: make(chan struct{}, 1),
	}
	return l, nil
}

// RequestRenewal requests a renewal as soon as RenewSpacing allows.
func (l *Link) RequestRenewal() {
	select {
	case l.renewalRequested <- struct{}{}:
	default:
	}
}

// Drain reports to the leader that the entry VM is shutting down, so that its
// runners are assigned to other owners.
func (l *Link) Drain() {
	l.draining.Store(true)
	l.RequestRenewal()
}

// Report sends an announcement or leave of a runner to the leader and waits for
// the grant that answers it. It fails with ErrNoLeader if ctx ends first.
func (l *Link) Report(ctx context.Context, r RunnerReport) error {
	p := pendingReport{report: r, done: make(chan struct{})}
	l.mu.Lock()
	l.pending = append(l.pending, p)
	l.mu.Unlock()
	l.RequestRenewal()
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		l.removePending(p)
		return ErrNoLeader
	}
}

// removePending removes a report that was answered or whose sender gave up.
func (l *Link) removePending(p pendingReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.pending {
		if l.pending[i].done == p.done {
			l.pending = append(l.pending[:i], l.pending[i+1:]...)
			return
		}
	}
}

// Run renews the session until ctx is done.
func (l *Link) Run(ctx context.Context) error {
	search := l.replicas.search()
	for ctx.Err() == nil {
		sent := l.options.Now()
		failed := !l.renew(ctx, search, sent)
		l.logStale()
		l.waitForNext(ctx, sent, failed)
	}
	return nil
}

// waitForNext waits until the next renewal is due. After a failure the next
// replica is tried as soon as RenewSpacing allows.
func (l *Link) waitForNext(ctx context.Context, sent time.Time, failed bool) {
	since := l.options.Now().Sub(sent)
	sleep(ctx, RenewSpacing-since)
	if failed {
		return
	}
	timer := time.NewTimer(RenewInterval - max(since, RenewSpacing))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.renewalRequested:
	case <-ctx.Done():
	}
}

// renew sends one renewal and applies the grant. It reports whether a grant
// was applied.
func (l *Link) renew(ctx context.Context, search *search, sent time.Time) bool {
	select {
	case <-l.renewalRequested: // this renewal serves the pending request as well
	default:
	}
	renewal, included := l.buildRenewal()
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var grant Grant
	if err := l.options.Peer.Call(call, search.current, MethodRenew, renewal, &grant); err != nil {
		l.renewal = Renewal{} // an abandoned call may still read the slices
		hint, _ := parseRefusal(err)
		if lost := search.current; search.failed(hint) {
			l.options.Log.Emit(event.LinkLost, zap.String("leader", lost), zap.Error(err))
		}
		return false
	}
	if !l.apply(&grant, sent) {
		search.failed("")
		return false
	}
	if search.succeeded() {
		l.options.Log.Emit(event.LinkLeader, zap.String("leader", search.current), zap.Uint64("term", grant.Term))
	}
	l.acknowledge(included)
	return true
}

// buildRenewal returns the next renewal and the reports included in it.
func (l *Link) buildRenewal() (*Renewal, []pendingReport) {
	l.sequence++
	expired := l.checkDeadline() != nil
	if expired {
		l.routes = routesVersion{} // the runners may have been assigned to other owners
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
	for _, p := range l.pending {
		r.Runners = append(r.Runners, p.report)
	}
	return r, append([]pendingReport(nil), l.pending...)
}

// acknowledge notifies the senders of the reports that the leader has received
// them.
func (l *Link) acknowledge(included []pendingReport) {
	for _, p := range included {
		close(p.done)
		l.removePending(p)
	}
}

// apply applies a grant unless it is out of order. It reports whether the grant
// was applied.
func (l *Link) apply(g *Grant, sent time.Time) bool {
	if !l.hooks.ignoreOrder && !l.inOrder(g) {
		l.options.Log.Emit(event.LinkBackward, zap.Uint64("term", g.Term), zap.Uint64("sequence", g.Sequence),
			zap.Uint64("catalogue", g.Catalogue.Version))
		return false
	}
	l.term = g.Term
	if l.view.apply(&g.Catalogue) {
		l.options.Log.Emit(event.LinkCatalogue, zap.Uint64("version", g.Catalogue.Version))
	}
	deadline := sent.Add(GrantValidity)
	if l.options.Teams != nil {
		l.options.Teams.Grant(g.Teams, deadline)
	}
	l.applyRoutes(g)
	l.deadline.Store(int64(deadline.Sub(l.start)))
	if l.options.Workers != nil {
		l.options.Workers.Deliver(g.Workers)
		if l.sequence > l.answered+1 {
			l.options.Workers.Repeat()
		}
	}
	l.answered = l.sequence
	return true
}

// inOrder reports whether a grant answers the latest renewal, is not from an
// earlier term, and is not from a replica whose catalogue is older than the
// view. A grant for an earlier renewal could raise an allotment that the leader
// has given to another entry VM after reading the later renewal.
func (l *Link) inOrder(g *Grant) bool {
	c := &g.Catalogue
	empty := c.Version == 0 && !c.Whole && len(c.Teams)+len(c.Entries)+len(c.Keys) == 0
	return g.Sequence == l.sequence && g.Term >= l.term && (empty || c.Version >= l.view.version.Load())
}

// applyRoutes applies the list of runners in a grant. Changes can only be applied
// to a list of the same leader.
func (l *Link) applyRoutes(g *Grant) {
	if !g.Full && g.Term != l.routes.term {
		l.routes = routesVersion{}
		return
	}
	l.routes = routesVersion{term: g.Term, version: g.Routes}
	if l.options.Runners != nil && (g.Full || len(g.Runners) > 0) {
		l.options.Runners.Routes(g.Runners, g.Full)
	}
}

// logStale logs once when the view has expired.
func (l *Link) logStale() {
	stale := l.deadline.Load() != 0 && l.checkDeadline() != nil
	if stale && !l.staleLogged {
		l.options.Log.Emit(event.LinkStale, zap.Duration("since", l.options.Now().Sub(l.Deadline())))
	}
	l.staleLogged = stale
}

// checkDeadline returns ErrStale if the deadline of the view has passed.
func (l *Link) checkDeadline() error {
	if l.hooks.ignoreDeadline {
		return nil
	}
	if int64(l.options.Now().Sub(l.start)) >= l.deadline.Load() {
		return ErrStale
	}
	return nil
}

// Valid implements Directory.
func (l *Link) Valid() bool { return l.checkDeadline() == nil }

// Deadline returns the time until which the view is valid by Options.Now, or the zero
// time before the first grant.
func (l *Link) Deadline() time.Time {
	d := l.deadline.Load()
	if d == 0 {
		return time.Time{}
	}
	return l.start.Add(time.Duration(d))
}

// Key returns the key with the given secret.
func (l *Link) Key(secret string) (work.Key, error) {
	return lookup(l, secret, l.view.key)
}

// Entry returns the catalogue entry with the given name.
func (l *Link) Entry(name string) (work.Entry, error) {
	return lookup(l, name, l.view.entry)
}

// Team returns the team with the given name.
func (l *Link) Team(name string) (work.Team, error) {
	return lookup(l, name, l.view.team)
}

// lookup returns an object of the view if the view is still valid.
func lookup[V any](l *Link, name string, find func(string) (V, bool)) (V, error) {
	var none V
	if err := l.checkDeadline(); err != nil {
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
