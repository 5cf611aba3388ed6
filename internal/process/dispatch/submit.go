package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
)

// forgottenWait is the time after which a caller may try again whose submission may be a
// copy of a refused one. It is above the uncertainty about when it was issued.
const forgottenWait = time.Second

// A submission may reach the leader in several copies: its process sends it again when a
// connection breaks, and the caller may do so through another process. All copies get
// answers that agree: what one of them has put into a round is not refused to another, and
// what was refused to one is refused to all that were issued before. A caller that tries
// again after the refusal is decided on anew.

// callKey identifies a submission across its copies, whatever queue its path belongs to.
func callKey(host, path string) string { return host + path }

// keyOf returns the callKey of a job's submission.
func keyOf(j *job.Job) string { return callKey(j.Host, j.Prefix+string(j.ID)) }

// refusalKey identifies a submission and the key that came with it, so that a refusal for
// a wrong key does not meet the copies with the right one.
func refusalKey(c *cell.Call) string { return callKey(c.Host, c.Path) + "\x00" + c.Key }

// submit serves a submission. The verdict of lookup says whether its queue and key are
// known.
func (t *term) submit(ctx context.Context, c *cell.Call, target *callTarget, found cell.Verdict) (cell.Verdict, bool) {
	t.mu.Lock()
	v, committed := t.admit(c, target, found)
	t.mu.Unlock()
	if committed == nil {
		return t.logRefusal(c, target.id, v), true
	}
	if !t.awaitCommit(ctx, committed) {
		return cell.Verdict{}, false
	}
	if v := t.outcome(c, target); v.Code != cell.OK {
		return t.logRefusal(c, target.id, v), true
	}
	t.emit(event.JobAccepted, zap.String("request", c.Request), zap.String("job", string(target.id)), zap.String("queue", target.queue.Name),
		zap.String("workspace", target.workspace), zap.Int("steps", len(c.Job.Steps)), zap.Int("tasks", c.Job.Steps[0].Count))
	return cell.Verdict{Code: cell.OK}, true
}

// outcome returns the answer to a submission whose round is committed. The same round may
// have applied a catalogue without the queue, or withdrawn the job. Then another copy may
// still be accepted if it waits for a later round.
func (t *term) outcome(c *cell.Call, target *callTarget) cell.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	stored, taken := false, false
	t.state().View(func(v *job.View) {
		var r *job.Record
		r, taken = findJob(v, target.host, c.Path, target.id)
		stored = r != nil
	})
	switch {
	case stored:
		return cell.Verdict{Code: cell.OK}
	case t.admitted[callKey(c.Host, c.Path)] > 0:
		return cell.Verdict{Code: cell.Unclear}
	}
	v := cell.Verdict{Code: cell.NoQueue}
	if taken {
		v = takenVerdict
	} else if t.withdrawn(target.id) {
		v.Code = cell.Withdrawn
	}
	t.refusals.add(refusalKey(c), v, t.clock())
	return v
}

// takenVerdict is the answer to a submission with the ID of another queue's job.
var takenVerdict = cell.Verdict{Code: cell.Invalid, Message: "a submission to another queue has this ID"}

// admit puts a submission into the next round and returns a channel that receives
// whether the round was committed, or a nil channel and the answer. The caller holds the
// lock, so that no other copy is decided on meanwhile.
func (t *term) admit(c *cell.Call, target *callTarget, found cell.Verdict) (cell.Verdict, <-chan bool) {
	key, now := callKey(c.Host, c.Path), t.clock()
	stored, status := t.findStored(c, target, found)
	accepted := stored || t.admitted[key] > 0
	switch {
	case c.Stamp.Term != 0 && expired(&c.Stamp, now): // this process was paused since checkStamp
		return cell.Verdict{Code: cell.Unclear}, nil
	case found.Code != cell.OK && accepted && c.Resent:
		// An earlier copy was accepted when its queue and key were still known.
		return cell.Verdict{Code: cell.Unclear}, nil
	case found.Code == cell.OK && stored:
		return cell.Verdict{Code: cell.OK, State: status}, nil
	}
	if !accepted && c.Stamp.Term != 0 {
		if v, refused := t.refusals.find(refusalKey(c), c.Stamp.Issued); refused {
			t.refusals.add(refusalKey(c), v, now) // the stamps of other copies may be later
			t.emit(event.CopyRefused, zap.String("request", c.Request), zap.String("job", string(target.id)), zap.Stringer("code", v.Code))
			return v, nil
		}
		if t.refusals.forgotten(c.Stamp.Issued) {
			found = cell.Verdict{Code: cell.Busy, Message: "too many submissions are refused", Wait: forgottenWait}
		}
	}
	j, v := t.check(c, target, found)
	if v.Code == cell.OK && t.admitted[key] == 0 {
		v = t.checkAdmission(j, &target.queue)
		t.noteVerdict(target.queue.Pool, target.workspace, v)
	} else if v.Code == cell.OK {
		j.Beyond = t.excess[key]
		t.emit(event.CopyJoined, zap.String("request", c.Request), zap.String("job", string(target.id)))
	}
	if v.Code != cell.OK {
		t.refusals.add(refusalKey(c), v, now)
		return v, nil
	}
	t.admitted[key]++
	if j.Beyond {
		t.excess[key] = true
	}
	return v, t.enqueue(func(n *inbox) { n.submits = append(n.submits, *j) })
}

// withdrawn reports whether a job was cancelled before it was known.
func (t *term) withdrawn(id job.ID) bool {
	yes := false
	t.state().View(func(v *job.View) { yes = v.Withdrawn(id) })
	return yes
}

// check returns the job of a submission, or the reason why it cannot be accepted.
func (t *term) check(c *cell.Call, target *callTarget, found cell.Verdict) (*job.Job, cell.Verdict) {
	if found.Code != cell.OK {
		return nil, found
	}
	if c.Job == nil {
		return nil, cell.Verdict{Code: cell.Invalid, Message: "no job"}
	}
	if err := target.id.Check(); err != nil {
		return nil, cell.Verdict{Code: cell.Invalid, Message: err.Error()}
	}
	if target.taken {
		return nil, takenVerdict
	}
	if t.withdrawn(target.id) {
		return nil, cell.Verdict{Code: cell.Withdrawn}
	}
	j := *c.Job
	j.ID, j.Host, j.Prefix, j.Workspace = target.id, target.queue.Host, target.queue.Prefix, target.workspace
	j.Beyond = false // the leader decides that; see noteShare
	if err := errors.CombineErrors(errors.CombineErrors(j.Check(), t.checkGangs(&j)), holds(job.Round{Submits: []job.Job{j}}, maxItem)); err != nil {
		return nil, cell.Verdict{Code: cell.Invalid, Message: err.Error()}
	}
	return &j, cell.Verdict{Code: cell.OK}
}

// minNameRoom is the length of the names of workers for which a round has room at least.
const minNameRoom = 64

// checkGangs returns an error if a gang of a job has more members than a round can start together.
func (t *term) checkGangs(j *job.Job) error {
	for i := range j.Steps {
		if s := &j.Steps[i]; s.Gang && s.Count > maxRoundStarts {
			if most := t.maxGang(j.ID); s.Count > most {
				return errors.Newf("step %d: a gang of %d tasks is larger than %d, the most that can start together", i, s.Count, most)
			}
		}
	}
	return nil
}

// maxGang returns the largest number of tasks of a job that a round can start together, with workers' names as
// long as those that are known.
func (t *term) maxGang(id job.ID) int {
	name := minNameRoom
	for _, w := range t.workers {
		name = max(name, len(w.ID))
	}
	return (raft.MaxCommand - roundReserve) / (startSize + len(id) + name)
}

// findStored reports whether the job of a call is stored, and its status. Its queue may
// have left the catalogue.
func (t *term) findStored(c *cell.Call, target *callTarget, found cell.Verdict) (stored bool, status job.Status) {
	t.state().View(func(v *job.View) {
		if r, _ := findJob(v, target.host, c.Path, target.id); r != nil {
			stored, status = true, r.Status
		}
	})
	return stored, status
}

// settleAdmitted forgets the copies in a committed round: the state knows them now, or
// never will. That holds for earlier rounds that were not committed as well, since the
// log keeps the order of a leader's rounds. Other copies may wait for a later round.
func (t *term) settleAdmitted(submits []job.Job) {
	settled := t.unsettled
	t.unsettled = nil
	for i := range submits {
		settled = append(settled, keyOf(&submits[i]))
	}
	for _, key := range settled {
		if t.admitted[key]--; t.admitted[key] <= 0 {
			delete(t.admitted, key)
			delete(t.excess, key)
		}
	}
}

// logRefusal logs a refused submission or key and returns the verdict.
func (t *term) logRefusal(c *cell.Call, id job.ID, v cell.Verdict) cell.Verdict {
	if v.Code == cell.BadKey || c.Verb == cell.Submit && v.Code != cell.OK && v.Code != cell.Unclear {
		t.emit(event.JobRefused, zap.String("request", c.Request), zap.String("job", string(id)), zap.String("path", c.Path),
			zap.Stringer("code", v.Code), zap.String("reason", v.Message), zap.Duration("wait", v.Wait))
	}
	return v
}
