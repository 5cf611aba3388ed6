package job

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func (m *machine) withdraw(id ID, workspace string) {
	m.is.Helper()
	m.apply(Round{Withdrawn: []Withdrawal{{ID: id, Workspace: workspace}}})
}

func (m *machine) withdrawn(id ID) bool {
	yes := false
	m.state.View(func(v *View) { yes = v.Withdrawn(id) })
	return yes
}

// Guards against a job that is accepted after its cancellation was acknowledged, also in
// the same round, or by a replica that restores a snapshot (rule UNASKED).
func TestWithdrawnJobIsNotAccepted(t *testing.T) {
	m := newMachine(is.New(t))
	m.withdraw("one", "depot")
	m.submit("one", singleTask)
	m.is.Equal(m.record("one").Job.ID, ID(""))
	m.apply(Round{
		Submits:   []Job{{ID: "two", Host: "h", Prefix: "/s/", Steps: []Step{singleTask}}},
		Withdrawn: []Withdrawal{{ID: "two"}},
	})
	m.is.Equal(m.record("two").Job.ID, ID(""))
	m.submit("three", singleTask)
	m.withdraw("three", "depot") // a copy was accepted before
	m.is.Equal(m.record("three").Status, Cancelled)
	m.is.True(!m.withdrawn("three"))

	b, err := m.state.Snapshot()
	m.is.NoErr(err)
	m.is.NoErr(m.state.Restore(b))
	m.submit("one", singleTask)
	m.is.Equal(m.record("one").Job.ID, ID(""))
	again, err := m.state.Snapshot()
	m.is.NoErr(err)
	m.is.Equal(again, b)
}

// Guards against withdrawn IDs that are kept for ever, or dropped while a copy may come.
func TestWithdrawalsEnd(t *testing.T) {
	m := newMachine(is.New(t))
	m.withdraw("one", "depot")
	m.apply(Round{Lead: true, Forget: m.now.Add(time.Second)}) // finished jobs are hardly kept
	m.is.True(m.withdrawn("one"))
	m.now = m.now.Add(minWithdrawn)
	m.apply(Round{Lead: true, Forget: m.now})
	m.is.True(m.withdrawn("one"))
	m.now = m.now.Add(time.Second)
	m.apply(Round{Lead: true, Forget: m.now.Add(-2 * minWithdrawn)})
	m.is.True(m.withdrawn("one"))
	m.apply(Round{Lead: true, Forget: m.now})
	m.is.True(!m.withdrawn("one"))
	m.submit("one", singleTask)
	m.is.Equal(m.record("one").Status, Queued)
}

// Guards against memory that grows with cancellations of unknown jobs, and against one
// workspace whose cancellations keep others from theirs.
func TestWithdrawalsAreBounded(t *testing.T) {
	m := newMachine(is.New(t))
	var list []Withdrawal
	for i := range maxWorkspaceWithdrawn + 1 {
		list = append(list, Withdrawal{ID: ID(fmt.Sprint(i)), Workspace: "depot"})
	}
	m.apply(Round{Withdrawn: list})
	m.is.True(m.withdrawn("0"))
	m.is.True(!m.withdrawn(ID(fmt.Sprint(maxWorkspaceWithdrawn))))
	m.withdraw("other", "shop")
	m.is.True(m.withdrawn("other"))
	m.withdraw("", "shop")
	m.is.True(!m.withdrawn(""))
}

// Guards against IDs that a round could hold and not decode.
func TestIDs(t *testing.T) {
	is := is.New(t)
	is.NoErr(ID("5c0e7a21d94b36f8").Check())
	for _, id := range []ID{"", "a.b", "a/b", "caf\xe9", ID(fmt.Sprintf("%0200d", 1))} {
		is.True(id.Check() != nil)
	}
}

// Guards against a replica that does not start because a job which an earlier build accepted
// is beyond a limit of this one.
func TestSnapshotWithAJobOfAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	j := Job{ID: ID(fmt.Sprintf("%0200d", 1)), Host: "h", Prefix: "/s/", Payload: strings.Repeat("x", maxPayload+1), Steps: []Step{{Count: 1}}}
	is.True(j.Check() != nil)
	m := newMachine(is)
	m.apply(Round{Submits: []Job{j}})
	b, err := m.state.Snapshot()
	is.NoErr(err)
	is.NoErr(m.state.Restore(b))
	is.Equal(m.record(j.ID).Job.ID, j.ID)
	id, err := ParseTask(string(j.ID) + ".0.0.0")
	is.NoErr(err)
	is.Equal(id.Job, j.ID)
}
