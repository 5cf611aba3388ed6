package state

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Guards against commands in any order, retries, stale tokens, duplicate ends
// and reboots that break an invariant, and against a replica that was restored
// from a snapshot and differs from one that applied every command.
func TestInvariantsHoldUnderRandomCommands(t *testing.T) {
	starts, gangs, requeued := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		a := newInvariantChecker(f.State)
		f.Subscribe(func(e work.Event) {
			if e, ok := e.(work.EndEvent); ok && e.Requeued && e.Job.Class == work.Gang {
				requeued++
			}
			if e, ok := e.(work.StartEvent); ok && e.Job.Class == work.Gang {
				gangs++
			}
		})
		replica := restoredCopy(t, f.State)
		sent := map[string]Command{}
		firstResult := map[string]Result{}
		retainedUntil := map[string]time.Time{}
		for range rapid.IntRange(50, 300).Draw(t, "commands") {
			if rapid.IntRange(0, 14).Draw(t, "restore") == 0 {
				replica = restoredCopy(t, f.State)
			}
			c := drawCommand(t, f)
			if old, ok := sent[c.Request]; ok && c.Request != "" {
				c = old // a retry
			}
			f.index++
			f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 900, 90000}).Draw(t, "seconds")) * time.Second)
			c.Time = f.now
			results, key := f.dedupTableFor(&c)
			retry := results != nil && results.get(key) != nil
			b, err := Encode(c)
			if err != nil {
				t.Fatal(err)
			}
			r := f.Apply(f.index, b).(Result)
			if other := replica.ApplyCommand(f.index, c); !reflect.DeepEqual(r, other) {
				t.Fatalf("the restored replica returned %+v, want %+v", other, r)
			}
			switch {
			case results == nil:
			case retry && !reflect.DeepEqual(firstResult[c.Request], r):
				t.Fatalf("a retry got %+v, want %+v", r, firstResult[c.Request])
			case !retry && f.now.Before(retainedUntil[c.Request]):
				t.Fatal("a result was dropped before its deadline")
			case !retry:
				sent[c.Request], firstResult[c.Request], retainedUntil[c.Request] = c, r, f.now.Add(resultRetention)
			}
			a.checkGangs(f.State)
			a.checkIntent(&c, r, f.index, f.now)
			if len(a.violations) > 0 {
				t.Fatalf("%+v: %v", c, a.violations)
			}
		}
		requireEqualStates(t, f.State, replica)
		if len(a.running) != len(newInvariantChecker(f.State).running) {
			t.Fatal("replay does not give the running tasks")
		}
		starts += a.starts
	})
	if starts < 500 || gangs < 50 || requeued < 20 {
		t.Fatalf("the drawn commands cover too little: %d starts, %d of gangs, %d gang members queued again", starts, gangs, requeued)
	}
}

func restoredCopy(t *rapid.T, s *State) *State {
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	n := New()
	if err := n.Restore(b); err != nil {
		t.Fatal(err)
	}
	requireEqualStates(t, s, n)
	return n
}

func requireEqualStates(t *rapid.T, s, n *State) {
	b, _ := s.Snapshot()
	c, _ := n.Snapshot()
	if !bytes.Equal(b, c) {
		t.Fatal("equal states have different snapshots")
	}
	for _, w := range s.Workers() {
		if v, _ := n.Worker(w.Worker.Name); v != w {
			t.Fatalf("worker %+v is restored as %+v", w, v)
		}
	}
	if !reflect.DeepEqual(s.EntryLoads(""), n.EntryLoads("")) || !reflect.DeepEqual(s.Catalogue(true), n.Catalogue(true)) || !reflect.DeepEqual(s.shapes, n.shapes) {
		t.Fatal("counters or the catalogue differ after a restore")
	}
}

// held returns holdings of the team a.
func held(n int64) Holdings {
	return Holdings{Known: true, Teams: []TeamHolding{{Team: "a", Amount: n}}}
}

// drawCommand draws a command that is valid in most, but not all, cases.
func drawCommand(t *rapid.T, f *fixture) Command {
	pick := func(label string, from ...string) string { return rapid.SampledFrom(from).Draw(t, label) }
	base := func() uint64 { return rapid.Uint64Range(0, f.version+1).Draw(t, "base") }
	worker := func() string { return pick("worker", "w1", "w2", "w3", "w4") }
	boot := func() uint64 { return rapid.Uint64Range(1, 3).Draw(t, "boot") }
	amount := func() work.Resources { return size(rapid.Int64Range(1, 5).Draw(t, "size")) }
	request := ""
	if rapid.IntRange(0, 3).Draw(t, "named") == 0 {
		request = fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request"))
	}
	switch rapid.IntRange(0, 20).Draw(t, "kind") {
	case 20:
		return Command{Term: rapid.Uint64Range(1, 3).Draw(t, "term"), Lead: &Lead{Holdings: rapid.Bool().Draw(t, "holdings")}}
	case 0:
		return Command{Request: request, Team: &TeamChange{Base: base(), Team: work.Team{Name: pick("team", "a", "b", "c"), Weight: 1, Limit: size(rapid.Int64Range(4, 14).Draw(t, "limit")), Tasks: rapid.Int64Range(0, 8).Draw(t, "tasks"), Retired: rapid.IntRange(0, 9).Draw(t, "retired") == 0}}}
	case 1:
		return Command{Request: request, Entry: &EntryChange{Base: base(), Entry: work.Entry{Name: pick("entry", "batch", "other"), Owner: pick("owner", "a", "b"), Class: work.Batch, Open: rapid.Bool().Draw(t, "open"), Tasks: rapid.Int64Range(0, 6).Draw(t, "tasks"), Retired: rapid.IntRange(0, 9).Draw(t, "retired") == 0}}}
	case 2:
		return Command{Request: request, Key: &KeyChange{Base: base(), Key: work.Key{Name: pick("key", "k1", "k2"), Team: "a", Role: work.CallerRole, Digest: [32]byte{byte(rapid.IntRange(1, 4).Draw(t, "digest"))}, Withdrawn: rapid.Bool().Draw(t, "withdrawn")}}}
	case 3, 4, 5:
		return Command{Request: request, Submit: &Submit{Job: work.Job{Entry: pick("entry", "batch", "service", "gang", "gang", "other"), Team: pick("team", "a", "b"), Size: amount()}, Count: uint32(rapid.IntRange(1, 4).Draw(t, "count"))}}
	case 6:
		return Command{Cancel: &Cancel{Team: pick("team", "", "a"), Jobs: drawJobs(t, f)}}
	case 7, 8:
		return Command{Join: &Join{Worker: work.Worker{Name: worker(), Boot: boot(), Capacity: size(rapid.Int64Range(4, 8).Draw(t, "capacity")), Team: pick("team", "", "", "b")}, Newer: rapid.Bool().Draw(t, "newer")}}
	case 9:
		return Command{Depart: &Depart{Worker: worker(), Boot: boot(), Joined: rapid.SampledFrom([]uint64{0, 0, 3}).Draw(t, "joined")}}
	case 10:
		return Command{Request: request, Drain: &Drain{Worker: worker(), Drained: rapid.IntRange(0, 3).Draw(t, "drained") == 0}}
	case 11:
		return Command{Intent: &Intent{Team: "a", Entry: "service", Identity: pick("identity", "i1", "i2"), Holder: pick("holder", "e1", "e2"), Deadline: f.now.Add(time.Hour)}}
	case 12:
		return Command{Settle: &Settle{Team: "a", Entry: "service", Identity: pick("identity", "i1", "i2"), Holder: pick("holder", "e1", "e2"), Ran: Ran(pick("ran", "no", "yes")), Attempt: rapid.Uint64Range(0, f.index).Draw(t, "attempt")}}
	case 13:
		return Command{Expire: &Expire{}}
	case 14:
		return Command{Session: &Session{Entry: pick("entry", "e1", "e2"), Boot: boot(), Sequence: rapid.Uint64Range(1, 3).Draw(t, "sequence"), Held: held(rapid.Int64Range(0, 2).Draw(t, "held")), Ended: rapid.Bool().Draw(t, "ended")}}
	case 15, 16:
		var ends []work.End
		for _, s := range drawTasks(t, f) {
			ends = append(ends, work.End{Task: s.ID, Token: s.Token - work.Token(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale")), Outcome: work.Outcome(pick("outcome", "succeeded", "failed", "oversized", "checkpointed", "stopped", "odd"))})
		}
		return Command{Ends: &Ends{Ends: append(ends, ends...)}} // each end is reported twice
	}
	return drawRound(t, f, boot, worker, amount)
}

func drawRound(t *rapid.T, f *fixture, boot func() uint64, worker func() string, amount func() work.Resources) Command {
	var round Round
	for range rapid.IntRange(1, 4).Draw(t, "decisions") {
		d := work.Decision{Atomic: rapid.Bool().Draw(t, "atomic")}
		if rapid.IntRange(0, 5).Draw(t, "stops") == 0 {
			for _, s := range drawTasks(t, f) {
				d.Stops = append(d.Stops, work.Stop{Task: s.ID, Token: s.Token, Mode: rapid.SampledFrom([]work.StopMode{work.StopCheckpoint, work.StopKill}).Draw(t, "mode")})
			}
		}
		for _, id := range drawJobs(t, f) {
			for i := range f.jobs[id].Tasks {
				w := worker()
				s := work.Start{Task: work.TaskID{Job: id, Index: uint32(i)}, Worker: w, Boot: boot(), Reserved: amount()}
				if v := f.workers[w]; v != nil && rapid.IntRange(0, 4).Draw(t, "sensible") > 0 {
					s.Boot, s.Reserved = v.Boot, size(1)
				}
				d.Starts = append(d.Starts, s)
			}
		}
		round.Decisions = append(round.Decisions, d)
	}
	return Command{Round: &round}
}

// drawJobs draws up to two unfinished jobs.
func drawJobs(t *rapid.T, f *fixture) []work.JobID {
	var ids []work.JobID
	for _, j := range sortedValues(f.jobs) {
		if !j.finished() {
			ids = append(ids, j.ID)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return rapid.SliceOfN(rapid.SampledFrom(ids), 1, 2).Draw(t, "jobs")
}

// drawTasks draws up to three running tasks.
func drawTasks(t *rapid.T, f *fixture) []work.Task {
	var tasks []work.Task
	for _, w := range sortedValues(f.workers) {
		for _, r := range w.runs {
			tasks = append(tasks, *r.task())
		}
	}
	if len(tasks) == 0 {
		return nil
	}
	return rapid.SliceOfN(rapid.SampledFrom(tasks), 1, 3).Draw(t, "tasks")
}

// Guards against a check that has no effect: each sequence of commands must
// break a rule when its check is disabled, and only then.
func TestEachGuardIsNeeded(t *testing.T) {
	noViolations := func(f *fixture, run func()) bool {
		a := newInvariantChecker(f.State)
		run()
		a.checkGangs(f.State)
		return len(a.violations) == 0
	}
	intent := func(holder string) Command {
		return Command{Intent: &Intent{Team: "a", Entry: "service", Identity: "i", Holder: holder, Deadline: time.Unix(1<<32, 0)}}
	}
	settle := func(holder string, ran Ran, attempt uint64) Command {
		return Command{Settle: &Settle{Team: "a", Entry: "service", Identity: "i", Holder: holder, Ran: ran, Attempt: attempt}}
	}
	for name, c := range map[string]struct {
		guard     guard
		ruleHolds func(f *fixture) bool
	}{
		"capacity": {guardCapacity, func(f *fixture) bool {
			j := f.submit("batch", "a", 3, 2)
			return noViolations(f, func() { f.start(j, 0, "w2", 3); f.start(j, 1, "w2", 3) })
		}},
		"team size": {guardTeamSize, func(f *fixture) bool {
			j := f.submit("batch", "b", 4, 2)
			return noViolations(f, func() { f.start(j, 0, "w1", 4); f.start(j, 1, "w1", 4) })
		}},
		"team tasks": {guardTeamTasks, func(f *fixture) bool {
			j := f.submit("service", "a", 1, 7)
			return noViolations(f, func() {
				for i := range uint32(7) {
					f.start(j, i, "w1", 1)
				}
			})
		}},
		"entry tasks": {guardEntryTasks, func(f *fixture) bool {
			j := f.submit("batch", "a", 1, 6)
			return noViolations(f, func() {
				for i := range uint32(6) {
					f.start(j, i, "w1", 1)
				}
			})
		}},
		"one copy": {guardSingleCopy, func(f *fixture) bool {
			j := f.submit("batch", "a", 1, 1)
			return noViolations(f, func() { f.start(j, 0, "w1", 1); f.start(j, 0, "w2", 1) })
		}},
		"boot": {guardBoot, func(f *fixture) bool {
			j := f.submit("batch", "a", 1, 1)
			f.do(Command{Join: &Join{Worker: work.Worker{Name: "w1", Boot: 2, Capacity: size(8)}, Newer: true}})
			return len(f.start(j, 0, "w1", 1).Rejects) == 1
		}},
		"drained": {guardDrained, func(f *fixture) bool {
			j := f.submit("batch", "a", 1, 1)
			f.do(Command{Drain: &Drain{Worker: "w1", Drained: true}})
			return noViolations(f, func() { f.start(j, 0, "w1", 1) })
		}},
		"gone": {guardGone, func(f *fixture) bool {
			j := f.submit("batch", "a", 1, 1)
			f.do(Command{Depart: &Depart{Worker: "w1", Boot: 1}})
			return noViolations(f, func() { f.start(j, 0, "w1", 1) })
		}},
		"dedicated": {guardDedicated, func(f *fixture) bool {
			j := f.submit("service", "a", 1, 1)
			return noViolations(f, func() { f.start(j, 0, "w3", 1) })
		}},
		"atomic": {guardAtomic, func(f *fixture) bool {
			j := f.submit("gang", "b", 2, 2)
			return noViolations(f, func() { f.startAll(true, newStart(j, 0, "w1", 2), newStart(j, 1, "w2", 5)) })
		}},
		"token": {guardToken, func(f *fixture) bool {
			j := f.submit("batch", "a", 1, 1)
			f.start(j, 0, "w1", 1)
			old := f.jobs[j].Tasks[0]
			f.end(j, 0, work.OutcomeFailed)
			f.start(j, 0, "w2", 1)
			f.do(Command{Ends: &Ends{Ends: []work.End{{Task: old.ID, Token: old.Token, Outcome: work.OutcomeFailed}}}})
			return f.jobs[j].Tasks[0].State == work.TaskStarted
		}},
		"base": {guardBaseVersion, func(f *fixture) bool {
			f.do(Command{Team: &TeamChange{Base: 1, Team: work.Team{Name: "a", Weight: 7}}})
			f.do(Command{Team: &TeamChange{Base: 1, Team: work.Team{Name: "a", Weight: 9}}})
			return f.teams["a"].Weight == 7
		}},
		"resend": {guardDuplicateRequest, func(f *fixture) bool {
			c := Command{Request: "r", Submit: &Submit{Job: work.Job{Entry: "batch", Team: "a", Size: size(1)}, Count: 1}}
			f.do(c)
			f.do(c)
			return len(f.jobs) == 1
		}},
		"newer boot": {guardNewerBoot, func(f *fixture) bool {
			j := f.submit("batch", "a", 1, 1)
			f.do(Command{Join: &Join{Worker: work.Worker{Name: "w1", Boot: 2, Capacity: size(8)}, Newer: true}})
			f.startAll(false, work.Start{Task: work.TaskID{Job: j}, Worker: "w1", Boot: 2, Reserved: size(1)})
			f.do(Command{Join: &Join{Worker: work.Worker{Name: "w1", Boot: 1, Capacity: size(8)}}})
			return f.jobs[j].Tasks[0].State == work.TaskStarted
		}},
		"joined": {guardMembership, func(f *fixture) bool {
			v, _ := f.Worker("w1")
			f.do(Command{Depart: &Depart{Worker: "w1", Boot: 1, Joined: v.Joined}})
			f.do(Command{Join: &Join{Worker: v.Worker}})
			f.do(Command{Depart: &Depart{Worker: "w1", Boot: 1, Joined: v.Joined}})
			return !f.workers["w1"].Gone
		}},
		"term": {guardTerm, func(f *fixture) bool {
			f.do(Command{Term: 2, Lead: &Lead{}})
			f.do(Command{Term: 1, Depart: &Depart{Worker: "w1", Boot: 1}})
			return !f.workers["w1"].Gone
		}},
		"sequence of sessions": {guardSequence, func(f *fixture) bool {
			f.do(Command{Session: &Session{Entry: "e1", Boot: 1, Sequence: 2, Held: held(5)}})
			f.do(Command{Session: &Session{Entry: "e1", Boot: 1, Sequence: 1, Held: held(1)}})
			f.do(Command{Session: &Session{Entry: "e1", Boot: 1, Sequence: 1, Ended: true}})
			return f.sessions["e1"].Held.Of("a", 9) == 5 && f.sessions["e1"].Ended.IsZero()
		}},
		"holdings after a leader that does not record them": {guardHoldings, func(f *fixture) bool {
			f.do(Command{Session: &Session{Entry: "e1", Boot: 1, Sequence: 1, Held: held(1)}})
			f.do(Command{Term: 1, Lead: &Lead{Holdings: true}})
			known := f.sessions["e1"].Held.Of("a", 9) == 1
			f.do(Command{Term: 2, Lead: &Lead{}})
			return known && f.sessions["e1"].Held.Of("a", 9) == 9
		}},
		"holdings of former processes": {guardFormer, func(f *fixture) bool {
			for boot := range uint64(3) {
				f.do(Command{Session: &Session{Entry: "e1", Boot: 1 + boot, Sequence: 1, Held: held(2)}})
			}
			recent := f.sessions["e1"].FormerHeld.Of("a", 9)
			f.now = f.now.Add(formerRetention)
			f.do(Command{Session: &Session{Entry: "e1", Boot: 4, Sequence: 1, Held: held(2)}})
			return recent == 4 && f.sessions["e1"].FormerHeld.Of("a", 9) == 2
		}},
		"intent": {guardIntent, func(f *fixture) bool {
			f.do(intent("e1"))
			return f.do(intent("e2")).Code == Duplicate
		}},
		"holder": {guardHolder, func(f *fixture) bool {
			f.do(intent("e1"))
			return f.do(settle("e2", RanYes, 0)).Code == Denied
		}},
		"attempt": {guardAttempt, func(f *fixture) bool {
			old := f.do(intent("e1")).Attempt
			f.do(settle("e1", RanNo, old))
			f.do(intent("e1"))
			f.do(settle("e1", RanNo, old)) // a delayed duplicate
			return f.do(intent("e2")).Code == Duplicate
		}},
		"withdrawn": {guardWithdrawn, func(f *fixture) bool {
			k := work.Key{Name: "k", Team: "a", Role: work.CallerRole, Digest: [32]byte{1}}
			v := f.do(Command{Key: &KeyChange{Key: k}}).Version
			k.Withdrawn = true
			v = f.do(Command{Key: &KeyChange{Base: v, Key: k}}).Version
			k.Withdrawn = false
			f.do(Command{Key: &KeyChange{Base: v, Key: k}})
			return f.keys["k"].Withdrawn
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(c.ruleHolds(newFixture())) // check enabled
			f := newFixture()
			f.disabled = c.guard
			is.True(!c.ruleHolds(f)) // check disabled
		})
	}
}

// Guards against a job that fails because its workers were lost, a failing job
// that is retried forever, and a failed service that is not restarted.
func TestFailuresAreBoundedAndLossesDoNotCount(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	batch, service := f.submit("batch", "a", 1, 1), f.submit("service", "a", 1, 1)
	for range 10 {
		is.Equal(len(f.start(batch, 0, "w1", 1).Rejects), 0)
		f.end(batch, 0, work.OutcomeLost)
		is.Equal(len(f.start(service, 0, "w1", 1).Rejects), 0)
		f.end(service, 0, work.OutcomeFailed)
	}
	for range maxTaskFailures {
		is.Equal(f.jobs[batch].State, work.JobRunning)
		f.start(batch, 0, "w1", 1)
		f.end(batch, 0, work.OutcomeFailed)
	}
	is.Equal(f.jobs[batch].State, work.JobFailed)
	is.Equal(f.jobs[service].Tasks[0].State, work.TaskQueued)
}

// Guards against a gang that keeps running without a lost member: the other
// members must be stopped, and one that had succeeded must run again.
func TestGangThatLosesAMemberStartsAgainAsAWhole(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	j := f.submit("gang", "b", 1, 3)
	starts := []work.Start{newStart(j, 0, "w1", 1), newStart(j, 1, "w2", 1), newStart(j, 2, "w1", 1)}
	is.Equal(len(f.startAll(true, starts[:2]...).Rejects), 1) // incomplete without the third member
	is.Equal(len(f.startAll(true, starts...).Rejects), 0)
	f.end(j, 0, work.OutcomeSucceeded)
	f.do(Command{Depart: &Depart{Worker: "w2", Boot: 1}})
	is.Equal(f.jobs[j].Tasks[0].State, work.TaskQueued)
	is.Equal(f.jobs[j].Tasks[2].State, work.TaskStopping)
	f.end(j, 2, work.OutcomeSucceeded)
	is.Equal(f.jobs[j].queued, 3)
	is.Equal(f.jobs[j].Failures, uint32(0))
}

// Guards against records that are never dropped or are dropped too early.
func TestExpireDropsOnlyWhatIsDue(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	j := f.submit("batch", "a", 1, 1)
	f.do(Command{Cancel: &Cancel{Jobs: []work.JobID{j}}})
	f.do(Command{Intent: &Intent{Team: "a", Entry: "service", Identity: "i", Holder: "e", Deadline: f.now.Add(2 * time.Hour)}})
	f.do(Command{Depart: &Depart{Worker: "w2", Boot: 1}})
	f.now = f.now.Add(jobRetention - 10*time.Second)
	is.True(!f.HasExpired(f.now))
	is.Equal(f.do(Command{Expire: &Expire{}}).Count, 0)
	f.now = f.now.Add(20 * time.Second)
	is.True(f.HasExpired(f.now))
	is.Equal(f.do(Command{Expire: &Expire{}}).Count, 2) // the job and the worker
	f.now = f.now.Add(time.Hour)
	is.Equal(f.do(Command{Expire: &Expire{}}).Count, 1)
	is.Equal(len(f.jobs)+len(f.intents), 0)
}

// Guards against stored answers that use unbounded memory, and against a total
// size that is wrong after records have expired.
func TestAnswersOfIntentsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	settle := func(id string, n int) *Settle {
		f.do(Command{Intent: &Intent{Team: "a", Entry: "service", Identity: id, Holder: "e", Deadline: f.now.Add(time.Hour)}})
		f.do(Command{Settle: &Settle{Team: "a", Entry: "service", Identity: id, Holder: "e", Ran: RanYes, Body: make([]byte, n), Whole: true}})
		r, _ := f.Intent("a", "service", id)
		return r.Settle
	}
	is.True(settle("fits", maxAnswerBytes).Whole)
	is.True(!settle("large", maxAnswerBytes+1).Whole)
	f.answerBytes += maxTotalAnswerBytes - 2*maxAnswerBytes
	is.True(settle("last", maxAnswerBytes).Whole)
	is.True(!settle("full", 1).Whole)
	f.answerBytes -= maxTotalAnswerBytes - 2*maxAnswerBytes
	f.now = f.now.Add(time.Hour)
	is.Equal(f.do(Command{Expire: &Expire{}}).Count, 4)
	is.Equal(f.answerBytes, 0)
}

// Guards against accepting jobs that can never run, and refusing jobs that can.
func TestSubmissionsThatCanNeverRun(t *testing.T) {
	is := is.New(t)
	submit := func(f *fixture, entry string, n int64, count uint32) Code {
		return f.do(Command{Submit: &Submit{Job: work.Job{Entry: entry, Team: "b", Size: size(n)}, Count: count}}).Code
	}
	f := newFixture()
	is.Equal(submit(f, "gang", 6, 1), OK)
	is.Equal(submit(f, "gang", 7, 1), Infeasible) // the team's limit
	is.Equal(submit(f, "gang", 3, 3), Infeasible) // the whole gang is over the limit
	is.Equal(submit(f, "service", 1, 1), Denied)
	f.do(Command{Team: &TeamChange{Base: 2, Team: work.Team{Name: "b", Weight: 1}}})
	is.Equal(submit(f, "gang", 9, 1), Infeasible) // the largest worker
	empty := newFixture()
	empty.shapes = map[shape]int{}
	is.Equal(submit(empty, "batch", 6, 1), OK) // no worker is known
}

// Guards against an entry VM that misses a catalogue change or gets one twice.
func TestCatalogueChangesSinceAVersion(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for i := range uint64(300) { // enough to compact the list of changes
		base := uint64(1)
		if i > 0 {
			base = f.version
		}
		is.Equal(f.do(Command{Team: &TeamChange{Base: base, Team: work.Team{Name: "a", Weight: int64(i + 1)}}}).Code, OK)
	}
	c, ok := f.CatalogueSince(4, 10)
	is.True(ok)
	is.Equal(len(c.Teams), 1)
	is.Equal(c.Teams[0].Weight, int64(300))
	is.Equal(len(c.Entries), 1)
	_, ok = f.CatalogueSince(0, 3)
	is.True(!ok) // too many
	_, ok = f.CatalogueSince(f.version+1, 10)
	is.True(!ok) // later than the current version
}

// Guards against tasks that start beyond the capacity of a worker that has shrunk below
// what runs on it: the smaller capacity was refused and the larger one stayed in use.
func TestShrunkenWorkerGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	j := f.submit("batch", "a", 2, 3)
	f.start(j, 0, "w1", 4)
	f.start(j, 1, "w1", 2)
	is.Equal(f.do(Command{Join: &Join{Worker: work.Worker{Name: "w1", Boot: 1, Capacity: size(5)}}}).Code, OK)
	b, err := f.Snapshot()
	is.NoErr(err)
	is.NoErr(f.Restore(b))
	is.Equal(len(f.start(j, 2, "w1", 1).Rejects), 1)
	is.Equal(f.jobs[j].Tasks[0].State, work.TaskStarted) // it goes on
	f.end(j, 1, work.OutcomeSucceeded)
	is.Equal(len(f.start(j, 2, "w1", 1).Rejects), 0)
}

// Guards against a job that fails because all workers, idle ones as well, lost power again
// and again.
func TestBootsOfAllWorkersFailNoJob(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	names := []string{"w1", "w2", "w3"}
	long := f.submit("batch", "a", 1, 1)
	for boot := uint64(1); boot <= 5; boot++ {
		for _, n := range names {
			is.Equal(f.do(Command{Join: &Join{Newer: true, Worker: work.Worker{Name: n, Boot: boot, Capacity: size(8)}}}).Code, OK)
		}
		s := newStart(long, 0, "w1", 1)
		s.Boot = boot
		is.Equal(len(f.startAll(false, s).Rejects), 0)
		b, err := f.Snapshot()
		is.NoErr(err)
		is.NoErr(f.Restore(b))
	}
	is.Equal(f.jobs[long].State, work.JobRunning)
}

// Guards against a task that crashes one worker after another, and against failing the
// jobs that ran beside it.
func TestTaskThatCrashesWorkersFailsItsJob(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	beside, killer := f.submit("batch", "a", 1, 1), f.submit("batch", "a", 1, 2)
	unsent := work.TaskID{Job: killer, Index: 1}
	for boot := uint64(2); boot <= 4; boot++ {
		is.Equal(f.jobs[killer].State != work.JobFailed, true)
		for _, s := range []work.TaskID{{Job: beside}, {Job: killer}, unsent} {
			s := newStart(s.Job, s.Index, "w1", 1)
			s.Boot = boot - 1
			is.Equal(len(f.startAll(false, s).Rejects), 0)
		}
		b, err := f.Snapshot()
		is.NoErr(err)
		is.NoErr(f.Restore(b))
		is.Equal(f.do(Command{Join: &Join{Newer: true, Unsent: []work.TaskID{unsent}, Worker: work.Worker{Name: "w1", Boot: boot, Capacity: size(8)}}}).Code, OK)
	}
	is.Equal(f.jobs[killer].State, work.JobFailed)
	is.Equal(f.jobs[killer].Reason, "workers crashed under a task")
	is.Equal(f.jobs[beside].State, work.JobRunning)
}
