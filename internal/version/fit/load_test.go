package fit

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// recordedLoad is a load that rosemaryloft-emulate recorded; package
// platform/emulator describes the format.
type recordedLoad struct {
	pools   []recordedPool
	clients int
	kinds   map[string]*recordedKind
	jobs    []*recordedJob
}

type recordedPool struct {
	name    string
	workers int
	size    work.Resources
	perRack int
}

type recordedKind struct {
	name, pool string
	priority   int
	stretch    float64
	target     time.Duration
	base, each time.Duration // of an answer of the advice service
	valid      time.Duration
	allowed    float64
}

type recordedJob struct {
	kind      *recordedKind
	at        time.Time
	workspace string
	size      work.Resources
	estimate  time.Duration
	flags     string
	steps     [][]time.Duration // how long each task works
}

// readLoad reads a load from testdata.
func readLoad(t *testing.T, name string) *recordedLoad {
	t.Helper()
	f, err := os.Open("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	l := &recordedLoad{kinds: map[string]*recordedKind{}}
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		l.add(strings.Fields(s.Text()))
	}
	if s.Err() != nil || len(l.jobs) == 0 {
		t.Fatalf("%s: %d jobs, %v", name, len(l.jobs), s.Err())
	}
	return l
}

// add adds a record. Malformed numbers count as zero, which the check of the totals
// in each test would show.
func (l *recordedLoad) add(f []string) {
	number := func(i int) float64 { x, _ := strconv.ParseFloat(f[i], 64); return x }
	ms := func(i int) time.Duration { return time.Duration(number(i) * float64(time.Millisecond)) }
	size := func(i int) work.Resources {
		return work.Resources{Processors: int64(number(i)), Memory: int64(number(i+1)) << 20, Accelerators: int64(number(i + 2))}
	}
	switch f[0] {
	case "pool":
		l.pools = append(l.pools, recordedPool{f[1], int(number(2)), size(3), int(number(6))})
	case "clients":
		l.clients = int(number(1))
	case "kind":
		l.kinds[f[1]] = &recordedKind{f[1], f[2], int(number(3)), number(4), ms(5), ms(6), ms(7), ms(8), number(9)}
	case "job":
		j := &recordedJob{kind: l.kinds[f[2]], at: now.Add(ms(1)), workspace: f[3], size: size(4), estimate: ms(7), flags: f[8]}
		works := strings.Split(f[10], ",")
		for _, n := range strings.Split(f[9], ",") {
			count, _ := strconv.Atoi(n)
			var step []time.Duration
			for _, w := range works[:count] {
				d := j.estimate
				if x, err := strconv.Atoi(w); err == nil {
					d = time.Duration(x) * time.Millisecond
				}
				step = append(step, d)
			}
			j.steps, works = append(j.steps, step), works[count:]
		}
		l.jobs = append(l.jobs, j)
	}
}

// objective returns the time in which the caller of a job expects it to be done.
func (j *recordedJob) objective() time.Duration {
	chain := time.Duration(0)
	for _, s := range j.steps {
		sum := time.Duration(0)
		for _, d := range s {
			sum += d
		}
		chain += sum / time.Duration(len(s))
	}
	return j.kind.target + time.Duration(j.kind.stretch*float64(chain))
}

// served counts the callers of a kind by what they got.
type served struct{ asked, inTime, late, refused int }

// loadReplay plays a recorded load against the decisions of this package in virtual
// time. Rounds come every 20 ms; an end is known 20 ms after it, as in a listing.
type loadReplay struct {
	load     *recordedLoad
	off      rules
	headroom func(k *Peak, use, capacity work.Resources) work.Resources
	pick     func(now time.Time, clients []Client, q Query, floor bool) int
	floor    bool // expired work waited for tickets in the round before

	crashes    *crashLoad         // jobs that crash their workers; nil if there are none
	weights    map[string]float64 // of workspaces, in submissions a second
	uses       *playedUse         // nil if past use is off
	held       *playedHeld        // nil if what workspaces hold does not count
	planned    func(Plan)         // called with each plan, unless it is nil
	admission  bool               // jobs are admitted, and callers that are refused retry
	oldReturns bool               // without Returns
	gone, back time.Time          // no leader from gone to back; the next one knows no answers

	workers   []*Worker
	capacity  map[string]work.Resources
	jobs      []*playedJob
	ends      []playedEnd
	clients   []Client
	answers   []playedAnswer
	peaks     map[string]*Peak
	use       map[string]work.Resources // by pool; of urgent work
	shares    map[string]float64        // of allowed workers, by kind
	loads     map[string]*Load
	returns   map[string]*Returns
	spaces    map[string]*Share // by workspace
	retries   []playedRetry
	refused   map[string]int // callers that gave up, by kind
	calls     int            // attempts of all callers
	preempted int
}

// playedRetry is a caller that comes back.
type playedRetry struct {
	at      time.Time
	job     *recordedJob
	attempt int
}

// maxAttempts is how often a caller submits a job.
const maxAttempts = 5

// playedJob is a job of a replay.
type playedJob struct {
	*recordedJob
	accepted time.Time
	beyond   bool
	number   int
	step     int       // that is being done
	demand   *Demand   // of the current step
	ready    time.Time // when the current step could start
	running  map[int]bool
	left     map[int]time.Duration // work left by task
	done     time.Time
	failed   bool
}

type playedEnd struct {
	at        time.Time
	job       *playedJob
	index     int
	worker    *Worker
	began     time.Time
	preempted bool
	lost      bool // with its worker
	trial     bool
}

type playedAnswer struct {
	at     time.Time
	job    *playedJob
	demand *Demand
	names  []string
}

// newLoadReplay returns a replay with the rules as they are.
func newLoadReplay(l *recordedLoad) *loadReplay {
	r := &loadReplay{
		load: l, headroom: func(k *Peak, use, capacity work.Resources) work.Resources { return k.Headroom(use, capacity) }, pick: PickClient,
		returns: map[string]*Returns{}, spaces: map[string]*Share{}, refused: map[string]int{},
		capacity: map[string]work.Resources{}, peaks: map[string]*Peak{}, use: map[string]work.Resources{}, shares: map[string]float64{},
	}
	for _, p := range l.pools {
		for i := range p.workers {
			r.workers = append(r.workers, &Worker{
				Worker: job.Worker{ID: fmt.Sprintf("%s-%03d", p.name, i), Pool: p.name, Rack: fmt.Sprint(i / max(1, p.perRack)), Capacity: p.size},
				Free:   p.size, Usable: true,
			})
		}
		r.capacity[p.name], r.peaks[p.name] = p.size.Times(int64(p.workers)), &Peak{}
	}
	for i := range l.clients {
		r.clients = append(r.clients, Client{Name: fmt.Sprintf("c%02d", i)})
	}
	return r
}

// play plays the load and returns what callers got, by kind of job.
func (r *loadReplay) play() map[string]*served {
	waiting := r.load.jobs
	last := waiting[len(waiting)-1].at.Add(2 * time.Minute)
	for at := now; at.Before(last); at = at.Add(20 * time.Millisecond) {
		for len(waiting) > 0 && !waiting[0].at.After(at) {
			r.submit(waiting[0], at, 1)
			waiting = waiting[1:]
		}
		r.retries = slices.DeleteFunc(r.retries, func(x playedRetry) bool {
			if x.at.After(at) {
				return false
			}
			r.submit(x.job, at, x.attempt)
			return true
		})
		r.crashes.strike(r, at)
		r.ends = slices.DeleteFunc(r.ends, func(e playedEnd) bool { return r.end(e, at) })
		r.answers = slices.DeleteFunc(r.answers, func(a playedAnswer) bool { return r.answer(a, at) })
		if at.Before(r.gone) || !at.Before(r.back) {
			r.round(at)
		} else {
			r.forget()
		}
	}
	got := map[string]*served{}
	for _, k := range r.load.kinds {
		got[k.name] = &served{}
	}
	for k, n := range r.refused {
		got[k].asked, got[k].refused = n, n
	}
	for _, j := range r.jobs {
		if r.crashes.deadly(j) {
			continue
		}
		s := got[j.kind.name]
		s.asked++
		switch took := j.done.Sub(j.at); {
		case j.done.IsZero() || took > expiryFactor*j.objective():
		case took <= j.objective():
			s.inTime++
		default:
			s.late++
		}
	}
	return got
}

// submit is an attempt of a caller to submit a job.
func (r *loadReplay) submit(j *recordedJob, at time.Time, attempt int) {
	r.calls++
	n := &playedJob{recordedJob: j, accepted: at, number: len(r.jobs), step: -1}
	if r.spaces[j.workspace] == nil {
		r.spaces[j.workspace] = &Share{}
	}
	n.beyond = r.spaces[j.workspace].Beyond(r.weights[j.workspace], at)
	r.nextStep(n, at)
	if l := r.loads[j.kind.pool]; l != nil && r.admission {
		if r.oldReturns {
			l.returns = &Returns{}
		}
		a := l.Admit(at, []*Demand{n.demand}, n.demand.CriticalPath)
		if a.Refused && attempt < maxAttempts {
			wait := (a.RetryAfter + time.Second - 1).Truncate(time.Second) // whole seconds, as on the wire
			r.retries = append(r.retries, playedRetry{at.Add(wait), j, attempt + 1})
			return
		}
		if a.Refused {
			r.refused[j.kind.name]++
			return
		}
		l.AddWaiting(n.demand, n.demand.Spec.Count, at)
	}
	r.jobs = append(r.jobs, n)
}

// updateLoads computes the loads of the pools for the admission.
func (r *loadReplay) updateLoads(demands []*Demand, at time.Time) {
	pools := map[string][]*Worker{}
	for _, w := range r.workers {
		pools[w.Pool] = append(pools[w.Pool], w)
	}
	r.loads = map[string]*Load{}
	for name, workers := range pools {
		if r.returns[name] == nil {
			r.returns[name] = &Returns{}
		}
		r.loads[name] = NewLoad(workers, r.returns[name])
	}
	for _, e := range r.ends {
		r.loads[e.worker.Pool].AddRunning(e.job.demand)
	}
	for _, d := range demands {
		r.loads[d.Pool].AddWaiting(d, len(d.Tasks), at)
	}
}

// expiryFactor times its objective after its arrival a job is of no more use.
const expiryFactor = 3

// nextStep makes the next step of a job ready.
func (r *loadReplay) nextStep(j *playedJob, at time.Time) {
	j.step++
	if j.step == len(j.steps) {
		j.done = at
		return
	}
	tasks := j.steps[j.step]
	path := time.Duration(len(j.steps)-j.step) * j.estimate
	length := j.kind.target + time.Duration(j.kind.stretch*float64(len(j.steps))*float64(j.estimate))
	d := &Demand{
		Step: job.StepID{Job: job.ID(fmt.Sprint(j.number)), Step: j.step}, Pool: j.kind.pool, Queue: j.kind.name, Priority: j.kind.priority,
		Spec: &job.Step{
			Count: len(tasks), Size: j.size, Estimate: j.estimate,
			Gang: strings.Contains(j.flags, "g"), Checkpoints: strings.Contains(j.flags, "c"),
		},
		Deadline: j.accepted.Add(length), Expiry: j.accepted.Add(expiryFactor * length), CriticalPath: path, Sequence: uint64(j.number),
		Workspace: j.workspace, Beyond: j.beyond, Placed: map[string]int{}, Progress: &job.Progress{Tasks: make([]job.Task, len(tasks))},
	}
	if j.kind.allowed > 0 {
		d.Advised, d.MinAnswerTime = true, j.kind.base
		d.Advice = &Advice{Answers: map[string]Answer{}, Asked: map[string]bool{}}
	}
	j.demand, j.ready, j.running, j.left = d, at, map[int]bool{}, map[int]time.Duration{}
	for i, w := range tasks {
		j.left[i] = w
	}
}

// end applies the end of a run if it is due.
func (r *loadReplay) end(e playedEnd, at time.Time) bool {
	if e.at.Add(20 * time.Millisecond).After(at) {
		return false
	}
	j := e.job
	e.worker.Free = e.worker.Free.Add(j.size)
	delete(j.running, e.index)
	j.demand.Placed[e.worker.ID]--
	if j.kind.priority == 0 {
		r.use[j.kind.pool] = r.use[j.kind.pool].Sub(j.size)
	}
	if e.preempted || e.lost {
		return true
	}
	delete(j.left, e.index)
	if len(j.left) == 0 {
		r.nextStep(j, at)
	}
	return true
}

// answer applies the answer of the advice service if it is due.
func (r *loadReplay) answer(a playedAnswer, at time.Time) bool {
	if a.at.After(at) {
		return false
	}
	d := a.demand
	d.Advice.Queries--
	good := 0
	for _, n := range a.names {
		delete(d.Advice.Asked, n)
		h := fnv.New32a()
		_, _ = h.Write([]byte(string(d.Step.Job) + "." + n)) // never fails
		allowed := float64(h.Sum32()%1000) < 1000*a.job.kind.allowed
		if allowed {
			good++
		}
		d.Advice.Record(n, Answer{Allowed: allowed, Ticket: "t", Expiry: a.at.Add(a.job.kind.valid - 80*time.Millisecond)})
	}
	share := float64(good) / float64(len(a.names))
	if old := r.shares[a.job.kind.name]; old > 0 {
		share = old + 0.05*(share-old)
	}
	r.shares[a.job.kind.name] = max(share, 0.05)
	return true
}

// forget drops what only the memory of a leader holds.
func (r *loadReplay) forget() {
	r.answers = nil
	for _, j := range r.jobs {
		if j.demand.Advised {
			j.demand.Advice = &Advice{Answers: map[string]Answer{}, Asked: map[string]bool{}}
		}
	}
}

// round runs one scheduling round.
func (r *loadReplay) round(at time.Time) {
	byDemand := map[*Demand]*playedJob{}
	var demands []*Demand
	for _, j := range r.jobs {
		d := j.demand
		if !j.done.IsZero() || j.failed || len(j.running) == len(j.left) || d.Spec.Gang && len(j.running) > 0 {
			continue
		}
		d.Tasks = d.Tasks[:0]
		for i := range d.Spec.Count {
			if _, left := j.left[i]; left && !j.running[i] {
				d.Tasks = append(d.Tasks, i)
			}
		}
		d.Waited, d.AllowedShare = at.Sub(j.ready), r.shares[j.kind.name]
		d.Delay = r.uses.delay(d)
		for _, part := range r.crashes.split(j) {
			demands, byDemand[part] = append(demands, part), j
		}
	}
	r.updateLoads(demands, at)
	r.listRuns(at)
	r.uses.charge(r, at)
	r.held.set(r, demands, at)
	headroom := map[string]work.Resources{}
	for name, k := range r.peaks {
		k.Record(r.use[name], at)
		headroom[name] = r.headroom(k, r.use[name], r.capacity[name])
	}
	others, urgent, expired := IdleClients(at, r.clients, r.floor)
	p := decide(at, demands, Cluster{Workers: r.workers, Headroom: headroom, Early: others, Urgent: urgent, Floor: expired}, r.off)
	r.floor = p.Floor
	if r.planned != nil {
		r.planned(p)
	}
	for _, q := range p.Queries {
		r.ask(q, byDemand[q.Demand], at)
	}
	for i := range r.ends {
		if e := &r.ends[i]; slices.Contains(p.Preemptions, e.job.demand.Step.Task(e.index)) {
			saved := at.Sub(e.began).Truncate(time.Second)
			e.job.left[e.index] = max(0, e.job.left[e.index]-saved) + restoreTime
			e.at, e.preempted = at.Add(stopTime), true
			r.preempted++
		}
	}
	for _, s := range p.Starts {
		j := byDemand[s.Demand]
		j.running[s.Index] = true
		if j.kind.priority == 0 {
			r.use[j.kind.pool] = r.use[j.kind.pool].Add(j.size)
		}
		r.ends = append(r.ends, playedEnd{at: at.Add(j.left[s.Index]), job: j, index: s.Index, worker: s.Worker, began: at, trial: s.Demand.Trial})
		r.crashes.started(j, s, at)
	}
}

// listRuns lists on each worker what can be preempted there.
func (r *loadReplay) listRuns(at time.Time) {
	for _, w := range r.workers {
		w.Runs, w.Releasing = nil, work.Resources{}
	}
	r.crashes.listTrials(r, at)
	for _, e := range r.ends {
		d := e.job.demand
		switch {
		case e.preempted:
			e.worker.Releasing = e.worker.Releasing.Add(e.job.size)
		case d.Spec.Checkpoints && !d.Spec.Gang:
			e.worker.Runs = append(e.worker.Runs, Run{
				Task: d.Step.Task(e.index), Priority: d.Priority, EffectiveDeadline: EffectiveDeadline(d.Deadline, d.Priority), Size: e.job.size,
			})
		}
	}
	for _, w := range r.workers {
		slices.SortStableFunc(w.Runs, func(a, b Run) int { return a.Priority - b.Priority })
	}
}

// ask sends a query through a client.
func (r *loadReplay) ask(q Query, j *playedJob, at time.Time) {
	i := r.pick(at, r.clients, q, r.floor)
	if i < 0 {
		return
	}
	c := &r.clients[i]
	if c.IdleAt.Before(at) {
		c.IdleAt = at
	}
	c.IdleAt = c.IdleAt.Add(j.kind.base + time.Duration(len(q.Workers))*j.kind.each)
	q.Demand.Advice.Queries++
	for _, n := range q.Workers {
		q.Demand.Advice.Asked[n] = true
	}
	r.answers = append(r.answers, playedAnswer{c.IdleAt, j, q.Demand, q.Workers})
}
