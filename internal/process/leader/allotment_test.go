package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
)

// granted renews a session, reports the given use of the team a, and returns the
// allotment.
func (e *pollRelay) granted(t testing.TB, i int, use control.TeamUse) int64 {
	t.Helper()
	use.Team = "a"
	g, err := e.renew(i, control.Renewal{Teams: []control.TeamUse{use}}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(g.Teams) != 1 {
		t.Fatalf("the grant has the teams %v", g.Teams)
	}
	return g.Teams[0].Granted
}

// Guards against a new leader that refuses a team for half a minute because an
// entry VM is down that held nothing of the team's limit.
func TestLostEntryVMThatHeldNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		_, err := g.a.renew(0, control.Renewal{}, 0, 0)
		is.NoErr(err)
		_, err = g.b.renew(0, control.Renewal{}, 0, 0)
		is.NoErr(err)
		g.isolate(0, 1) // and the entry VM a is down
		is.Equal(g.b.granted(t, 1, control.TeamUse{Wanted: 10}), int64(10))
	})
}

// Guards against a new leader that keeps back more than a lost entry VM held, or
// less while the requests that it admitted may be running.
func TestLostEntryVMThatHeldAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		a, b := int64(0), int64(0)
		for range 10 {
			a = g.a.granted(t, 0, control.TeamUse{Held: a, Wanted: 4})
			b = g.b.granted(t, 0, control.TeamUse{Held: b, Wanted: 10})
			time.Sleep(200 * time.Millisecond)
		}
		is.Equal(a, int64(4))
		is.Equal(b, int64(6))
		g.isolate(0, 1)
		is.Equal(g.b.renewFor(1, sessionDuration+maxRequestDuration-time.Second, b), int64(6))
		is.Equal(g.b.renewFor(1, 3*time.Second, b), int64(10))
	})
}

// Guards against a new leader that keeps back what a lost entry VM had given back
// before.
func TestLostEntryVMThatGaveBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		is.Equal(g.a.renewFor(0, time.Second, 0), int64(10))
		for range 60 {
			time.Sleep(200 * time.Millisecond)
			_, err := g.a.renew(0, control.Renewal{}, 0, 0)
			is.NoErr(err)
		}
		g.isolate(0, 1)
		is.Equal(g.b.granted(t, 1, control.TeamUse{Wanted: 10}), int64(10))
	})
}

// Guards against a former process of an entry VM whose allotment is granted again
// because a new process of the same VM has reported to a new leader.
func TestRestartedEntryVMAndNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		is.Equal(g.a.renewFor(0, 6*time.Second, 0), int64(10))
		g.isolate(0, 1)
		second := control.Renewal{Entry: g.a.name, Boot: 2, Sequence: 1, Teams: []control.TeamUse{{Team: "a", Wanted: 10}}}
		for i := range 2 { // the next leader knows of the former process, too
			r, err := call[control.Grant](g.replicas[1-i], control.MethodRenew, g.a.name, second, 0, 0)
			is.NoErr(err)
			is.Equal(r.Teams, []control.TeamGrant{{Team: "a"}})
			is.Equal(g.b.granted(t, 1-i, control.TeamUse{Wanted: 10}), int64(0))
			if i == 0 {
				g.heal(0)
				g.isolate(1, 0)
				second.Sequence++
			}
		}
		is.Equal(g.b.renewFor(0, maxRequestDuration+sessionDuration+2*time.Second, 0) > 0, true)
	})
}

// Guards against a grant above what the log says, because a change that lowers the
// record took effect later than the leader waited for it.
func TestLateChangeOfTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		is.Equal(g.a.renewFor(0, time.Second, 0), int64(10))
		s := &g.replicas[0].leader.activeTerm.Load().sessions
		g.a.renewFor(0, lowerInterval, 10)
		g.blockCommits = true // the change is proposed, but its outcome is unknown
		_, err := g.a.renew(0, control.Renewal{}, 0, 0)
		is.NoErr(err)
		is.Equal(s.entries[g.a.name].record.Of("a", 0), int64(0))
		r, err := g.a.renew(0, control.Renewal{Teams: []control.TeamUse{{Team: "a", Wanted: 10}}}, 0, 0)
		is.NoErr(err)
		is.Equal(len(r.Teams), 0)
		g.blockCommits = false
		is.Equal(g.a.granted(t, 0, control.TeamUse{Wanted: 10}), int64(10))
	})
}
