package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Register registers the methods that the leader serves.
func (d *Dispatcher) Register(mux peer.Mux) {
	mux.Handle(cell.MethodWho, func(context.Context, string, peer.Decode) (any, error) { return d.who() })
	mux.Handle(cell.MethodPing, leads(d, func(t *term, _ context.Context, name string, _ *cell.Ping) (cell.Leader, bool) {
		return t.ping(name), true
	}))
	mux.Handle(cell.MethodCall, leads(d, func(t *term, ctx context.Context, _ string, c *cell.Call) (cell.Verdict, bool) {
		return t.call(ctx, c)
	}))
	mux.Handle(cell.MethodApply, leads(d, func(t *term, ctx context.Context, _ string, c *job.Catalogue) (cell.Verdict, bool) {
		return t.apply(ctx, c)
	}))
	mux.Handle(cell.MethodRead, leads(d, func(t *term, _ context.Context, _ string, _ *cell.Who) (cell.Document, bool) {
		return t.read(), true
	}))
	mux.Handle(cell.MethodReport, leads(d, func(t *term, ctx context.Context, _ string, r *cell.Report) (cell.Receipt, bool) {
		return cell.Receipt{Leader: d.options.Name}, t.report(ctx, r)
	}))
	mux.Handle(cell.MethodLeave, leads(d, func(t *term, _ context.Context, _ string, m *cell.Leave) (cell.Receipt, bool) {
		t.leave(m)
		return cell.Receipt{Leader: d.options.Name}, true
	}))
	mux.Handle(cell.MethodUpkeep, leads(d, func(t *term, ctx context.Context, _ string, w *cell.Wave) (cell.Verdict, bool) {
		return t.upkeep(ctx, w)
	}))
	mux.Handle(cell.MethodWave, leads(d, func(t *term, _ context.Context, _ string, number *int64) (cell.Verdict, bool) {
		return t.waveState(*number), true
	}))
}

// leads serves a method while this process leads. The answer leaves only if the
// term still holds once it is made, so that it is not older than what another
// leader has committed.
func leads[Q, A any](d *Dispatcher, serve func(t *term, ctx context.Context, name string, request *Q) (A, bool)) peer.Handler {
	return func(ctx context.Context, name string, decode peer.Decode) (any, error) {
		var request Q
		if err := decode(&request); err != nil {
			return nil, &peer.Remote{Code: peer.CodeMalformed, Message: err.Error()}
		}
		t := d.current.Load()
		if t == nil {
			return nil, d.notLeader()
		}
		answer, ok := serve(t, ctx, name, &request)
		if !ok || !t.within() {
			return nil, &peer.Remote{Code: cell.CodeUnsettled, Message: "the outcome is not known"}
		}
		return answer, nil
	}
}

// who names the leader. This process names itself only while it can answer calls,
// so that nobody asks it again and again meanwhile.
func (d *Dispatcher) who() (any, error) {
	name, _ := d.options.Log.Leader()
	if t := d.current.Load(); name == d.options.Name && (t == nil || !t.within()) {
		name = ""
	}
	return cell.Leader{Name: name, Members: d.options.Members()}, nil
}

// call carries out a caller's call.
func (t *term) call(ctx context.Context, c *cell.Call) (cell.Verdict, bool) {
	var v cell.Verdict
	var place target
	t.state().View(func(view *job.View) { v = t.lookup(view, c, &place) })
	if v.Code != cell.OK {
		return t.logged(c, place.id, v), true
	}
	switch c.Verb {
	case cell.Submit:
		return t.submit(ctx, c, &place)
	case cell.Cancel:
		return t.cancel(ctx, c, &place)
	}
	return v, true
}

// target is what a call is about.
type target struct {
	queue     job.Queue
	id        job.ID
	workspace string
	known     bool
	status    job.Status
}

// lookup finds the queue, the workspace and the job of a call. Calls that only
// read are answered with it.
func (t *term) lookup(v *job.View, c *cell.Call, place *target) cell.Verdict {
	if v.Catalogue == nil {
		return cell.Verdict{Code: cell.Unready, Wait: time.Second}
	}
	q := route(v.Catalogue, c.Host, c.Path)
	if q == nil {
		return cell.Verdict{Code: cell.NoQueue}
	}
	place.queue, place.id = *q, job.ID(c.Path[len(q.Prefix):])
	workspace, ok := owner(v.Catalogue, c.Key)
	if !ok && !q.Public {
		return cell.Verdict{Code: cell.BadKey}
	}
	place.workspace = workspace
	if c.Verb == cell.Pending || place.id == "" {
		return cell.Verdict{Code: cell.OK, Pending: v.Pending(q.Host, q.Prefix)}
	}
	if r := v.Jobs[place.id]; r != nil {
		place.known, place.status = true, r.Status
	}
	if c.Verb != cell.Submit && !place.known {
		return cell.Verdict{Code: cell.NoJob}
	}
	return cell.Verdict{Code: cell.OK, State: place.status}
}

// route returns the queue with the longest prefix of a path, nil if none has one.
func route(c *job.Catalogue, host, path string) *job.Queue {
	var best *job.Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// owner returns the workspace of a key.
func owner(c *job.Catalogue, key string) (string, bool) {
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

// logged writes the line of a call that was not served.
func (t *term) logged(c *cell.Call, id job.ID, v cell.Verdict) cell.Verdict {
	if c.Verb == cell.Submit || v.Code == cell.BadKey {
		t.emit(event.JobRefused, zap.String("request", c.Request), zap.String("job", string(id)), zap.String("path", c.Path),
			zap.Stringer("code", v.Code), zap.String("reason", v.Message), zap.Duration("wait", v.Wait))
	}
	return v
}

func (t *term) submit(ctx context.Context, c *cell.Call, place *target) (cell.Verdict, bool) {
	if place.known {
		return cell.Verdict{Code: cell.OK, State: place.status}, true
	}
	if c.Job == nil || place.id == "" || strings.ContainsAny(string(place.id), "./") {
		return t.logged(c, place.id, cell.Verdict{Code: cell.Invalid, Message: "no job, or an id that is not one word"}), true
	}
	j := *c.Job
	j.ID, j.Host, j.Prefix, j.Workspace = place.id, place.queue.Host, place.queue.Prefix, place.workspace
	if err := j.Check(); err != nil {
		return t.logged(c, place.id, cell.Verdict{Code: cell.Invalid, Message: err.Error()}), true
	}
	if v, full := t.full(&j, &place.queue); full {
		return t.logged(c, place.id, v), true
	}
	t.mu.Lock()
	settled := t.enqueue(func(n *inbox) { n.submits = append(n.submits, j) })
	t.mu.Unlock()
	if !t.settled(ctx, settled) {
		return cell.Verdict{}, false
	}
	// The catalogue may have lost the queue in the same round.
	stored := false
	t.state().View(func(v *job.View) { stored = v.Jobs[j.ID] != nil })
	if !stored {
		return t.logged(c, place.id, cell.Verdict{Code: cell.NoQueue}), true
	}
	t.emit(event.JobAccepted, zap.String("request", c.Request), zap.String("job", string(j.ID)), zap.String("queue", place.queue.Name),
		zap.String("workspace", j.Workspace), zap.Int("steps", len(j.Steps)), zap.Int("tasks", j.Steps[0].Count))
	return cell.Verdict{Code: cell.OK}, true
}

func (t *term) cancel(ctx context.Context, c *cell.Call, place *target) (cell.Verdict, bool) {
	if place.status.Over() {
		return cell.Verdict{Code: cell.OK, State: place.status}, true
	}
	t.mu.Lock()
	settled := t.enqueue(func(n *inbox) { n.cancels = append(n.cancels, place.id) })
	t.mu.Unlock()
	if !t.settled(ctx, settled) {
		return cell.Verdict{}, false
	}
	t.emit(event.JobCancelled, zap.String("request", c.Request), zap.String("job", string(place.id)))
	return cell.Verdict{Code: cell.OK, State: job.Cancelled}, true
}

// apply puts an operator's catalogue in force. One that is not newer than the
// one in force is acknowledged and changes nothing.
func (t *term) apply(ctx context.Context, c *job.Catalogue) (cell.Verdict, bool) {
	for {
		held := uint64(0)
		t.state().View(func(v *job.View) {
			if v.Catalogue != nil {
				held = v.Catalogue.Version
			}
		})
		if held >= c.Version {
			return cell.Verdict{Code: cell.OK}, true
		}
		t.mu.Lock()
		if n := t.next.catalogue; n != nil && n.Version >= c.Version {
			c = n // it came first, or overtakes this one in the same round
		}
		settled := t.enqueue(func(n *inbox) { n.catalogue = c })
		t.mu.Unlock()
		if !t.settled(ctx, settled) {
			return cell.Verdict{}, false
		}
		t.emit(event.CatalogueInForce, zap.Uint64("version", c.Version), zap.Int("queues", len(c.Queues)),
			zap.Int("workspaces", len(c.Workspaces)))
	}
}

func (t *term) read() cell.Document {
	var d cell.Document
	t.state().View(func(v *job.View) {
		if v.Catalogue != nil {
			d = cell.Document{Version: v.Catalogue.Version, Body: v.Catalogue.Document}
		}
	})
	return d
}

// report takes in a worker's report about itself. It reports whether what the
// report changes is committed.
func (t *term) report(ctx context.Context, r *cell.Report) bool {
	t.mu.Lock()
	settled := t.reported(r)
	t.mu.Unlock()
	return settled == nil || t.settled(ctx, settled)
}

func (t *term) reported(r *cell.Report) <-chan bool {
	now := t.now()
	w := t.workers[r.Worker.ID]
	switch {
	case w != nil && r.Worker.Life < w.Life, w != nil && r.Worker.Life == w.Life && r.Sequence <= w.sequence:
		return nil // late
	case w != nil && r.Worker.Life > w.Life:
		t.finish(w, "another life reported itself")
		w = nil
	}
	if w == nil {
		return t.joined(r, now)
	}
	w.sequence, w.seen = r.Sequence, now
	w.reading(r.Clock, now)
	if w.missed > 0 {
		// It is there again; a listing tells whether it answers.
		w.probe = true
		t.follow(w)
	}
	if !r.Worker.Draining || w.Draining {
		return nil
	}
	w.Draining, w.drained = true, now.Add(time.Duration(r.Remaining)*time.Millisecond)
	t.emit(event.WorkerLeaving, zap.String("worker", w.ID), zap.Int("runs", len(w.runs)), zap.Int64("remaining", r.Remaining))
	return t.enqueue(func(n *inbox) { n.workers = append(n.workers, w.Worker) })
}

// joined takes in a worker's first report in its life.
func (t *term) joined(r *cell.Report, now time.Time) <-chan bool {
	w := newWorker(r.Worker, now)
	w.sequence = r.Sequence
	w.reading(r.Clock, now)
	if w.Draining {
		w.drained = now.Add(time.Duration(r.Remaining) * time.Millisecond)
	}
	t.workers[w.ID] = w
	t.emit(event.WorkerKnown, zap.String("worker", w.ID), zap.Int64("life", int64(w.Life)), zap.String("pool", w.Pool),
		zap.Stringer("address", w.Address), zap.String("rack", w.Rack))
	return t.enqueue(func(n *inbox) { n.workers = append(n.workers, w.Worker) })
}

// leave notes that a worker ends.
func (t *term) leave(m *cell.Leave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[m.Worker]
	if w == nil || m.Life != 0 && m.Life != w.Life || !w.leaves.IsZero() {
		return
	}
	w.leaves = t.now().Add(leaveTime)
}
