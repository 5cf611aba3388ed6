package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// fakeGroup is a peer.Caller that simulates a control group.
type fakeGroup struct {
	mu          sync.Mutex
	leader      string // empty if there is none
	leaderHint  string // sent by replicas that do not lead
	down        map[string]error
	silent      map[string]bool // calls to it block until their context ends
	term        uint64
	version     uint64
	calls       []string
	sent        []time.Time
	renewals    []Renewal
	commits     int
	resent      []bool        // of each proposal
	loseAnswers int           // number of proposals to commit without an answer
	delay       time.Duration // duration of each call
}

func (g *fakeGroup) Call(ctx context.Context, to, method string, request, response any) error {
	time.Sleep(g.delay)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls = append(g.calls, to)
	if g.silent[to] {
		g.mu.Unlock()
		<-ctx.Done()
		g.mu.Lock()
		return errors.Mark(ctx.Err(), peer.ErrUnknown)
	}
	if err := g.down[to]; err != nil {
		return err
	}
	if to != g.leader {
		return &peer.RemoteError{Code: CodeNotLeader, Message: g.leaderHint}
	}
	switch method {
	case MethodRenew:
		g.renew(request.(*Renewal), response.(*Grant))
	case MethodPropose:
		g.commits++
		g.resent = append(g.resent, request.(*Proposal).Resent)
		if g.loseAnswers > 0 {
			g.loseAnswers--
			return peer.ErrUnknown
		}
		response.(*state.Result).Code = state.OK
	case MethodQuery:
		response.(*Answer).Found = true
	}
	return nil
}

func (g *fakeGroup) renew(r *Renewal, grant *Grant) {
	g.renewals = append(g.renewals, *r)
	g.sent = append(g.sent, time.Now())
	*grant = Grant{Term: g.term, Sequence: r.Sequence, Full: r.Term != g.term, Routes: 1}
	if r.Version < g.version {
		grant.Catalogue = catalogue(g.version)
	}
}

// renewalCount returns the number of renewals so far.
func (g *fakeGroup) renewalCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sent)
}

// catalogue returns a complete catalogue in which each object has the given
// version.
func catalogue(version uint64) Catalogue {
	return Catalogue{
		Version: version, Whole: true,
		Teams:   []work.Team{{Name: "t", Requests: int64(version), Version: version}},
		Entries: []work.Entry{{Name: "e", Owner: "t", Body: int64(version), Version: version}},
		Keys:    []work.Key{{Name: "k", Team: "t", Digest: sha256.Sum256([]byte("secret")), Version: version}},
	}
}

func newLink(t *testing.T, g *fakeGroup, modify func(*Options)) *Link {
	t.Helper()
	o := Options{Name: "entry-1", Peer: g, Candidates: []string{"c1", "c2", "c3"}}
	if modify != nil {
		modify(&o)
	}
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// withRunning runs f while the link's renewal loop is running.
func withRunning(t *testing.T, l *Link, f func()) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	f()
	stop()
	<-done
}

// Guards against a link that does not find the leader if replicas are down, do
// not respond, or name each other as the leader.
func TestFindLeader(t *testing.T) {
	for name, g := range map[string]*fakeGroup{
		"first":    {leader: "c1"},
		"hinted":   {leader: "c3", leaderHint: "c3"},
		"unhinted": {leader: "c3"},
		"loop":     {leader: "c3", leaderHint: "c1"},
		"unknown":  {leader: "c2", leaderHint: "stranger"},
		"down":     {leader: "c3", down: map[string]error{"c1": peer.ErrNotSent, "c2": peer.ErrUnknown}},
		"silent":   {leader: "c3", silent: map[string]bool{"c1": true, "c2": true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g.term, g.version = 1, 1
				l := newLink(t, g, nil)
				_, err := l.Entry("e")
				is.Equal(err, ErrStale) // before the first grant
				withRunning(t, l, func() {
					time.Sleep(1100 * time.Millisecond)
					_, err := l.Entry("e")
					is.NoErr(err)
				})
			})
		})
	}
}

// Guards against renewals that are too frequent or too infrequent.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &fakeGroup{leader: "c1", term: 1, version: 1}
		l := newLink(t, g, nil)
		withRunning(t, l, func() {
			time.Sleep(2*time.Second + time.Millisecond)
			is.Equal(g.renewalCount(), 11) // one every 200 ms
			for range 1000 {
				l.RequestRenewal()
				time.Sleep(time.Millisecond)
			}
			is.True(g.renewalCount() > 55)
			time.Sleep(time.Second)
		})
		for i := 1; i < len(g.sent); i++ {
			gap := g.sent[i].Sub(g.sent[i-1])
			is.True(gap >= RenewSpacing && gap <= RenewInterval)
		}
		before := len(g.calls)
		g.leader = "" // an election
		withRunning(t, l, func() { time.Sleep(time.Second) })
		is.True(len(g.calls)-before <= 51) // no busy loop
	})
}

// Guards against a view that is used after its deadline, which is counted from
// when the renewal was sent and not from when it was answered.
func TestViewDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &fakeGroup{leader: "c1", term: 1, version: 1, delay: 300 * time.Millisecond}
		l := newLink(t, g, nil)
		withRunning(t, l, func() {
			begin := time.Now()
			time.Sleep(310 * time.Millisecond) // the second renewal is in flight
			is.True(l.Deadline().Equal(begin.Add(GrantValidity)))
			g.mu.Lock()
			g.leader = ""
			g.mu.Unlock()
			time.Sleep(time.Until(l.Deadline()) - time.Millisecond)
			_, err := l.Key("secret")
			is.NoErr(err)
			time.Sleep(time.Millisecond)
			_, err = l.Key("secret")
			is.Equal(err, ErrStale)
			_, err = l.Team("t")
			is.Equal(err, ErrStale)
		})
		l.hooks.ignoreDeadline = true
		_, err := l.Key("secret")
		is.NoErr(err) // without the check the expired view is used
	})
}

// Guards against an entry VM that was suspended and serves from a view, with keys that
// were withdrawn meanwhile, although its steady clock has not moved.
func TestSuspendedViewExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended atomic.Int64
		g := &fakeGroup{leader: "c1", term: 1, version: 1}
		l := newLink(t, g, func(o *Options) {
			o.Now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
		})
		withRunning(t, l, func() {
			time.Sleep(time.Second)
			is.True(l.Valid())
			suspended.Store(int64(GrantValidity))
			is.True(!l.Valid())
			_, err := l.Key("secret")
			is.Equal(err, ErrStale)
			time.Sleep(time.Second) // renewed
			is.True(l.Valid())
		})
		o := Options{Name: "entry-1", Peer: g, Candidates: []string{"c1"}}
		is.NoErr(o.validate())
		is.Equal(reflect.ValueOf(o.Now).Pointer(), reflect.ValueOf(boottime.Now).Pointer())
	})
}

// Guards against grants that are applied out of order: those of an earlier term,
// for another renewal, or with an older catalogue (I10). With the check disabled
// each of them is applied.
func TestGrantOrder(t *testing.T) {
	is := is.New(t)
	for name, g := range map[string]Grant{
		"earlier term":      {Term: 4, Sequence: 7, Catalogue: catalogue(9)},
		"earlier renewal":   {Term: 5, Sequence: 6, Catalogue: catalogue(9)},
		"later renewal":     {Term: 5, Sequence: 8, Catalogue: catalogue(9)},
		"older catalogue":   {Term: 5, Sequence: 7, Catalogue: catalogue(2)},
		"older, new leader": {Term: 6, Sequence: 7, Catalogue: catalogue(2)},
	} {
		for _, off := range []bool{false, true} {
			teams := &fakeTeams{}
			l := newLink(t, &fakeGroup{}, func(o *Options) { o.Teams = teams })
			l.sequence, l.term = 7, 5
			l.view.apply(&Catalogue{Version: 3, Whole: true})
			l.hooks.ignoreOrder = off
			g.Teams = []TeamGrant{{Team: "t", Granted: 1}}
			applied := l.apply(&g, time.Now())
			t.Log(name, off, applied)
			is.Equal(applied, off)
			is.Equal(len(teams.grants) > 0, off)
			is.Equal(l.Deadline().IsZero(), !off)
			is.True(l.view.version.Load() >= 3) // never decreases
		}
	}
}

// fakeTeams records grants.
type fakeTeams struct{ grants []TeamGrant }

func (t *fakeTeams) Uses(into []TeamUse) []TeamUse { return into }
func (t *fakeTeams) Grant(g []TeamGrant, _ time.Time) {
	t.grants = append(t.grants, g...)
}

// Guards against catalogue changes that revert an object to an older version or
// leave a withdrawn or replaced key valid.
func TestView(t *testing.T) {
	is := is.New(t)
	v := newView()
	is.True(v.apply(&Catalogue{Version: 5, Whole: true,
		Entries: []work.Entry{{Name: "e", Body: 5, Version: 5}},
		Keys: []work.Key{
			{Name: "k", Digest: sha256.Sum256([]byte("old")), Version: 2},
			{Name: "w", Digest: sha256.Sum256([]byte("w")), Version: 3},
		}}))
	is.True(!v.apply(&Catalogue{Version: 4, Whole: true})) // older
	is.True(!v.apply(&Catalogue{Version: 5, Whole: true})) // the same
	is.True(v.apply(&Catalogue{Version: 7,
		Entries: []work.Entry{{Name: "e", Body: 4, Version: 4}}, // out of order
		Keys: []work.Key{
			{Name: "k", Digest: sha256.Sum256([]byte("new")), Version: 6},
			{Name: "w", Digest: sha256.Sum256([]byte("w")), Version: 7, Withdrawn: true},
		}}))
	e, ok := v.entry("e")
	is.True(ok)
	is.Equal(e.Body, int64(5))
	for secret, want := range map[string]bool{"old": false, "new": true, "w": false, "": false, "other": false} {
		_, ok := v.key(secret)
		is.Equal(ok, want)
	}
	is.True(v.apply(&Catalogue{Version: 8, Entries: []work.Entry{{Name: "e", Version: 8, Retired: true}}}))
	_, ok = v.entry("e")
	is.True(!ok)
}

// Guards against a list of runners that combines the changes of two leaders.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	r := &fakeRunners{}
	l := newLink(t, &fakeGroup{}, func(o *Options) { o.Runners = r })
	applyGrant := func(term, routes uint64, full bool) (uint64, uint64) {
		l.sequence++
		is.True(l.apply(&Grant{Term: term, Sequence: l.sequence, Routes: routes, Full: full, Runners: make([]Route, 1)}, time.Now()))
		next, _ := l.buildRenewal()
		return next.Term, next.Routes
	}
	term, routes := applyGrant(1, 4, false) // changes to a list that was never received
	is.Equal([]uint64{term, routes}, []uint64{0, 0})
	term, routes = applyGrant(1, 5, true)
	is.Equal([]uint64{term, routes}, []uint64{1, 5})
	_, routes = applyGrant(1, 6, false)
	is.Equal(routes, uint64(6))
	term, routes = applyGrant(2, 2, false) // changes of another leader
	is.Equal([]uint64{term, routes}, []uint64{0, 0})
	term, routes = applyGrant(2, 2, true)
	is.Equal([]uint64{term, routes}, []uint64{2, 2})
	is.Equal(r.full, []bool{true, false, true})
	next, _ := l.buildRenewal()
	is.Equal(len(next.Owned), 1)
	l.deadline.Store(0) // the view has expired: others may own the runners
	next, _ = l.buildRenewal()
	is.Equal(len(next.Owned), 0)
	is.Equal(next.Routes, uint64(0))
}

// fakeRunners records whether the lists of runners were complete.
type fakeRunners struct{ full []bool }

func (r *fakeRunners) Owned(into []OwnedRunner) []OwnedRunner { return append(into, OwnedRunner{}) }
func (r *fakeRunners) Routes(_ []Route, full bool)            { r.full = append(r.full, full) }

// Guards against an announcement that is lost with an unanswered renewal, or
// confirmed to its sender although no leader has received it.
func TestReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &fakeGroup{term: 1, version: 1}
		l := newLink(t, g, nil)
		withRunning(t, l, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			is.Equal(l.Report(ctx, RunnerReport{Runner: RunnerID{Name: "r0"}}), ErrNoLeader)
			time.AfterFunc(time.Second, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.leader = "c2"
			})
			is.NoErr(l.Report(context.Background(), RunnerReport{Runner: RunnerID{Name: "r1"}}))
		})
		n := 0
		for _, r := range g.renewals {
			for _, p := range r.Runners {
				is.Equal(p.Runner.Name, "r1") // the report of r0 timed out
				n++
			}
		}
		is.Equal(n, 1)
		is.Equal(len(l.pending), 0)
	})
}

// Guards against ErrNoLeader for a command that may have been committed, and
// against retries of a command that is not idempotent.
func TestPropose(t *testing.T) {
	anonymous := state.Command{Drain: &state.Drain{}}
	named := state.Command{Drain: &state.Drain{}, Request: "id"}
	for name, c := range map[string]struct {
		group   *fakeGroup
		command state.Command
		want    error
		commits int
	}{
		"leader":              {&fakeGroup{leader: "c1"}, anonymous, nil, 1},
		"other leader":        {&fakeGroup{leader: "c3", leaderHint: "c3"}, anonymous, nil, 1},
		"none":                {&fakeGroup{}, anonymous, ErrNoLeader, 0},
		"none named":          {&fakeGroup{}, named, ErrNoLeader, 0},
		"nobody there":        {&fakeGroup{down: map[string]error{"c1": peer.ErrNotSent, "c2": peer.ErrNotSent, "c3": peer.ErrNotSent}}, anonymous, ErrNoLeader, 0},
		"answer lost":         {&fakeGroup{leader: "c1", loseAnswers: 1}, anonymous, ErrUnknown, 1},
		"answer lost, named":  {&fakeGroup{leader: "c1", loseAnswers: 2}, named, nil, 3},
		"answers lost, named": {&fakeGroup{leader: "c1", loseAnswers: 1 << 20}, named, ErrUnknown, -1},
		"lost, then none":     {&fakeGroup{down: map[string]error{"c1": peer.ErrUnknown}}, named, ErrUnknown, 0},
		"silent":              {&fakeGroup{leader: "c1", silent: map[string]bool{"c1": true}}, anonymous, ErrUnknown, 0},
		"internal":            {&fakeGroup{down: map[string]error{"c1": &peer.RemoteError{Code: "internal"}}}, anonymous, ErrUnknown, 0},
		"settle":              {&fakeGroup{leader: "c1", loseAnswers: 1}, state.Command{Settle: &state.Settle{}}, nil, 2},
		"cancel":              {&fakeGroup{leader: "c1", loseAnswers: 1}, state.Command{Cancel: &state.Cancel{}}, nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newLink(t, c.group, nil)
				begin := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				result, err := l.Propose(ctx, c.command)
				if c.want == nil {
					is.NoErr(err)
					is.Equal(result.Code, state.OK)
				} else {
					is.True(errors.Is(err, c.want))
					is.True(errors.Is(err, ErrNoLeader) != errors.Is(err, ErrUnknown)) // exactly one
				}
				if c.commits >= 0 {
					is.Equal(c.group.commits, c.commits)
				}
				is.True(time.Since(begin) <= 5*time.Second)
				for i, resent := range c.group.resent {
					is.Equal(resent, i > 0)
				}
			})
		})
	}
}

// Guards against a query that blocks on an unresponsive replica.
func TestQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &fakeGroup{leader: "c2", silent: map[string]bool{"c1": true}}
		l := newLink(t, g, nil)
		a, err := l.Query(context.Background(), Query{Kind: QueryStatus})
		is.NoErr(err)
		is.True(a.Found)
		g.leader = ""
		_, err = l.Query(context.Background(), Query{Kind: QueryStatus})
		is.True(errors.Is(err, ErrNoLeader))
	})
}

// Guards against orders that stay lost with the answer to a renewal, and against polls that are
// repeated without a loss.
func TestPollsAreRepeatedAfterALostGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, w := &fakeGroup{leader: "c1"}, &fakeWorkers{}
		l := newLink(t, g, func(o *Options) { o.Workers = w })
		search := l.replicas.search()
		for _, lost := range []bool{false, false, true, false, false} {
			g.silent = map[string]bool{search.current: lost}
			if lost {
				is.True(!l.renew(context.Background(), search, time.Now()))
				is.Equal(w.repeats, 0)
			} else {
				for !l.renew(context.Background(), search, time.Now()) {
				}
			}
		}
		is.Equal(w.repeats, 1)
	})
}

// Guards against incomplete options being accepted.
func TestOptions(t *testing.T) {
	is := is.New(t)
	for _, o := range []Options{{}, {Name: "a"}, {Name: "a", Peer: &fakeGroup{}}} {
		_, err := New(o)
		is.True(err != nil)
	}
}

// fakeWorkers returns a fixed list of polls.
type fakeWorkers struct {
	reports []WorkerReport
	repeats int
}

func (w *fakeWorkers) Reports(into []WorkerReport) []WorkerReport { return append(into, w.reports...) }
func (w *fakeWorkers) Deliver([]WorkerOrders)                     {}
func (w *fakeWorkers) Repeat()                                    { w.repeats++ }

func BenchmarkRenewal(b *testing.B) {
	w := &fakeWorkers{}
	for i := range 7800 {
		w.reports = append(w.reports, WorkerReport{Worker: work.Worker{Name: fmt.Sprint("vm", i)}, Running: make([]work.Usage, 4)})
	}
	l, err := New(Options{Name: "a", Peer: &fakeGroup{}, Candidates: []string{"c"}, Workers: w})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.buildRenewal()
	}
}

func BenchmarkKey(b *testing.B) {
	v := newView()
	c := Catalogue{Version: 1, Whole: true}
	for i := range 2400 {
		c.Keys = append(c.Keys, work.Key{Name: fmt.Sprint("k", i), Digest: sha256.Sum256([]byte(fmt.Sprint("secret-of-a-usual-length-", i)))})
	}
	v.apply(&c)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, ok := v.key("secret-of-a-usual-length-77"); !ok {
				b.Error("the key is missing")
			}
		}
	})
}
