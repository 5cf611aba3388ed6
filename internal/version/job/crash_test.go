package job

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
)

// suspicion is the evidence about a run that had just started.
var suspicion = crash.Evidence{Confirmed: true, Suspected: true, Alone: true}

// crashed records the crash of a worker under a run and the end of the run.
func (m *machine) crashed(id TaskID, run int, worker string) Result {
	m.is.Helper()
	return m.apply(Round{
		Crashes: []Crash{{Task: id, Run: run, Evidence: suspicion}},
		Ends:    []End{{Task: id, Run: run, Worker: worker, Life: 1, Outcome: Lost}},
	})
}

func (m *machine) started(id TaskID, run int, worker string) {
	m.is.Helper()
	r := m.apply(Round{Starts: []Start{{Task: id, Run: run, Worker: worker, Life: 1}}})
	m.is.Equal(r.Refused, []bool{false})
}

// noStart checks that a task does not start.
func (m *machine) noStart(id TaskID, run int, worker string) {
	m.is.Helper()
	r := m.apply(Round{Starts: []Start{{Task: id, Run: run, Worker: worker, Life: 1}}})
	m.is.Equal(r.Refused, []bool{true})
}

// pending returns how many jobs wait for their first start.
func (m *machine) pending() int {
	n := 0
	m.state.View(func(v *View) { n = v.Pending("h", "/s/") })
	return n
}

// Guards against a crash that both leaders saw and that counts twice, and against one
// that is forgotten with the snapshot.
func TestCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	m.submit("one", Step{Count: 1})
	id := TaskID{Job: "one"}
	m.started(id, 1, "a")
	m.crashed(id, 1, "a")
	m.crashed(id, 1, "a")
	is.Equal(m.record("one").Status, Running)
	b, err := m.state.Snapshot()
	is.NoErr(err)
	is.NoErr(m.state.Restore(b))
	m.started(id, 2, "b")
	m.crashed(id, 1, "a") // the next leader finds it too
	is.Equal(m.record("one").Status, Running)
	m.crashed(id, 2, "b")
	m.noStart(id, 3, "a")
	r := m.apply(Round{Faulty: []Start{{Task: id, Run: 2}}})
	is.Equal(m.record("one").Status, Failed)
	is.Equal(len(r.GivenUp), 1)
	is.Equal(r.Ended, []ID{"one"})
}

// Guards against a gang whose members each crash one worker and that goes on for that.
func TestCrashesOfAGangCountTogether(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	m.submit("one", Step{Count: 2, Gang: true})
	first, second := TaskID{Job: "one"}, TaskID{Job: "one", Index: 1}
	for run, crashing := range []TaskID{first, second} {
		m.started(first, run+1, "a")
		m.started(second, run+1, "b")
		m.apply(Round{Crashes: []Crash{{Task: crashing, Run: run + 1, Evidence: suspicion}}, Ends: []End{
			{Task: first, Run: run + 1, Worker: "a", Life: 1, Outcome: Lost}, {Task: second, Run: run + 1, Worker: "b", Life: 1, Outcome: GangBroken},
		}})
	}
	m.apply(Round{Faulty: []Start{{Task: first, Run: 2}}})
	is.Equal(m.record("one").Status, Failed)
}

// Guards against a long-running task that crashes worker after worker, and against one that
// is shown as failed, since it has to be restarted however it ends (rule LOST, review/5).
func TestLastingTaskThatCrashesWorkersPauses(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	m.submit("one", Step{Count: 1, Lasting: true})
	id := TaskID{Job: "one"}
	began, run := m.now, 0
	for m.now.Sub(began) < 3*time.Minute {
		if r := m.apply(Round{Starts: []Start{{Task: id, Run: run + 1, Worker: "a", Life: 1}}}); !r.Refused[0] {
			run++
			m.crashed(id, run, "a")
		}
		m.apply(Round{Faulty: []Start{{Task: id, Run: run}}})
		m.now = m.now.Add(100 * time.Millisecond)
	}
	is.Equal(m.record("one").Status, Running)
	is.True(run > 2)
	is.True(run <= 5) // less than three starts after three crashes
}

// Guards against a replica that keeps a long-running task paused whose leader has it start once more. The
// same commands end the pause on replicas of earlier builds.
func TestClearedCrashEndsAPause(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	m.submit("one", Step{Count: 1, Lasting: true})
	id := TaskID{Job: "one"}
	early := func() (run int, early bool) {
		m.state.View(func(v *View) {
			if r, o, task := v.Find(id); task != nil {
				run, early = o.Steps[0].EarlyPause(&r.Job.Steps[0], task)
			}
		})
		return run, early
	}
	for run := 1; run <= 2; run++ {
		_, pauses := early()
		is.True(!pauses)
		m.started(id, run, "a")
		m.crashed(id, run, "a")
	}
	m.noStart(id, 3, "a")
	run, pauses := early()
	is.True(pauses)
	is.Equal(run, 1)
	b, err := m.state.Snapshot()
	is.NoErr(err)
	is.NoErr(m.state.Restore(b))
	m.apply(Round{Cleared: []Start{{Task: id, Run: run}}})
	m.started(id, 3, "a")
	m.crashed(id, 3, "a")
	_, pauses = early()
	is.True(!pauses) // two during trials
	m.noStart(id, 4, "a")
}

// Guards against a task that is tried or given up for crashes that others had in common with
// its worker (rule LOST, review/5).
func TestClearedCrashIsNoEvidence(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	m.submit("one", Step{Count: 1})
	id := TaskID{Job: "one"}
	for run := 1; run <= 2; run++ {
		m.started(id, run, "a")
		m.crashed(id, run, "a")
	}
	m.noStart(id, 3, "a")
	m.apply(Round{Cleared: []Start{{Task: id, Run: 2}}})
	b, err := m.state.Snapshot()
	is.NoErr(err)
	is.NoErr(m.state.Restore(b))
	m.apply(Round{Faulty: []Start{{Task: id, Run: 2}}, Crashes: []Crash{{Task: id, Run: 2, Evidence: suspicion}}})
	is.Equal(m.record("one").Status, Running)
	m.started(id, 3, "a")
	m.crashed(id, 3, "a")
	m.apply(Round{Faulty: []Start{{Task: id, Run: 3}}})
	is.Equal(m.record("one").Status, Failed) // two others remain
}

// Guards against a leader that does not know which workers crashed under the tasks of its predecessor, and
// against a crash of an earlier build, without an address, that changes what starts.
func TestPlacesOfCrashesAreKept(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	m.submit("one", Step{Count: 1})
	id := TaskID{Job: "one"}
	at := netip.MustParseAddrPort("10.0.0.1:80")
	m.apply(Round{Places: []Place{{Task: id, Run: 1, Address: at}, {Task: TaskID{Job: "none"}, Run: 1, Address: at}}})
	for run := 1; run <= 2; run++ {
		m.started(id, run, "a")
		m.crashed(id, run, "a")
	}
	m.apply(Round{Places: []Place{{Task: id, Run: 1, Address: at}}})
	b, err := m.state.Snapshot()
	is.NoErr(err)
	is.NoErr(m.state.Restore(b))
	m.state.View(func(v *View) {
		r, o, task := v.Find(id)
		is.Equal(o.Steps[0].CrashedAt(&r.Job.Steps[0], task), []netip.AddrPort{at})
	})
	m.noStart(id, 3, "a") // whatever the places are, until the leader decides
	m.apply(Round{Retried: []Start{{Task: id, Run: 2}}})
	m.started(id, 3, "a")
}

// Guards against jobs that are not counted as waiting although their only start was
// sent to a worker that was gone (rule MIXED, deadly day of nwp-coop, seed 2).
func TestJobWhoseStartWasLostIsPending(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	m.submit("one", Step{Count: 1})
	id := TaskID{Job: "one"}
	is.Equal(m.pending(), 1)
	m.started(id, 1, "a")
	is.Equal(m.pending(), 0)
	m.apply(Round{Ends: []End{{Task: id, Run: 1, Worker: "a", Life: 1, Outcome: Lost}}})
	is.Equal(m.pending(), 1)
	b, err := m.state.Snapshot()
	is.NoErr(err)
	is.NoErr(m.state.Restore(b))
	is.Equal(m.pending(), 1)
	m.started(id, 2, "b")
	m.apply(Round{Ends: []End{{Task: id, Run: 2, Worker: "b", Life: 1, Outcome: Stopped}}})
	is.Equal(m.pending(), 0)
}
