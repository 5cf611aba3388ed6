package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// Report sums up what the processes of a cell logged. Durations are in nanoseconds in its
// JSON.
type Report struct {
	From       time.Time   `json:"from"` // of the first line
	Until      time.Time   `json:"until"`
	Lines      int         `json:"lines"`
	Dropped    int         `json:"dropped"` // lines that processes left out to keep within the rate of their log
	Leaders    []Leader    `json:"leaders"`
	Queues     []Queue     `json:"queues"`
	Workspaces []Workspace `json:"workspaces"`
	Refusals   []Refusal   `json:"refusals"`
	Pools      []Pool      `json:"pools"`
	Workers    Workers     `json:"workers"`
	GivenUp    []string    `json:"givenup"` // tasks under which workers crashed
}

// Leader is a term of a process.
type Leader struct {
	Process string        `json:"process"`
	Term    uint64        `json:"term"`
	From    time.Time     `json:"from"`
	Gap     time.Duration `json:"gap"` // since the end of the former term, or of its last line
}

// Queue counts the jobs of a queue.
type Queue struct {
	Name      string `json:"name"`
	Accepted  int    `json:"accepted"`
	Completed int    `json:"completed"`
	Late      int    `json:"late"` // of Completed, after their objective
	Failed    int    `json:"failed"`
	Cancelled int    `json:"cancelled"`
	Waits     Waits  `json:"waits"` // of steps until all their tasks had started
}

// Workspace has the longest waits of a workspace.
type Workspace struct {
	Name     string        `json:"name"`
	Accepted int           `json:"accepted"`
	Longest  time.Duration `json:"longest"` // wait of one of its steps
	Job      string        `json:"job"`     // of that step
}

// Refusal counts calls that were answered with a refusal, by reason.
type Refusal struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Pool is the use of a pool.
type Pool struct {
	Name         string           `json:"name"`
	Processors   float64          `json:"processors"`   // mean fraction in use
	Accelerators float64          `json:"accelerators"` // mean fraction in use
	Waiting      int              `json:"waiting"`      // most tasks that waited at a time
	Untried      int              `json:"untried"`      // most steps that waited for a trial
	Idle         map[string]int64 `json:"idle"`         // mean thousandths of a core that were idle while tasks waited, by cause

	samples thinned[sample]
}

// sample is the use of a pool at a time.
type sample struct {
	at                       time.Time
	processors, accelerators float64
	waiting, untried         int
	idle                     map[string]int64
}

// Workers counts events of workers.
type Workers struct {
	Known   int `json:"known"`
	Leaving int `json:"leaving"`
	Silent  int `json:"silent"`
	Avoided int `json:"avoided"`
	Crashed int `json:"crashed"`
	Resized int `json:"resized"`
}

// Builder builds a Report from log lines.
type Builder struct {
	from, until time.Time
	report      Report
	jobs        map[string]openJob
	queues      map[string]*queueSum
	workspaces  map[string]*Workspace
	refusals    map[string]int
	refusedAt   thinned[time.Time]
	pools       map[string]*Pool
	lastLine    map[string]time.Time // of leaders, by process
}

// openJob is a job that is not over.
type openJob struct{ queue, workspace string }

type queueSum struct {
	Queue
	waits thinned[time.Duration]
}

// NewBuilder returns a Builder for lines from one time until another. Zero times leave the
// range open.
func NewBuilder(from, until time.Time) *Builder {
	return &Builder{
		from: from, until: until, jobs: map[string]openJob{}, queues: map[string]*queueSum{}, workspaces: map[string]*Workspace{},
		refusals: map[string]int{}, pools: map[string]*Pool{}, lastLine: map[string]time.Time{},
	}
}

// Add takes a line into account.
func (b *Builder) Add(l *Line) {
	if !b.from.IsZero() && l.Time.Before(b.from) || !b.until.IsZero() && !l.Time.Before(b.until) {
		return
	}
	r := &b.report
	r.Lines++
	if r.From.IsZero() || l.Time.Before(r.From) {
		r.From = l.Time
	}
	r.Until = latest(r.Until, l.Time)
	if _, leads := b.lastLine[l.Process]; leads {
		b.lastLine[l.Process] = latest(b.lastLine[l.Process], l.Time)
	}
	switch l.Event {
	case event.LinesDropped:
		r.Dropped += l.Lines
	case event.TermBegun:
		r.Leaders = append(r.Leaders, Leader{Process: l.Process, Term: l.Term, From: l.Time})
		b.lastLine[l.Process] = l.Time
	case event.TaskGivenUp:
		r.GivenUp = append(r.GivenUp, l.Task)
	case event.PoolUse:
		b.addPool(l)
	default:
		b.addJob(l)
		b.addWorker(l)
	}
}

// addJob counts events of jobs and calls.
func (b *Builder) addJob(l *Line) {
	switch l.Event {
	case event.JobAccepted:
		b.jobs[l.Job] = openJob{l.Queue, l.Workspace}
		b.queue(l.Queue).Accepted++
		b.workspace(l.Workspace).Accepted++
	case event.TasksStarted:
		j, known := b.jobs[l.Job]
		if !known {
			return
		}
		b.queue(j.queue).waits.add(time.Duration(l.Waited))
		if w := b.workspace(j.workspace); time.Duration(l.Waited) > w.Longest {
			w.Longest, w.Job = time.Duration(l.Waited), l.Job
		}
	case event.JobFinished:
		b.finish(l)
	case event.JobRefused:
		b.refuse(cmp.Or(l.Reason, l.Code), l.Time)
	case event.CallRefused:
		b.refuse(cmp.Or(l.Error, "refused"), l.Time)
	}
}

// finish counts the end of a job.
func (b *Builder) finish(l *Line) {
	j, known := b.jobs[l.Job]
	if !known {
		return // accepted before the range
	}
	delete(b.jobs, l.Job)
	q := b.queue(j.queue)
	switch l.State {
	case "completed":
		q.Completed++
		if l.After > l.Objective {
			q.Late++
		}
	case "failed":
		q.Failed++
	case "cancelled":
		q.Cancelled++
	}
}

// addWorker counts events of workers.
func (b *Builder) addWorker(l *Line) {
	w := &b.report.Workers
	switch l.Event {
	case event.WorkerKnown:
		w.Known++
	case event.WorkerLeaving:
		w.Leaving++
	case event.WorkerSilent:
		w.Silent++
	case event.WorkerAvoided:
		w.Avoided++
	case event.WorkerCrashed:
		w.Crashed++
	case event.WorkerResized:
		w.Resized++
	}
}

func (b *Builder) refuse(reason string, at time.Time) {
	b.refusals[reason]++
	b.refusedAt.add(at)
}

// addPool adds a sample of a pool's use.
func (b *Builder) addPool(l *Line) {
	p := b.pools[l.Pool]
	if p == nil {
		p = &Pool{Name: l.Pool}
		b.pools[l.Pool] = p
	}
	s := sample{at: l.Time, processors: fraction(l.Processors, l.Of), accelerators: fraction(l.Accelerators, l.OfAccelerators), untried: l.Untried, idle: l.Idle}
	for _, n := range l.waiting() {
		s.waiting += n
	}
	p.samples.add(s)
	p.Waiting, p.Untried = max(p.Waiting, s.waiting), max(p.Untried, s.untried)
}

func (b *Builder) queue(name string) *queueSum {
	q := b.queues[name]
	if q == nil {
		q = &queueSum{Queue: Queue{Name: name}}
		b.queues[name] = q
	}
	return q
}

func (b *Builder) workspace(name string) *Workspace {
	w := b.workspaces[name]
	if w == nil {
		w = &Workspace{Name: name}
		b.workspaces[name] = w
	}
	return w
}

// Report returns the report on the lines so far.
func (b *Builder) Report() *Report {
	r := b.report
	r.Leaders = slices.Clone(r.Leaders)
	slices.SortFunc(r.Leaders, func(x, y Leader) int { return x.From.Compare(y.From) })
	for i := 1; i < len(r.Leaders); i++ {
		former := &r.Leaders[i-1]
		if last := b.lastLine[former.Process]; former.Process != r.Leaders[i].Process && last.Before(r.Leaders[i].From) {
			r.Leaders[i].Gap = r.Leaders[i].From.Sub(last)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.queues)) {
		q := b.queues[name].Queue
		q.Waits = newWaits(b.queues[name].waits.items)
		r.Queues = append(r.Queues, q)
	}
	for _, w := range b.workspaces {
		r.Workspaces = append(r.Workspaces, *w)
	}
	slices.SortFunc(r.Workspaces, func(x, y Workspace) int {
		return cmp.Or(cmp.Compare(y.Longest, x.Longest), cmp.Compare(x.Name, y.Name))
	})
	for reason, n := range b.refusals {
		r.Refusals = append(r.Refusals, Refusal{reason, n})
	}
	slices.SortFunc(r.Refusals, func(x, y Refusal) int { return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Reason, y.Reason)) })
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		r.Pools = append(r.Pools, b.pools[name].mean())
	}
	return &r
}

// mean returns the pool with its mean use.
func (p *Pool) mean() Pool {
	out := *p
	out.Processors, out.Accelerators, out.Idle = 0, 0, map[string]int64{}
	n := len(p.samples.items)
	for _, s := range p.samples.items {
		out.Processors += s.processors / float64(n)
		out.Accelerators += s.accelerators / float64(n)
		for cause, amount := range s.idle {
			out.Idle[cause] += amount
		}
	}
	for cause := range out.Idle {
		out.Idle[cause] /= int64(n)
	}
	return out
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
