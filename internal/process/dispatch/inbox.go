package dispatch

import (
	"slices"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Upper bounds of the encoded size of inputs in bytes, without their strings.
const (
	runSize    = 64 // of the end of a run
	startSize  = 36
	workerSize = 200
	jobSize    = 200
	stepSize   = 160
	queueSize  = 200 // of a queue, pool or workspace
)

// inbox collects the input of the next rounds.
type inbox struct {
	catalogue   *job.Catalogue
	passed      bool // the catalogue did not fit into the latest round
	workers     []job.Worker
	gone        []job.Worker
	crashes     []job.Crash
	places      []job.Place // of the workers that crashed
	confirmed   []job.Start // trials that their workers execute
	cleared     []job.Start // runs whose workers crashed in common with others
	faulty      []job.Start // runs whose tasks are given up
	retried     []job.Start // runs whose tasks look faulty and are tried once more
	ends        []job.End
	orphans     []job.Start // runs that were given up and may still be executed
	unclear     []job.Start // runs with a copy of their start without an answer
	adopted     []job.Start // runs of earlier leaders whose start is not settled
	lost        []job.PoolCrash
	replaced    []string    // workers at whose addresses others answer
	settled     []job.Start // orphans that can no longer be executed
	cancels     []job.ID
	withdrawn   []job.Withdrawal
	submits     []job.Job
	waves       []job.Wave
	steps       []job.WaveStep
	evacuations []job.Evacuation
	speeds      []job.WorkerSpeed
	uses        []job.Use
	waiters     []chan bool // receive whether the input was committed
	acks        []acknowledgement
}

// acknowledgement says up to which number the ends of a worker are acknowledged
// once the input is committed.
type acknowledgement struct {
	worker *worker
	number int64
}

// empty reports whether there is nothing to commit.
func (n *inbox) empty() bool {
	return n.catalogue == nil &&
		len(n.workers)+len(n.gone)+len(n.ends)+len(n.orphans)+len(n.settled)+len(n.cancels)+len(n.submits)+len(n.waves)+len(n.steps)+len(n.crashes)+len(n.confirmed)+len(n.withdrawn)+len(n.cleared)+len(n.faulty)+len(n.unclear)+len(n.retried)+len(n.replaced)+len(n.lost)+len(n.evacuations)+len(n.speeds)+len(n.uses)+len(n.places)+len(n.adopted) == 0
}

// take removes and returns input of about size bytes, and how many these are. Waiters and
// acknowledgements stay until all that came before them has been taken. A catalogue that does
// not fit beside other input has the next round for itself.
func (n *inbox) take(size int) (taken inbox, used int) {
	if n.passed {
		return n.takeCatalogue(), 0 // nothing starts in this round
	}
	all, left := *n, size
	var in inbox
	takeItems(&n.evacuations, &in.evacuations, &left, func(e *job.Evacuation) int { return runSize + len(e.Zone) })
	takeItems(&n.workers, &in.workers, &left, sizeOfWorker)
	takeItems(&n.gone, &in.gone, &left, sizeOfWorker)
	takeItems(&n.unclear, &in.unclear, &left, sizeOfRun)
	takeItems(&n.adopted, &in.adopted, &left, sizeOfRun)
	takeItems(&n.replaced, &in.replaced, &left, func(name *string) int { return len(*name) }) // after the starts that it settles
	takeItems(&n.lost, &in.lost, &left, func(c *job.PoolCrash) int { return runSize * (1 + len(c.Suspects)) })
	takeItems(&n.confirmed, &in.confirmed, &left, sizeOfRun)
	// Before the ends, so that a task does not start again before its crash is known.
	takeItems(&n.crashes, &in.crashes, &left, func(c *job.Crash) int { return runSize + len(c.Task.Job) })
	takeItems(&n.places, &in.places, &left, func(p *job.Place) int { return runSize + len(p.Task.Job) })
	takeItems(&n.cleared, &in.cleared, &left, sizeOfRun)
	takeItems(&n.faulty, &in.faulty, &left, sizeOfRun)
	takeItems(&n.retried, &in.retried, &left, sizeOfRun)
	takeItems(&n.ends, &in.ends, &left, func(e *job.End) int { return runSize + len(e.Task.Job) + len(e.Worker) + len(e.Saved) })
	takeItems(&n.orphans, &in.orphans, &left, sizeOfRun)
	takeItems(&n.settled, &in.settled, &left, sizeOfRun)
	takeItems(&n.cancels, &in.cancels, &left, func(id *job.ID) int { return runSize + len(*id) })
	takeItems(&n.withdrawn, &in.withdrawn, &left, func(w *job.Withdrawal) int { return runSize + len(w.ID) + len(w.Workspace) })
	takeItems(&n.submits, &in.submits, &left, sizeOfJob)
	takeItems(&n.waves, &in.waves, &left, sizeOfWave)
	takeItems(&n.steps, &in.steps, &left, func(s *job.WaveStep) int { return runSize + len(s.VM) + len(s.Worker) })
	takeItems(&n.speeds, &in.speeds, &left, func(s *job.WorkerSpeed) int { return runSize + len(s.Worker) })
	takeItems(&n.uses, &in.uses, &left, func(u *job.Use) int { return runSize + len(u.Workspace) + len(u.Pool) })
	rest := *n
	rest.catalogue = nil
	if !rest.empty() || n.catalogue != nil && !in.empty() && left < sizeOfCatalogue(n.catalogue) {
		n.passed = n.catalogue != nil
		return in, size - left
	}
	*n = inbox{}
	return all, size - left
}

// takeCatalogue removes and returns the catalogue only.
func (n *inbox) takeCatalogue() inbox {
	in := inbox{catalogue: n.catalogue}
	n.catalogue, n.passed = nil, false
	if n.empty() {
		in.waiters, in.acks = n.waiters, n.acks
		n.waiters, n.acks = nil, nil
	}
	return in
}

// takeItems moves items to another list until left is used up.
func takeItems[T any](from, to *[]T, left *int, size func(*T) int) {
	k := 0
	for k < len(*from) && *left > 0 {
		*left -= size(&(*from)[k])
		k++
	}
	*to, *from = (*from)[:k:k], (*from)[k:]
}

// sizeOfStart returns an upper bound of the encoded size of a start.
func sizeOfStart(s *fit.Start) int { return startSize + len(s.Demand.Step.Job) + len(s.Worker.ID) }

func sizeOfRun(s *job.Start) int { return runSize + len(s.Task.Job) + len(s.Worker) }

func sizeOfWorker(w *job.Worker) int {
	n := workerSize + len(w.ID) + len(w.Pool) + len(w.Zone) + len(w.Rack)
	for _, l := range w.Labels {
		n += len(l)
	}
	return n
}

func sizeOfJob(j *job.Job) int {
	n := jobSize + len(j.ID) + len(j.Host) + len(j.Prefix) + len(j.Workspace) + len(j.Payload)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += stepSize + len(s.Label) + len(s.Rack) + len(s.Image) + 2*len(s.After)
	}
	return n
}

func sizeOfWave(w *job.Wave) int {
	n := runSize
	for _, name := range w.VMs {
		n += len(name) + 2
	}
	return n
}

func sizeOfCatalogue(c *job.Catalogue) int {
	n := len(c.Document) + queueSize*(len(c.Queues)+len(c.Pools)+len(c.Workspaces))
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			n += len(k)
		}
	}
	return n
}

// enqueue adds input to the next round. It returns a channel that receives
// whether the round was committed. The caller holds the lock.
func (t *term) enqueue(add func(*inbox)) <-chan bool {
	c := make(chan bool, 1)
	if t.over {
		c <- false
		return c
	}
	add(&t.inbox)
	t.inbox.waiters = append(t.inbox.waiters, c)
	t.signal()
	return c
}

// requeue handles a round that was not committed: it tells the waiters and puts
// the input back that nobody waits for. Whether the round still commits later
// is unknown, so everything in it may be applied twice.
func (t *term) requeue(in inbox) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range in.waiters {
		c <- false
	}
	if t.over {
		return
	}
	for i := range in.submits {
		t.unsettled = append(t.unsettled, keyOf(&in.submits[i]))
	}
	returned := func(g job.Worker) bool { return t.workers[g.ID] != nil && t.workers[g.ID].Life == g.Life }
	in.gone = slices.DeleteFunc(in.gone, returned)
	in.catalogue, in.cancels, in.withdrawn, in.submits, in.waves, in.steps, in.waiters = nil, nil, nil, nil, nil, nil, nil
	in.faulty, in.retried = nil, nil                   // decided anew
	in.evacuations, in.speeds, in.uses = nil, nil, nil // the first are sent again, the others measured again
	t.inbox.putBack(in)
}

// putBack puts input back in front of what has come since it was taken.
func (n *inbox) putBack(in inbox) {
	if n.catalogue == nil {
		n.catalogue = in.catalogue
	}
	n.workers, n.gone = append(in.workers, n.workers...), append(in.gone, n.gone...)
	n.crashes, n.confirmed = append(in.crashes, n.crashes...), append(in.confirmed, n.confirmed...)
	n.places, n.adopted = append(in.places, n.places...), append(in.adopted, n.adopted...)
	n.cleared, n.faulty = append(in.cleared, n.cleared...), append(in.faulty, n.faulty...)
	n.retried, n.ends = append(in.retried, n.retried...), append(in.ends, n.ends...)
	n.orphans, n.unclear = append(in.orphans, n.orphans...), append(in.unclear, n.unclear...)
	n.lost, n.replaced = append(in.lost, n.lost...), append(in.replaced, n.replaced...)
	n.settled, n.cancels = append(in.settled, n.settled...), append(in.cancels, n.cancels...)
	n.withdrawn, n.submits = append(in.withdrawn, n.withdrawn...), append(in.submits, n.submits...)
	n.waves, n.steps = append(in.waves, n.waves...), append(in.steps, n.steps...)
	n.evacuations = append(in.evacuations, n.evacuations...)
	n.speeds, n.uses = append(in.speeds, n.speeds...), append(in.uses, n.uses...)
	n.waiters, n.acks = append(in.waiters, n.waiters...), append(in.acks, n.acks...)
}
