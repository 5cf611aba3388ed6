package leader

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// group is a control group with a catalogue and two entry VMs.
type group struct {
	*cluster
	a, b *pollRelay
}

func newGroup(t testing.TB, off guard) *group {
	c := newCluster(t, 2, off)
	c.mustApply(state.Command{Team: &state.TeamChange{Team: work.Team{Name: "a", Weight: 1, Requests: 10}}})
	c.mustApply(state.Command{Entry: &state.EntryChange{Entry: work.Entry{Name: "batch", Owner: "a", Class: work.Batch, Maximum: processors(8)}}})
	c.mustApply(state.Command{Entry: &state.EntryChange{Entry: work.Entry{Name: "counter", Owner: "a", Class: work.Service}}})
	return &group{cluster: c, a: &pollRelay{cluster: c, name: "entry-a"}, b: &pollRelay{cluster: c, name: "entry-b"}}
}

// workerReport returns a poll of the worker w with the given boot.
func workerReport(boot, sequence uint64) control.WorkerReport {
	return control.WorkerReport{Worker: work.Worker{Name: "w", Boot: boot, Capacity: processors(4)}, Sequence: sequence}
}

// worker returns the worker w as recorded in the state.
func (g *group) worker() work.Worker {
	v, _ := g.replicas[1].state.Worker("w")
	return v.Worker
}

// renewFor renews a session for the given time and returns the last allotment.
func (e *pollRelay) renewFor(i int, span time.Duration, held int64) int64 {
	for end := time.Now().Add(span); ; time.Sleep(200 * time.Millisecond) {
		g, err := e.renew(i, control.Renewal{Teams: []control.TeamUse{{Team: "a", Held: held, Wanted: 10}}}, 0, 0)
		if err == nil && len(g.Teams) > 0 {
			held = g.Teams[0].Granted
		}
		if !time.Now().Before(end) {
			return held
		}
	}
}

var testRunner = control.RunnerID{Entry: "counter", Name: "r"}

// announcedOwner announces a runner, and returns its owner according to the
// answer.
func (e *pollRelay) announcedOwner(i int, r control.Renewal) string {
	r.Runners = []control.RunnerReport{{Runner: testRunner, Team: "a", Boot: 1, Slots: 8}}
	g, err := e.renew(i, r, 0, 0)
	if err != nil || len(g.Runners) == 0 {
		return ""
	}
	return g.Runners[0].Owner
}

// giveRunnerToA makes the entry VM a the owner of the only runner.
func (g *group) giveRunnerToA() {
	g.a.announcedOwner(0, control.Renewal{})
	for range 30 {
		time.Sleep(200 * time.Millisecond)
		g.a.announcedOwner(0, control.Renewal{})
	}
}

// submit submits a batch job of one task and waits until it has started on w.
func (g *group) submit() (work.TaskID, work.Token) {
	id := g.mustApply(state.Command{Submit: &state.Submit{Job: work.Job{Entry: "batch", Team: "a", Size: processors(1)}, Count: 1}}).Job
	time.Sleep(time.Second)
	j, _ := g.replicas[0].state.Job(id)
	return j.Tasks[0].ID, j.Tasks[0].Token
}

// Guards against a safety check that has no effect: each scenario must violate
// its rule if its check is disabled, and only then.
func TestEachGuardIsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		guard     guard
		ruleHolds func(g *group) bool
	}{
		"lease of the leader": {guardLeaderLease, func(g *group) bool {
			_, _ = g.a.renew(0, control.Renewal{}, 0, 0)
			g.isolate(0, 1)
			_, err := g.a.renew(0, control.Renewal{}, 0, 0)
			return err != nil
		}},
		"leases across terms": {guardInheritedLeases, func(g *group) bool {
			g.a.poll(0, workerReport(1, 1))
			g.isolate(0, 1)
			time.Sleep(2 * time.Second)
			return !g.worker().Gone
		}},
		"margin of leases": {guardLeaseMargin, func(g *group) bool {
			g.a.poll(0, workerReport(1, 1))
			time.Sleep(14 * time.Second)
			return !g.worker().Gone
		}},
		"sequence of polls": {guardPollOrder, func(g *group) bool {
			return g.a.poll(0, workerReport(1, 5)) != nil && g.a.poll(0, workerReport(1, 4)) == nil
		}},
		"closing lease": {guardClosingLease, func(g *group) bool {
			g.a.poll(0, workerReport(1, 1))
			g.blockCommits = true
			for range 19 {
				time.Sleep(time.Second)
				_, _ = g.a.renew(0, control.Renewal{}, 0, 0)
			}
			return g.a.poll(0, workerReport(1, 2)) == nil
		}},
		"stale token": {guardStaleTokens, func(g *group) bool {
			r := workerReport(1, 1)
			r.Running = []work.Usage{{Task: work.TaskID{Job: 9}, Token: 10}}
			return len(g.a.poll(0, r).Stops) == 1
		}},
		"committed ends": {guardCommittedEnds, func(g *group) bool {
			g.a.poll(0, workerReport(1, 1))
			id, token := g.submit()
			r := workerReport(1, 2)
			r.Ended = []work.End{{Task: id, Token: token, Outcome: work.OutcomeSucceeded}}
			g.blockCommits = true
			early := g.a.poll(0, r)
			g.blockCommits = false
			late := g.a.poll(0, r)
			return early == nil && late != nil && len(late.Ended) == 1
		}},
		"allotments of ended sessions": {guardWithholdEnded, func(g *group) bool {
			return g.a.renewFor(0, 6*time.Second, 0) == 10 && g.b.renewFor(0, 30*time.Second, 0) == 0 && g.b.renewFor(0, 10*time.Second, 0) == 10
		}},
		"reports before owners": {guardRecovery, func(g *group) bool {
			g.giveRunnerToA()
			g.isolate(0, 1)
			g.b.announcedOwner(1, control.Renewal{})
			time.Sleep(600 * time.Millisecond)
			return g.b.announcedOwner(1, control.Renewal{}) != g.b.name
		}},
		"entry VMs not heard of": {guardWithholdUnreported, func(g *group) bool {
			g.a.renewFor(0, 6*time.Second, 0)
			g.isolate(0, 1)
			return g.b.renewFor(1, 30*time.Second, 0) == 0 && g.b.renewFor(1, 10*time.Second, 0) == 10
		}},
		"allotments in the log": {guardRecordHoldings, func(g *group) bool {
			g.a.renewFor(0, 6*time.Second, 0)
			g.isolate(0, 1)
			return g.b.renewFor(1, 30*time.Second, 0) == 0 && g.b.renewFor(1, 10*time.Second, 0) == 10
		}},
		"release of runners": {guardReleaseFirst, func(g *group) bool {
			g.giveRunnerToA()
			g.b.announcedOwner(0, control.Renewal{})
			g.a.announcedOwner(0, control.Renewal{Draining: true, Owned: []control.OwnedRunner{{Runner: testRunner, Used: 3}}})
			time.Sleep(600 * time.Millisecond)
			early := g.b.announcedOwner(0, control.Renewal{})
			free, _ := g.a.renew(0, control.Renewal{Draining: true, Owned: []control.OwnedRunner{{Runner: testRunner, Used: 3}}}, 0, 0)
			_, _ = g.a.renew(0, control.Renewal{Draining: true, Term: free.Term, Routes: free.Routes}, 0, 0)
			time.Sleep(600 * time.Millisecond)
			return early != g.b.name && g.b.announcedOwner(0, control.Renewal{}) == g.b.name
		}},
		"list for late sessions": {guardEarlyRoutes, func(g *group) bool {
			g.isolate(0, 1)
			for range 30 { // the list stays incomplete, as r is never announced
				_, _ = g.b.renew(1, control.Renewal{Term: 1, Routes: 5, Owned: []control.OwnedRunner{{Runner: testRunner}}}, 0, 0)
				time.Sleep(200 * time.Millisecond)
			}
			first, err := g.a.renew(1, control.Renewal{}, 0, 0)
			return err == nil && first.Full
		}},
		"claims to a runner": {guardNewestClaim, func(g *group) bool {
			g.isolate(0, 1)
			owned := []control.OwnedRunner{{Runner: testRunner}}
			g.b.announcedOwner(1, control.Renewal{Term: 1, Routes: 6, Owned: owned})
			g.a.announcedOwner(1, control.Renewal{Term: 1, Routes: 5, Owned: owned}) // has missed the change of the owner
			time.Sleep(time.Second)
			return g.b.announcedOwner(1, control.Renewal{}) != g.a.name && g.a.announcedOwner(1, control.Renewal{}) == g.b.name
		}},
		"order of renewals": {guardRenewalOrder, func(g *group) bool {
			g.a.sequence = 5
			_, _ = g.a.renew(0, control.Renewal{}, 0, 0)
			g.a.sequence = 4
			_, err := g.a.renew(0, control.Renewal{}, 0, 0)
			return err != nil
		}},
		"boots of entry VMs": {guardEntryBoot, func(g *group) bool {
			_, _ = g.a.renew(0, control.Renewal{}, 0, 0)
			_, err := call[control.Grant](g.replicas[0], control.MethodRenew, g.a.name, control.Renewal{Entry: g.a.name, Boot: 2, Sequence: 1}, 0, 0)
			return err != nil
		}},
		"boots of workers": {guardWorkerBoot, func(g *group) bool {
			g.a.poll(0, workerReport(1, 1))
			o := g.a.poll(0, workerReport(2, 1))
			late := g.worker().Boot == 1
			if o == nil {
				return false
			}
			r := workerReport(2, 2)
			r.Echo = o.Challenge
			return late && g.a.poll(0, r) != nil && g.worker().Boot == 2
		}},
		"reports of runs": {guardReports, func(g *group) bool {
			g.a.poll(0, workerReport(1, 1))
			id, token := g.submit()
			g.isolate(0, 1) // which does not know whether the start was sent
			for n := range uint64(40) {
				g.a.poll(1, workerReport(1, 2+n))
				time.Sleep(time.Second)
			}
			j, _ := g.replicas[1].state.Job(id.Job)
			return j.Tasks[0].Token != token
		}},
		"terms of commands": {guardTermFence, func(g *group) bool {
			g.a.poll(0, workerReport(1, 1))
			old := g.replicas[0].leader.activeTerm.Load()
			g.isolate(0, 1)
			g.heal(0)
			g.isolate(1, 0)
			time.Sleep(time.Second)
			v, _ := g.replicas[0].state.Worker("w")
			old.commitDeparture(context.Background(), membership{"w", 1, v.Joined}, event.WorkerExpired)
			return !g.worker().Gone
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, off := range []guard{0, c.guard} {
				synctest.Test(t, func(t *testing.T) {
					g := newGroup(t, off)
					defer g.close()
					if holds := c.ruleHolds(g); holds != (off == 0) {
						t.Errorf("with the checks %b disabled: the rule holds: %v", off, holds)
					}
				})
			}
		})
	}
}

// Guards against start orders that are lost, sent again after the run was
// reported, or sent to a worker that leaves, and against runs that never end
// after a stop.
func TestOrdersUntilReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		g.a.poll(0, workerReport(1, 1))
		id, token := g.submit()
		for n := range uint64(2) { // the first answer is lost
			is.Equal(len(g.a.poll(0, workerReport(1, 2+n)).Starts), 1)
		}
		r := workerReport(1, 4)
		r.Running = []work.Usage{{Task: id, Token: token}}
		is.Equal(len(g.a.poll(0, r).Starts), 0)
		g.mustApply(state.Command{Cancel: &state.Cancel{Jobs: []work.JobID{id.Job}}})
		r.Sequence = 5
		is.Equal(g.a.poll(0, r).Stops, []work.Stop{{Task: id, Token: token, Mode: work.StopKill}})
		unsent, _ := g.submit()
		g.mustApply(state.Command{Cancel: &state.Cancel{Jobs: []work.JobID{unsent.Job}}})
		r.Sequence = 6
		is.Equal(len(g.a.poll(0, r).Starts), 0)
		j, _ := g.replicas[0].state.Job(unsent.Job)
		is.Equal(j.Tasks[0].State, work.TaskEnded) // no start order was sent, so the run ends without the worker
		g.submit()
		leave := workerReport(1, 7)
		leave.Leaving = true
		is.True(g.a.poll(0, leave) != nil)
		is.True(!g.worker().Gone) // the first task may still run there
		time.Sleep(leaseDuration + leaseMargin + time.Second)
		is.True(g.worker().Gone)
	})
}

// Guards against an end that is acknowledged without being committed because the
// same poll carries a new shape of the worker.
func TestEndBesideANewShape(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		g.a.poll(0, workerReport(1, 1))
		id, token := g.submit()
		r := workerReport(1, 2)
		r.Worker.Capacity = processors(6)
		r.Ended = []work.End{{Task: id, Token: token, Outcome: work.OutcomeSucceeded}}
		is.Equal(g.a.poll(0, r).Ended, r.Ended)
		j, _ := g.replicas[0].state.Job(id.Job)
		is.Equal(j.State, work.JobSucceeded)
		is.Equal(g.worker().Capacity, processors(6))
	})
}

// Guards against an idle worker that leaves but stays a member until its lease
// expires.
func TestIdleWorkerLeavesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		g.a.poll(0, workerReport(1, 1))
		r := workerReport(1, 2)
		r.Leaving = true
		is.Equal(g.a.poll(0, r).Acknowledged, uint64(2))
		is.True(g.worker().Gone)
	})
}

// Guards against allotments above a limit that was lowered, and against an entry
// VM that is never asked to give up its excess.
func TestLoweredLimitIsReachedByAgreement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		is.Equal(g.a.renewFor(0, 6*time.Second, 0), int64(10))
		g.mustApply(state.Command{Team: &state.TeamChange{Base: 1, Team: work.Team{Name: "a", Weight: 1, Requests: 4}}})
		use := func(e *pollRelay, held, used int64) int64 {
			r, err := e.renew(0, control.Renewal{Teams: []control.TeamUse{{Team: "a", Held: held, Used: used, Wanted: 10}}}, 0, 0)
			is.NoErr(err)
			return r.Teams[0].Granted
		}
		is.Equal(use(g.a, 10, 9), int64(4))
		is.Equal(use(g.b, 0, 0), int64(0)) // 9 requests are in flight
		is.Equal(use(g.a, 4, 3), int64(2)) // shared evenly from now on
		is.Equal(use(g.b, 0, 0), int64(0))
		is.Equal(use(g.a, 2, 1), int64(2))
		is.Equal(use(g.b, 0, 0), int64(2))
	})
}

// Guards against owners that are spread unevenly or needlessly placed in another
// availability zone, and against runners that stay although they are silent.
func TestOwnersAreSpreadAndSilentRunnersDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		defer c.close()
		s := newEntryFleet(c, 1, 6)
		time.Sleep(60 * time.Second)
		owned, local := map[string]int{}, 0
		zone := map[string]string{}
		for _, g := range s.entries {
			zone[g.name] = g.zone
		}
		a, err := call[control.Answer](c.replicas[0], control.MethodQuery, "", control.Query{Kind: control.QueryUpstreams}, 0, 0)
		is.NoErr(err)
		is.Equal(len(a.Upstreams), 24)
		for _, u := range a.Upstreams {
			owned[u.Owner]++
			if zone[u.Owner] == u.Zone {
				local++
			}
		}
		for _, g := range s.entries {
			is.True(owned[g.name] >= 3 && owned[g.name] <= 5)
		}
		is.True(local >= 16)
		close(s.stop)
		time.Sleep(announcementTTL + 5*time.Second) // a renewal may be 3 s late
		a, err = call[control.Answer](c.replicas[0], control.MethodQuery, "", control.Query{Kind: control.QueryUpstreams}, 0, 0)
		is.NoErr(err)
		is.Equal(len(a.Upstreams), 0)
	})
}

// Guards against accepting jobs that can never run or leader-only commands of
// other processes, and against answers of a replica that does not lead.
func TestProposeAndQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		propose := func(c state.Command) state.Result {
			r, err := call[state.Result](g.replicas[0], control.MethodPropose, "", control.Proposal{Command: c}, 0, 0)
			is.NoErr(err)
			return *r
		}
		query := func(q control.Query) control.Answer {
			a, err := call[control.Answer](g.replicas[0], control.MethodQuery, "", q, 0, 0)
			is.NoErr(err)
			return *a
		}
		job := func(n int64) state.Command {
			return state.Command{Request: "r", Submit: &state.Submit{Job: work.Job{Entry: "batch", Team: "a", Size: processors(n)}, Count: 2}}
		}
		is.Equal(propose(job(9)).Code, state.Infeasible) // the entry's maximum
		first := propose(job(8))
		is.Equal(first.Code, state.OK) // no worker is known
		g.a.poll(0, workerReport(1, 1))
		is.Equal(propose(job(8)), first) // a retry, although it fits no worker now
		applied := g.replicas[0].state.Index()
		c := job(5)
		c.Request = "other"
		is.Equal(propose(c).Code, state.Infeasible)
		is.Equal(g.replicas[0].state.Index(), applied) // without a log entry
		is.Equal(propose(state.Command{Depart: &state.Depart{Worker: "w", Boot: 1}}).Code, state.Invalid)

		is.Equal(len(query(control.Query{Kind: control.QueryCatalogue}).Catalogue.Entries), 2)
		is.Equal(query(control.Query{Kind: control.QueryWorkers, Name: "w"}).Workers[0].Lease.IsZero(), false)
		is.Equal(query(control.Query{Kind: control.QueryQueues, Name: "batch"}).Queues[0].Queued, 2)
		is.Equal(query(control.Query{Kind: control.QueryStatus}).Status.Entries[0].Name, "entry-a")
		is.Equal(query(control.Query{Kind: control.QueryJobs, Team: "a"}).Jobs[0].ID, first.Job)
		is.Equal(query(control.Query{Kind: control.QueryJob, Job: first.Job, Team: "b"}).Found, false)
		is.Equal(query(control.Query{Kind: control.QueryExplain, Job: first.Job}).Text, "waits")

		_, err := call[control.Answer](g.replicas[1], control.MethodQuery, "", control.Query{Kind: control.QueryJobs}, 0, 0)
		var remote *peer.RemoteError
		is.True(errors.As(err, &remote))
		is.Equal(*remote, peer.RemoteError{Code: control.CodeNotLeader, Message: "control-0"})
	})
}

// Guards against a job that runs although its submission was refused with "ran": "no": an
// earlier copy of the command arrives when a worker has room for it.
func TestCopyOfARefusedSubmissionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		propose := func(p control.Proposal) state.Result {
			r, err := call[state.Result](g.replicas[0], control.MethodPropose, "", p, 0, 0)
			is.NoErr(err)
			return *r
		}
		c := state.Command{Request: "r", Submit: &state.Submit{Job: work.Job{Entry: "batch", Team: "a", Size: processors(5)}, Count: 1}}
		g.a.poll(0, workerReport(1, 1))
		is.Equal(propose(control.Proposal{Command: c, Resent: true}).Code, state.Infeasible)
		larger := workerReport(1, 1)
		larger.Worker.Name, larger.Worker.Capacity = "v", processors(8)
		g.a.poll(0, larger)
		is.Equal(propose(control.Proposal{Command: c}).Code, state.Infeasible) // the copy that was held up
		c.Request = "another"
		is.Equal(propose(control.Proposal{Command: c}).Code, state.OK)
	})
}

// BenchmarkRenew serves renewals of 7 entry VMs that carry polls of 7,800
// workers with 30,000 running tasks.
func BenchmarkRenew(b *testing.B) {
	const workers, tasks, entries = 7_800, 30_000, 7
	c := newCluster(b, 1)
	defer c.close()
	c.mustApply(state.Command{Team: &state.TeamChange{Team: work.Team{Name: "a", Weight: 1, Requests: 1000}}})
	c.mustApply(state.Command{Entry: &state.EntryChange{Entry: work.Entry{Name: "batch", Owner: "a", Class: work.Service}}})
	reports := make([]control.WorkerReport, workers)
	for i := range reports {
		reports[i].Worker = work.Worker{Name: fmt.Sprint("w", i), Boot: 1, Capacity: processors(4)}
		c.mustApply(state.Command{Join: &state.Join{Worker: reports[i].Worker}})
	}
	for range tasks / 1000 {
		c.mustApply(state.Command{Submit: &state.Submit{Job: work.Job{Entry: "batch", Team: "a", Size: processors(1)}, Count: 1000}})
	}
	machine := c.replicas[0].state
	for running := 0; running < tasks; time.Sleep(10 * time.Millisecond) {
		running = machine.EntryLoads("")[0].Running
	}
	for i := range reports {
		_, runs, _ := machine.Runs(reports[i].Worker.Name, nil)
		for _, r := range runs {
			reports[i].Running = append(reports[i].Running, work.Usage{Task: r.Task, Token: r.Token})
		}
	}
	handle := c.replicas[0].methods[control.MethodRenew]
	b.ReportAllocs()
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		for e := range entries {
			part := reports[e*workers/entries : (e+1)*workers/entries]
			for i := range part {
				part[i].Sequence = sequence
			}
			name := fmt.Sprint("entry-", e)
			r := control.Renewal{Entry: name, Boot: 1, Sequence: sequence, Workers: part, Teams: []control.TeamUse{{Team: "a", Wanted: 10}}}
			v, err := handle(context.Background(), name, func(into any) error { *into.(*control.Renewal) = r; return nil })
			if err != nil || len(v.(*control.Grant).Workers) != len(part) {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/workers, "ns/worker")
}
