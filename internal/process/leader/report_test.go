package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Guards against a task that waits for good because its worker polls, and neither executes it nor
// reports its end (issue 46).
func TestStartThatIsNeverReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		g.a.poll(0, workerReport(1, 1))
		id, token := g.submit()
		for n := range uint64(60) {
			g.a.poll(0, workerReport(1, 2+n))
			time.Sleep(time.Second)
		}
		j, _ := g.replicas[0].state.Job(id.Job)
		is.True(j.Tasks[0].Token != token)
	})
}

// Guards against a deadline of a report that a new leader or a worker that joins anew with each
// poll puts off.
func TestDeadlineOfAReportIsNotMoved(t *testing.T) {
	for name, c := range map[string]struct{ leaderChanges, joins bool }{
		"leader": {leaderChanges: true}, "shape": {joins: true}, "both": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGroup(t, 0)
				defer g.close()
				g.a.poll(0, workerReport(1, 1))
				id, token := g.submit()
				leader, begin := 0, time.Now()
				for n := uint64(2); time.Since(begin) < reportTime+leaseDuration+leaseMargin+time.Second; n++ {
					if c.leaderChanges && n == 12 {
						g.isolate(0, 1)
						leader = 1
					}
					r := workerReport(1, n)
					if c.joins {
						r.Worker.Capacity = processors(4 + int64(n%2))
					}
					g.a.poll(leader, r)
					time.Sleep(time.Second)
				}
				j, _ := g.replicas[1].state.Job(id.Job)
				is.True(j.Tasks[0].Token != token)
			})
		})
	}
}

// Guards against a worker that loses its lease although it reports its runs, late but before its
// lease has ended, and against one that is not asked to stop a run that it owes.
func TestLateReportRenewsTheLease(t *testing.T) {
	for name, boots := range map[string]bool{"slow": false, "boots anew": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGroup(t, 0)
				defer g.close()
				g.a.poll(0, workerReport(1, 1))
				id, token := g.submit()
				boot := uint64(1)
				if boots {
					time.Sleep(10 * time.Second)
					boot = 2
					r := workerReport(boot, 1)
					r.Echo = g.a.poll(0, r).Challenge
					r.Sequence++
					g.a.poll(0, r)
					time.Sleep(time.Second)
					j, _ := g.replicas[0].state.Job(id.Job)
					is.True(j.Tasks[0].Token != token)
					token = j.Tasks[0].Token
				}
				for n := range uint64(60) {
					r := workerReport(boot, 10+n)
					if n >= 30 {
						r.Running = []work.Usage{{Task: id, Token: token}}
					}
					o := g.a.poll(0, r)
					switch {
					case n < 16:
						is.Equal(len(o.Starts), 1)
						is.Equal(len(o.Stops), 0)
					case n >= 18 && n < 30: // asked to stop it, without a lease
						is.Equal(len(o.Starts), 0)
						is.Equal(o.Stops, []work.Stop{{Task: id, Token: token, Mode: work.StopKill}})
						is.True(o.Acknowledged < r.Sequence)
					case n >= 30:
						is.Equal(*o, control.WorkerOrders{Worker: "w", Boot: boot, Acknowledged: r.Sequence})
					}
					time.Sleep(time.Second)
				}
				j, _ := g.replicas[0].state.Job(id.Job)
				is.Equal(j.Tasks[0].Token, token)
				is.True(!g.worker().Gone)
			})
		})
	}
}

// Guards against a leave without an answer because its worker owes the report of a run.
func TestLeaveWithAnOverdueReportIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, 0)
		defer g.close()
		for n := range uint64(22) {
			g.a.poll(0, workerReport(1, 1+n))
			if n == 0 {
				g.submit()
			}
			time.Sleep(time.Second)
		}
		leave := workerReport(1, 30)
		leave.Leaving = true
		is.Equal(g.a.poll(0, leave).Acknowledged, leave.Sequence)
	})
}
