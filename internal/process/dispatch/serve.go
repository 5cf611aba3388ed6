package dispatch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Register registers the handlers of the methods that the leader serves.
func (d *Dispatcher) Register(mux peer.Mux) {
	mux.Handle(cell.MethodWho, func(context.Context, string, peer.Decode) (any, error) { return d.who() })
	mux.Handle(cell.MethodPing, whileLeading(d, func(t *term, _ context.Context, name string, _ *cell.Ping) (cell.Leader, bool) {
		return t.ping(name), true
	}))
	mux.Handle(cell.MethodCall, whileLeading(d, func(t *term, ctx context.Context, _ string, c *cell.Call) (cell.Verdict, bool) {
		return t.call(ctx, c)
	}))
	mux.Handle(cell.MethodApply, whileLeading(d, func(t *term, ctx context.Context, _ string, c *job.Catalogue) (cell.Verdict, bool) {
		return t.apply(ctx, c)
	}))
	mux.Handle(cell.MethodRead, whileLeading(d, func(t *term, _ context.Context, name string, _ *cell.Who) (cell.Document, bool) {
		return t.read(name), true
	}))
	mux.Handle(cell.MethodReports, whileLeading(d, func(t *term, ctx context.Context, _ string, r *[]cell.Report) (cell.Receipts, bool) {
		return t.reports(ctx, *r), true
	}))
	mux.Handle(cell.MethodLeave, whileLeading(d, func(t *term, _ context.Context, _ string, m *cell.Leave) (cell.Receipt, bool) {
		t.leave(m)
		return cell.Receipt{Leader: d.options.Name}, true
	}))
	mux.Handle(cell.MethodMaintain, whileLeading(d, func(t *term, ctx context.Context, _ string, w *job.Wave) (cell.Verdict, bool) {
		return t.addWave(ctx, w)
	}))
	mux.Handle(cell.MethodLoad, whileLeading(d, func(t *term, _ context.Context, _ string, _ *cell.Who) (api.CellLoad, bool) {
		return t.cellLoad()
	}))
	mux.Handle(cell.MethodWave, whileLeading(d, func(t *term, _ context.Context, _ string, number *int64) (cell.Verdict, bool) {
		return t.waveState(*number), true
	}))
	mux.Handle(cell.MethodEvacuate, whileLeading(d, func(t *term, ctx context.Context, _ string, e *cell.Evacuation) (cell.Verdict, bool) {
		return t.evacuate(ctx, e)
	}))
	mux.Handle(cell.MethodEvacuations, whileLeading(d, func(t *term, _ context.Context, _ string, _ *cell.Who) (cell.Evacuations, bool) {
		return t.evacuations(), true
	}))
}

// whileLeading returns a handler that serves a method while this process leads.
// The answer is sent only if the term still holds after it was computed, so
// that it is not older than what another leader has committed. A request that carries a
// stamp is served only while it is valid.
func whileLeading[Q, A any](d *Dispatcher, serve func(t *term, ctx context.Context, name string, request *Q) (A, bool)) peer.Handler {
	return func(ctx context.Context, name string, decode peer.Decode) (any, error) {
		var request Q
		if err := decode(&request); err != nil {
			return nil, &peer.RemoteError{Code: peer.CodeMalformed, Message: err.Error()}
		}
		t := d.current.Load()
		if t == nil {
			return nil, d.notLeaderError()
		}
		if s, ok := any(&request).(stamped); ok {
			if err := t.checkStamp(s.Validity()); err != nil {
				return nil, err
			}
		}
		answer, ok := serve(t, ctx, name, &request)
		if leading := t.isLeading(); !ok || !leading {
			if !leading {
				t.emit(event.AnswerWithheld, zap.Uint64("term", t.number), zap.String("peer", name))
			}
			return nil, &peer.RemoteError{Code: cell.CodeUnsettled, Message: "the outcome is not known"}
		}
		return answer, nil
	}
}

// who names the leader. This process names itself only while it can answer
// calls, so that other processes do not poll it in the meantime.
func (d *Dispatcher) who() (any, error) {
	a := cell.Leader{Members: d.options.Members()}
	a.Name, _ = d.options.Log.Leader()
	if a.Name == d.options.Name {
		if t := d.current.Load(); t == nil || !t.isLeading() {
			a.Name = ""
		} else {
			a.Mark = t.mark()
		}
	}
	return a, nil
}

// call serves a call from a caller.
func (t *term) call(ctx context.Context, c *cell.Call) (cell.Verdict, bool) {
	var v cell.Verdict
	var target callTarget
	t.state().View(func(view *job.View) { v = t.lookup(view, c, &target) })
	switch {
	case c.Verb == cell.Submit:
		return t.submit(ctx, c, &target, v)
	case v.Code != cell.OK:
		return t.logRefusal(c, target.id, v), true
	case c.Verb == cell.Cancel:
		return t.cancel(ctx, c, &target)
	}
	return v, true
}

// callTarget is the queue, workspace and job that a call is about.
type callTarget struct {
	queue     job.Queue
	host      string // that the caller asked for
	id        job.ID
	workspace string
	exists    bool
	taken     bool // another queue's job has the ID
	status    job.Status
}

// lookup finds the queue, the workspace and the job of a call. Its verdict is
// the answer to calls that only read.
func (t *term) lookup(v *job.View, c *cell.Call, target *callTarget) cell.Verdict {
	target.host = c.Host
	if v.Catalogue == nil {
		return cell.Verdict{Code: cell.NoCatalogue, Wait: time.Second}
	}
	q := v.Catalogue.Find(c.Host, c.Path)
	if q == nil {
		return cell.Verdict{Code: cell.NoQueue}
	}
	c.Host = q.Host // all copies of a submission are known by it
	target.queue, target.id = *q, job.ID(c.Path[len(q.Prefix):])
	workspace, ok := workspaceOfKey(v.Catalogue, c.Key)
	if !ok && !q.Public {
		return cell.Verdict{Code: cell.BadKey}
	}
	target.workspace = workspace
	if target.id == "" {
		return cell.Verdict{Code: cell.OK, Queue: true, Pending: v.Pending(q.Host, q.Prefix)}
	}
	r, taken := findJob(v, target.host, c.Path, target.id)
	if target.taken = taken; r != nil {
		target.id, target.exists, target.status = r.Job.ID, true, r.Status
	}
	if c.Verb != cell.Submit && c.Verb != cell.Cancel && !target.exists {
		return cell.Verdict{Code: cell.NoJob}
	}
	return cell.Verdict{Code: cell.OK, State: target.status}
}

// findJob returns the job that was submitted with a path, of which the part after the prefix of its queue is the
// ID now, or nil. It also reports whether a job that was submitted with another path has the ID. Tasks are
// named by the ID alone, so that a further job cannot have it.
func findJob(v *job.View, host, path string, id job.ID) (r *job.Record, taken bool) {
	if r = v.Jobs[id]; r != nil && hasPath(r, host, path) {
		return r, false
	}
	taken = r != nil
	return findByPath(v, host, path), taken // its own queue may be removed, so that an outer one matches its path now
}

// hasPath reports whether a job was submitted with a path.
func hasPath(r *job.Record, host, path string) bool {
	return job.HostMatches(r.Job.Host, host) && r.Job.Prefix+string(r.Job.ID) == path
}

// findByPath returns the job that was submitted with a path, or nil. Its queue may have left
// the catalogue since.
func findByPath(v *job.View, host, path string) *job.Record {
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if r := v.Jobs[job.ID(path[i+1:])]; r != nil && hasPath(r, host, path) {
			return r
		}
	}
	return nil
}

// workspaceOfKey returns the name of the workspace that has a key.
func workspaceOfKey(c *job.Catalogue, key string) (string, bool) {
	if key == "" {
		return "", false
	}
	for i := range c.Workspaces {
		if slices.Contains(c.Workspaces[i].Keys, key) {
			return c.Workspaces[i].Name, true
		}
	}
	return "", false
}

func (t *term) cancel(ctx context.Context, c *cell.Call, target *callTarget) (cell.Verdict, bool) {
	if !target.exists {
		return t.withdraw(ctx, c, target)
	}
	if target.status.Final() {
		return cell.Verdict{Code: cell.OK, State: target.status}, true
	}
	t.mu.Lock()
	committed := t.enqueue(func(n *inbox) { n.cancels = append(n.cancels, target.id) })
	t.mu.Unlock()
	if !t.awaitCommit(ctx, committed) {
		return cell.Verdict{}, false
	}
	t.emit(event.JobCancelled, zap.String("request", c.Request), zap.String("job", string(target.id)))
	return cell.Verdict{Code: cell.OK, State: job.Cancelled}, true
}

// withdrawWait is the time after which a caller may cancel again whose cancellation was
// refused because too many unknown jobs are cancelled.
const withdrawWait = time.Second

// withdraw serves the cancellation of a job that is not known. Copies of its submission may
// still be under way, which are refused from now on, by the next leaders too.
func (t *term) withdraw(ctx context.Context, c *cell.Call, target *callTarget) (cell.Verdict, bool) {
	if target.id.Check() != nil || target.taken {
		return cell.Verdict{Code: cell.NoJob}, true
	}
	t.mu.Lock()
	committed := t.enqueue(func(n *inbox) {
		n.withdrawn = append(n.withdrawn, job.Withdrawal{ID: target.id, Workspace: target.workspace})
	})
	t.mu.Unlock()
	if !t.awaitCommit(ctx, committed) {
		return cell.Verdict{}, false
	}
	v := cell.Verdict{Code: cell.Busy, Message: "too many cancellations of unknown jobs", Wait: withdrawWait}
	t.state().View(func(view *job.View) {
		switch r := view.Jobs[target.id]; {
		case r != nil: // a copy was accepted just before
			v = cell.Verdict{Code: cell.OK, State: r.Status}
		case view.Withdrawn(target.id):
			v = cell.Verdict{Code: cell.NoJob}
		}
	})
	t.emit(event.JobWithdrawn, zap.String("request", c.Request), zap.String("job", string(target.id)), zap.Stringer("code", v.Code))
	return v, true
}

// apply puts an operator's catalogue into effect. A catalogue that is not newer
// than the current one is acknowledged and changes nothing.
func (t *term) apply(ctx context.Context, c *job.Catalogue) (cell.Verdict, bool) {
	if err := holds(job.Round{Catalogue: c}, maxCatalogue); err != nil {
		t.emit(event.CatalogueRefused, zap.Uint64("version", c.Version), event.Cause(err))
		return cell.Verdict{Code: cell.Invalid, Message: err.Error()}, true
	}
	for applied := false; ; applied = true {
		current := uint64(0)
		t.state().View(func(v *job.View) {
			if v.Catalogue != nil {
				current = v.Catalogue.Version
			}
		})
		if current >= c.Version {
			if !applied {
				t.emit(event.CatalogueKept, zap.Uint64("version", c.Version), zap.Uint64("current", current))
			}
			return cell.Verdict{Code: cell.OK}, true
		}
		t.mu.Lock()
		if n := t.inbox.catalogue; n != nil && n.Version >= c.Version {
			c = n // a catalogue that is at least as new already waits for the round
		}
		committed := t.enqueue(func(n *inbox) { n.catalogue = c })
		t.mu.Unlock()
		if !t.awaitCommit(ctx, committed) {
			return cell.Verdict{}, false
		}
		t.emit(event.CatalogueInForce, zap.Uint64("version", c.Version), zap.Int("queues", len(c.Queues)),
			zap.Int("workspaces", len(c.Workspaces)))
	}
}

// read returns the catalogue in force to the process that asks for it.
func (t *term) read(name string) cell.Document {
	var d cell.Document
	t.state().View(func(v *job.View) {
		if v.Catalogue != nil {
			d = cell.Document{Version: v.Catalogue.Version, Body: v.Catalogue.Document}
		}
	})
	t.emit(event.CatalogueRead, zap.Uint64("version", d.Version), zap.Uint64("term", t.number), zap.String("peer", name))
	return d
}

// spreadWorkers is the number of workers from which on their reports stay with the
// processes that receive them first, which pass them on together.
const spreadWorkers = 150

// reports processes workers' reports about themselves. It waits until the
// resulting changes are committed.
func (t *term) reports(ctx context.Context, list []cell.Report) cell.Receipts {
	a := cell.Receipts{Leader: t.dispatcher.options.Name, Taken: make([]bool, len(list))}
	commits := make([]<-chan bool, len(list))
	refused := make([]bool, len(list))
	t.mu.Lock()
	for i := range list {
		if err := list[i].Check(); err != nil {
			t.emit(event.WorkerReport, event.Cause(err)) // passed on by a process of another build
			refused[i] = true
			continue
		}
		commits[i] = t.handleReport(&list[i])
	}
	a.Spread = len(t.workers) >= spreadWorkers
	t.mu.Unlock()
	for i, c := range commits {
		a.Taken[i] = !refused[i] && (c == nil || t.awaitCommit(ctx, c))
	}
	return a
}

// handleReport applies a worker's report. It returns a channel to wait on if a
// change has to be committed.
func (t *term) handleReport(r *cell.Report) <-chan bool {
	now := t.now()
	w := t.workers[r.Worker.ID]
	switch {
	case w != nil && r.Worker.Life < w.Life, w != nil && r.Worker.Life == w.Life && r.Sequence <= w.Sequence:
		return nil // out of order
	case w != nil && r.Worker.Life > w.Life:
		t.checkClaim(w, r)
		return nil
	}
	if w == nil {
		return t.addWorker(r, now)
	}
	w.Sequence, w.lastSeen, w.heardAt, w.brokeAt = r.Sequence, now, now, time.Time{}
	w.updateClock(r.Clock, now)
	changed := t.resize(w, &r.Worker)
	changed = t.noteCold(w, r) || changed
	if w.owesListing() || t.owesAcknowledgement(w) {
		// The worker can send again; a listing tells whether it answers orders.
		t.requestListing(w)
	}
	if r.Worker.Draining && !w.Draining {
		changed = true
		w.Draining, w.drainDeadline = true, now.Add(time.Duration(r.Remaining)*time.Millisecond)
		t.emit(event.WorkerLeaving, zap.String("worker", w.ID), zap.Int("runs", len(w.runs)), zap.Int64("remaining", r.Remaining))
	}
	if !changed {
		return nil
	}
	return t.enqueue(func(n *inbox) { n.workers = append(n.workers, w.Worker) })
}

// resize takes over what a worker says of its capacity and its labels, which may change
// while it runs. It reports whether they have changed.
func (t *term) resize(w *worker, reported *job.Worker) bool {
	labels, rack := reported.Labels, reported.Rack
	if labels == nil {
		labels, rack = w.Labels, w.Rack
	}
	if w.Capacity == reported.Capacity && slices.Equal(w.Labels, labels) {
		return false
	}
	t.emit(event.WorkerResized, zap.String("worker", w.ID), zap.Any("capacity", reported.Capacity), zap.Any("before", w.Capacity),
		zap.Strings("labels", labels), zap.Int("runs", len(w.runs)))
	w.shrank = w.shrank || !w.Capacity.Fits(reported.Capacity)
	w.Capacity, w.Labels, w.Rack, w.stale = reported.Capacity, labels, rack, true
	return true
}

// overcommitted reports whether what runs on a worker, or may run there, takes more than
// its capacity.
func (t *term) overcommitted(w *worker) bool {
	over := false
	t.state().View(func(v *job.View) { over = !(work.Resources{}).Fits(t.load(v, w).Free) })
	return over
}

// addWorker registers a worker on the first report of its incarnation.
func (t *term) addWorker(r *cell.Report, now time.Time) <-chan bool {
	w := newWorker(r.Worker, now)
	w.knownAt = now
	w.Sequence, w.heardAt = r.Sequence, now
	w.updateClock(r.Clock, now)
	w.Warm = warmAt(r)
	t.emitCold(w)
	if w.Draining {
		w.drainDeadline = now.Add(time.Duration(r.Remaining) * time.Millisecond)
	}
	t.setGeneration(w)
	t.checkFormers(w)
	t.noteZone(w)
	t.workers[w.ID], t.sorted = w, nil
	t.returnWorker(w)
	t.settleDoubts(w)
	t.requestListing(w) // it gets tasks once it has shown what it runs
	t.emit(event.WorkerKnown, zap.String("worker", w.ID), zap.Int64("life", int64(w.Life)), zap.String("pool", w.Pool),
		zap.Stringer("address", w.Address), zap.String("rack", w.Rack))
	return t.enqueue(func(n *inbox) { n.workers = append(n.workers, w.Worker) })
}

// checkFormers looks at the workers that had the address of a new one, if any. Their own
// late reports must not remove the new one.
func (t *term) checkFormers(w *worker) {
	for _, o := range t.workers {
		if o.ID != w.ID && o.Address == w.Address && o.Life < w.Life {
			t.checkFormer(o)
		}
	}
}

// returnWorker takes back the removal of an incarnation that reports itself again, as
// one that was silent does. A round applies removals last, and the state may know
// orphans of it.
func (t *term) returnWorker(w *worker) {
	t.inbox.gone = slices.DeleteFunc(t.inbox.gone, func(g job.Worker) bool { return g.ID == w.ID && g.Life == w.Life })
	t.state().View(func(v *job.View) { t.adoptOrphans(w.ID, v.Orphans[w.ID], t.fence(w)) })
}

// leave records that a worker announced its termination.
func (t *term) leave(m *cell.Leave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[m.Worker]
	if w == nil || m.Life != 0 && m.Life != w.Life || !w.leavesAt.IsZero() {
		return
	}
	w.leavesAt = t.now().Add(leaveGracePeriod)
}
