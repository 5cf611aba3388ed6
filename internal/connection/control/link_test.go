package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// group is a control group of fakes behind a peer.Caller.
type group struct {
	mu       sync.Mutex
	leader   string // empty while there is none
	hint     string // what the others say
	down     map[string]error
	silent   map[string]bool // calls hang until their context ends
	term     uint64
	version  uint64
	calls    []string
	sent     []time.Time
	renewals []Renewal
	commits  int
	lose     int           // answers to proposals that are lost after the commit
	delay    time.Duration // of each call
}

func (g *group) Call(ctx context.Context, to, method string, request, response any) error {
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
		return &peer.Remote{Code: CodeNotLeader, Message: g.hint}
	}
	switch method {
	case MethodRenew:
		g.renew(request.(*Renewal), response.(*Grant))
	case MethodPropose:
		g.commits++
		if g.lose > 0 {
			g.lose--
			return peer.ErrUnknown
		}
		response.(*state.Result).Code = state.OK
	case MethodQuery:
		response.(*Answer).Found = true
	}
	return nil
}

func (g *group) renew(r *Renewal, grant *Grant) {
	g.renewals = append(g.renewals, *r)
	g.sent = append(g.sent, time.Now())
	*grant = Grant{Term: g.term, Sequence: r.Sequence, Full: r.Term != g.term, Routes: 1}
	if r.Version < g.version {
		grant.Catalogue = catalogue(g.version)
	}
}

// renewed returns the number of renewals so far.
func (g *group) renewed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sent)
}

// catalogue is a whole catalogue in which everything has the given version.
func catalogue(version uint64) Catalogue {
	return Catalogue{
		Version: version, Whole: true,
		Teams:   []work.Team{{Name: "t", Requests: int64(version), Version: version}},
		Entries: []work.Entry{{Name: "e", Owner: "t", Body: int64(version), Version: version}},
		Keys:    []work.Key{{Name: "k", Team: "t", Digest: sha256.Sum256([]byte("secret")), Version: version}},
	}
}

func newLink(t *testing.T, g *group, change func(*Options)) *Link {
	t.Helper()
	o := Options{Name: "entry-1", Peer: g, Candidates: []string{"c1", "c2", "c3"}}
	if change != nil {
		change(&o)
	}
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// running runs f beside the link's renew loop.
func running(t *testing.T, l *Link, f func()) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	f()
	stop()
	<-done
}

// Guards against a link that does not find the leader behind replicas that are
// down, silent, or take each other for the leader.
func TestFindLeader(t *testing.T) {
	for name, g := range map[string]*group{
		"first":    {leader: "c1"},
		"hinted":   {leader: "c3", hint: "c3"},
		"unhinted": {leader: "c3"},
		"loop":     {leader: "c3", hint: "c1"},
		"unknown":  {leader: "c2", hint: "stranger"},
		"down":     {leader: "c3", down: map[string]error{"c1": peer.ErrNotSent, "c2": peer.ErrUnknown}},
		"silent":   {leader: "c3", silent: map[string]bool{"c1": true, "c2": true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g.term, g.version = 1, 1
				l := newLink(t, g, nil)
				_, err := l.Entry("e")
				is.Equal(err, ErrStale) // nothing was granted yet
				running(t, l, func() {
					time.Sleep(1100 * time.Millisecond)
					_, err := l.Entry("e")
					is.NoErr(err)
				})
			})
		})
	}
}

// Guards against renewals that are too frequent or too rare.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &group{leader: "c1", term: 1, version: 1}
		l := newLink(t, g, nil)
		running(t, l, func() {
			time.Sleep(2*time.Second + time.Millisecond)
			is.Equal(g.renewed(), 11) // one each 200 ms
			for range 1000 {
				l.Kick()
				time.Sleep(time.Millisecond)
			}
			is.True(g.renewed() > 55)
			time.Sleep(time.Second)
		})
		for i := 1; i < len(g.sent); i++ {
			gap := g.sent[i].Sub(g.sent[i-1])
			is.True(gap >= RenewSpacing && gap <= RenewInterval)
		}
		before := len(g.calls)
		g.leader = "" // an election
		running(t, l, func() { time.Sleep(time.Second) })
		is.True(len(g.calls)-before <= 51) // not in a busy loop
	})
}

// Guards against a view that outlives its deadline, which counts from the
// sending of the renewal and not from its answer.
func TestViewDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &group{leader: "c1", term: 1, version: 1, delay: 300 * time.Millisecond}
		l := newLink(t, g, nil)
		running(t, l, func() {
			begin := time.Now()
			time.Sleep(310 * time.Millisecond) // the second renewal is on its way
			is.True(l.Deadline().Equal(begin.Add(ViewTime)))
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
		is.NoErr(err) // the guard is what refuses it
	})
}

// Guards against grants that are applied out of order: of an earlier term, to
// an earlier renewal, or with an older catalogue (I10). Without the guard each
// of them is applied.
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
			teams := &teams{}
			l := newLink(t, &group{}, func(o *Options) { o.Teams = teams })
			l.sequence, l.term = 7, 5
			l.view.apply(&Catalogue{Version: 3, Whole: true})
			l.hooks.ignoreOrder = off
			g.Teams = []TeamGrant{{Team: "t", Granted: 1}}
			applied := l.apply(&g, time.Now())
			t.Log(name, off, applied)
			is.Equal(applied, off)
			is.Equal(len(teams.grants) > 0, off)
			is.Equal(l.Deadline().IsZero(), !off)
			is.True(l.view.version.Load() >= 3) // never backwards
		}
	}
}

// teams records grants.
type teams struct{ grants []TeamGrant }

func (t *teams) Uses(into []TeamUse) []TeamUse { return into }
func (t *teams) Grant(g []TeamGrant, _ time.Time) {
	t.grants = append(t.grants, g...)
}

// Guards against changes of the catalogue that revert an object or leave a
// withdrawn or replaced key usable.
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

// Guards against a list of runners that mixes two leaders' versions.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	r := &runners{}
	l := newLink(t, &group{}, func(o *Options) { o.Runners = r })
	step := func(term, routes uint64, full bool) (uint64, uint64) {
		l.sequence++
		is.True(l.apply(&Grant{Term: term, Sequence: l.sequence, Routes: routes, Full: full, Runners: make([]Route, 1)}, time.Now()))
		next, _ := l.build()
		return next.Term, next.Routes
	}
	term, routes := step(1, 4, false) // changes on top of a list that is not held
	is.Equal([]uint64{term, routes}, []uint64{0, 0})
	term, routes = step(1, 5, true)
	is.Equal([]uint64{term, routes}, []uint64{1, 5})
	_, routes = step(1, 6, false)
	is.Equal(routes, uint64(6))
	term, routes = step(2, 2, false) // another leader's changes
	is.Equal([]uint64{term, routes}, []uint64{0, 0})
	term, routes = step(2, 2, true)
	is.Equal([]uint64{term, routes}, []uint64{2, 2})
	is.Equal(r.full, []bool{true, false, true})
	next, _ := l.build()
	is.Equal(len(next.Owned), 1)
	l.deadline.Store(0) // the view has expired: others may own the runners
	next, _ = l.build()
	is.Equal(len(next.Owned), 0)
	is.Equal(next.Routes, uint64(0))
}

// runners records lists of runners.
type runners struct{ full []bool }

func (r *runners) Owned(into []OwnedRunner) []OwnedRunner { return append(into, OwnedRunner{}) }
func (r *runners) Routes(_ []Route, full bool)            { r.full = append(r.full, full) }

// Guards against an announcement that is lost with an unanswered renewal, or
// told as passed on while no leader has it.
func TestReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &group{term: 1, version: 1}
		l := newLink(t, g, nil)
		running(t, l, func() {
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
				is.Equal(p.Runner.Name, "r1") // r0 was given up
				n++
			}
		}
		is.Equal(n, 1)
		is.Equal(len(l.reports), 0)
	})
}

// Guards against ErrNoLeader for a command that may have been committed, and
// against a second copy of a command that the state machine would apply again.
func TestPropose(t *testing.T) {
	plain := state.Command{Drain: &state.Drain{}}
	named := state.Command{Drain: &state.Drain{}, Request: "id"}
	for name, c := range map[string]struct {
		group   *group
		command state.Command
		want    error
		commits int
	}{
		"leader":              {&group{leader: "c1"}, plain, nil, 1},
		"other leader":        {&group{leader: "c3", hint: "c3"}, plain, nil, 1},
		"none":                {&group{}, plain, ErrNoLeader, 0},
		"none named":          {&group{}, named, ErrNoLeader, 0},
		"nobody there":        {&group{down: map[string]error{"c1": peer.ErrNotSent, "c2": peer.ErrNotSent, "c3": peer.ErrNotSent}}, plain, ErrNoLeader, 0},
		"answer lost":         {&group{leader: "c1", lose: 1}, plain, ErrUnknown, 1},
		"answer lost, named":  {&group{leader: "c1", lose: 2}, named, nil, 3},
		"answers lost, named": {&group{leader: "c1", lose: 1 << 20}, named, ErrUnknown, -1},
		"lost, then none":     {&group{down: map[string]error{"c1": peer.ErrUnknown}}, named, ErrUnknown, 0},
		"silent":              {&group{leader: "c1", silent: map[string]bool{"c1": true}}, plain, ErrUnknown, 0},
		"internal":            {&group{down: map[string]error{"c1": &peer.Remote{Code: "internal"}}}, plain, ErrUnknown, 0},
		"settle":              {&group{leader: "c1", lose: 1}, state.Command{Settle: &state.Settle{}}, nil, 2},
		"cancel":              {&group{leader: "c1", lose: 1}, state.Command{Cancel: &state.Cancel{}}, nil, 2},
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
			})
		})
	}
}

// Guards against a query that hangs on a silent replica.
func TestQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &group{leader: "c2", silent: map[string]bool{"c1": true}}
		l := newLink(t, g, nil)
		a, err := l.Query(context.Background(), Query{Kind: QueryStatus})
		is.NoErr(err)
		is.True(a.Found)
		g.leader = ""
		_, err = l.Query(context.Background(), Query{Kind: QueryStatus})
		is.True(errors.Is(err, ErrNoLeader))
	})
}

// Guards against options that make a link that can never work.
func TestOptions(t *testing.T) {
	is := is.New(t)
	for _, o := range []Options{{}, {Name: "a"}, {Name: "a", Peer: &group{}}} {
		_, err := New(o)
		is.True(err != nil)
	}
}

// workers holds polls for the benchmark.
type workers struct{ reports []WorkerReport }

func (w *workers) Reports(into []WorkerReport) []WorkerReport { return append(into, w.reports...) }
func (w *workers) Deliver([]WorkerOrders)                     {}

func BenchmarkRenewal(b *testing.B) {
	w := &workers{}
	for i := range 7800 {
		w.reports = append(w.reports, WorkerReport{Worker: work.Worker{Name: fmt.Sprint("vm", i)}, Running: make([]work.Usage, 4)})
	}
	l, err := New(Options{Name: "a", Peer: &group{}, Candidates: []string{"c"}, Workers: w})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.build()
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
