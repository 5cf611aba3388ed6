// Package crash finds the task that crashed a worker among those that ran there, and
// decides how such tasks start again and when they are given up.
//
// # Usage
//
//	evidence := crash.Assess(lastAnswer, silentAt, exposures) // one entry a run on the worker
//	record.Add(runNumber, evidence[i])                        // replicated, one record a task
//	if record.NeedsTrial() { ... }                            // start it where nothing else starts
//	if record.Faulty() && record.Proven(&rate) { ... }        // fail its job
//
// The package uses no clock and does no I/O. Both schedulers of the product use it.
//
// # Evidence
//
// A worker that crashed says nothing about the cause. The run that started last is the
// likeliest one, and one that has run for a long time is an unlikely one. So Assess
// suspects the latest runs. A suspected task starts again as a trial: nothing else
// starts on its worker until it has run for longer than it had when its worker crashed.
// If that worker crashes as well, as soon after the start as the one before, the task is
// given up; otherwise, once a second trial ends like this. Tasks that were beside it go
// on, however often a worker crashes under them.
//
// A task whose runs are older when their workers crash is not suspected at first. It
// starts as a trial once two of its runs had about the same age, or after three crashes.
//
// # Crashes in common
//
// What crashes workers with and without a task alike is not the task. If enough other
// workers crashed at about the same time, without a run like that of the task, the crash
// says nothing about it: Loss reports this, and Record.Clear takes the evidence back.
// Crashes of idle workers are known late, so a task that looks faulty is given up only
// after a while.
//
// # Places
//
// A worker that goes down and up by turns is the likeliest cause of its own crashes. So a trial goes
// to a worker that has not crashed under the task, where another one can run it, and of several
// crashes of one worker only the first counts for the verdict.
//
// # Chance
//
// Where workers crash every few seconds, the next one may crash during a trial without cause.
// Rate describes how often they do; Record.Proven weighs the crashes during trials against
// it. As long as they prove too little, Record.Doubt has the task start as a trial again, up
// to a number of crashes that chance hardly reaches at any rate.
package crash

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxCrashes is the number of crashed workers with which a task is given up. Operators
	// allow it from two on.
	maxCrashes = 2
	// maxUnlike is the number of crashed workers with which a task starts as a trial
	// although it was never suspected, and its runs had different ages. With as many, ages
	// that are not known well count.
	maxUnlike = 3
	// maxSuspicions is the same for a scheduler without trials: the number of crashes in
	// which the task was among the latest.
	maxSuspicions = 3
	// A run is suspected if it is at most suspectFactor times as old as the latest one,
	// where both count as ageMargin older than they are: orders that leave together take
	// that long to arrive. A run of more than maxSuspectAge is not suspected.
	suspectFactor = 2
	ageMargin     = 25 * time.Millisecond
	maxSuspectAge = 500 * time.Millisecond
	// Two crashes are alike if the ages of the run differ by less than this factor, where
	// both count as ageMargin older than they are.
	likeFactor = 1.3
	// A trial lasts trialFactor times the age at which the worker of the task crashed, at
	// least minTrial and at most maxTrial.
	trialFactor = 2
	minTrial    = 250 * time.Millisecond
	maxTrial    = 3 * time.Second
	// maxRecorded bounds the crashes, the trials and the cleared runs of a task that are kept.
	maxRecorded = 16
	// A task that looks faulty and is never given up pauses for minPause at first and for
	// maxPause at most. With the second start after the first pause a third worker crashes,
	// and three more starts may not follow it soon.
	minPause = 20 * time.Second
	maxPause = 10 * time.Minute
)

// Exposure is a run on a worker when the worker crashed.
type Exposure struct {
	Started   time.Time
	Confirmed bool   // the worker had answered that it executes the run
	Group     string // runs of one group count as one suspect
}

// Evidence is what the crash of a worker says about one of its runs.
type Evidence struct {
	_         struct{}      `cbor:",toarray"`
	Age       time.Duration // least age of the run when the worker crashed
	Most      time.Duration // greatest one
	Confirmed bool          // the worker executed the run
	Suspected bool          // the run may have been the cause
	Sole      bool          // and no confirmed run of another group may
	Alone     bool          // nothing of another group had started after it
}

// Assess returns the evidence about each run on a worker that crashed between two times.
// Zero means that nothing is known of them.
func Assess(from, to time.Time, runs []Exposure) []Evidence {
	known := !from.IsZero()
	for _, r := range runs {
		if (r.Confirmed || !known) && r.Started.After(from) {
			from = r.Started
		}
	}
	if to.Before(from) || !known {
		to = from
	}
	evidence := make([]Evidence, len(runs))
	youngest := maxSuspectAge
	for i, r := range runs {
		evidence[i] = Evidence{Age: max(0, from.Sub(r.Started)), Most: max(0, to.Sub(r.Started)), Confirmed: r.Confirmed}
		if r.Confirmed {
			youngest = min(youngest, evidence[i].Most)
		}
	}
	for i, r := range runs {
		e := &evidence[i]
		e.Suspected = e.Most <= maxSuspectAge && e.Age <= suspectFactor*(youngest+ageMargin)
		e.Alone = !slices.ContainsFunc(runs, func(o Exposure) bool { return o.Group != r.Group && !o.Started.Before(r.Started) })
	}
	for i, r := range runs {
		evidence[i].Sole = evidence[i].Suspected && r.Confirmed && !othersSuspected(runs, evidence, r.Group)
	}
	return evidence
}

// othersSuspected reports whether a confirmed run of another group is suspected.
func othersSuspected(runs []Exposure, evidence []Evidence, group string) bool {
	for i, e := range evidence {
		if e.Suspected && e.Confirmed && runs[i].Group != group {
			return true
		}
	}
	return false
}

// Record is what is known about the workers that crashed under a task.
type Record struct {
	Crashes   []Crash `cbor:"1,keyasint,omitempty"` // at most maxRecorded
	Trials    []int   `cbor:"2,keyasint,omitempty"` // runs that started as trials
	Confirmed int     `cbor:"3,keyasint,omitempty"` // latest trial that a worker has answered that it executes
	Cleared   []int   `cbor:"4,keyasint,omitempty"` // runs whose workers crashed in common with others
	Paused    int     `cbor:"5,keyasint,omitempty"` // pauses of a task that looks faulty and is never given up
	UntilMS   int64   `cbor:"6,keyasint,omitempty"` // end of the latest pause, in Unix milliseconds
	Needed    int     `cbor:"7,keyasint,omitempty"` // crashes before which the task does not look faulty, since fewer may be chance
	Places    []Place `cbor:"8,keyasint,omitempty"` // of Crashes, as far as they are known; earlier builds keep none
}

// Place is the address of the worker that crashed under a run. The next process there has another
// incarnation, and it may have another ID.
type Place struct {
	_       struct{} `cbor:",toarray"`
	Run     int
	Address netip.AddrPort
}

// Crash is the evidence about one run.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Run      int
	Tried    bool // it crashed its worker during a trial
	Evidence Evidence
}

// Add adds the evidence about a run, and reports whether there was none. The same evidence
// may be added twice: a new leader may find a crash that its predecessor has recorded.
func (r *Record) Add(run int, e Evidence) bool {
	if slices.Contains(r.Cleared, run) {
		return false
	}
	c := Crash{Run: run, Evidence: e}
	c.Tried = e.Confirmed && e.Alone && e.Age <= r.TrialTime() && slices.Contains(r.Trials, run)
	i := slices.IndexFunc(r.Crashes, func(o Crash) bool { return o.Run == run })
	switch {
	case i >= 0:
		r.Crashes[i].merge(&c)
	case len(r.Crashes) == maxRecorded:
		r.Crashes = append(r.Crashes[1:], c)
	default:
		r.Crashes = append(r.Crashes, c)
	}
	return i < 0
}

// Clear takes back the evidence about a run whose worker crashed in common with others.
func (r *Record) Clear(run int) {
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return c.Run == run })
	r.dropPlaces()
	if !slices.Contains(r.Cleared, run) {
		r.Cleared = append(r.Cleared, run)
		r.Cleared = r.Cleared[max(0, len(r.Cleared)-maxRecorded):]
	}
	if !r.Faulty() {
		r.Paused, r.UntilMS = 0, 0
	}
}

// MayClear reports whether one more crash may be cleared beside some, which are cleared already or will be:
// mostCrashes in all still have to include enough that count.
func (r *Record) MayClear(runs []int) bool {
	runs = slices.Clone(runs)
	if r != nil {
		runs = append(runs, r.Cleared...)
	}
	slices.Sort(runs)
	return len(slices.Compact(runs)) < mostCrashes-mostTried
}

// Pause keeps a task that looks faulty from starting for a while, twice as long each time.
func (r *Record) Pause(now time.Time) {
	r.UntilMS = now.Add(min(minPause<<min(r.Paused, maxRecorded), maxPause)).UnixMilli()
	r.Paused++
}

// EarlyPause reports whether a task pauses after a single crash during a trial, and returns the run of the
// earliest crash. A pause leaves the task without a run for longer than the work may wait, and one more
// crash costs less. It ends a few times only, since the crashes during trials may be taken back.
func (r *Record) EarlyPause() (run int, early bool) {
	if r == nil || r.UntilMS == 0 || r.count(tried) > 1 || len(r.Cleared) >= maxUnlike {
		return 0, false
	}
	i := slices.IndexFunc(r.Crashes, func(c Crash) bool { return c.Evidence.Confirmed })
	if i < 0 {
		return 0, false
	}
	return r.Crashes[i].Run, true
}

// PausedAt reports whether the task may not start at a time.
func (r *Record) PausedAt(now time.Time) bool { return r != nil && now.UnixMilli() < r.UntilMS }

// merge takes over further evidence about the same run: another one of its gang's workers
// crashed, or what was only suspected is confirmed.
func (c *Crash) merge(o *Crash) {
	a, b := &c.Evidence, &o.Evidence
	if b.Confirmed && !a.Confirmed || b.Suspected && !a.Suspected && b.Confirmed == a.Confirmed {
		*a = *b
	}
	c.Tried = c.Tried || o.Tried
}

// Started records the start of a run.
func (r *Record) Started(run int) {
	if r.NeedsTrial() {
		r.Trials = append(r.Trials, run)
		r.Trials = r.Trials[max(0, len(r.Trials)-maxRecorded):]
	}
}

// Confirm records that a worker has answered that it executes a run, so that the next
// leader knows it.
func (r *Record) Confirm(run int) {
	if slices.Contains(r.Trials, run) {
		r.Confirmed = max(r.Confirmed, run)
	}
}

// count returns the number of crashes that match.
func (r *Record) count(match func(*Crash) bool) int {
	n := 0
	for i := range r.Crashes {
		if match(&r.Crashes[i]) {
			n++
		}
	}
	return n
}

func confirmed(c *Crash) bool { return c.Evidence.Confirmed }

func tried(c *Crash) bool { return c.Tried }

func suspected(c *Crash) bool { return c.Evidence.Suspected }

// NeedsTrial reports whether the next start of the task is a trial.
func (r *Record) NeedsTrial() bool {
	return r != nil && (r.count(suspected) > 0 || r.alike() || r.count(confirmed) >= maxUnlike)
}

// alike reports whether two workers crashed as soon after a start as each other.
func (r *Record) alike() bool {
	for i := range r.Crashes {
		for k := range i {
			if a, b := &r.Crashes[i], &r.Crashes[k]; confirmed(a) && confirmed(b) && a.Evidence.alike(&b.Evidence) {
				return true
			}
		}
	}
	return false
}

// Likely reports whether the task probably crashed a worker.
func (r *Record) Likely() bool {
	return r != nil && (r.count(func(c *Crash) bool { return c.Evidence.Sole }) > 0 || r.alike())
}

// Faulty reports whether the task is given up: enough workers have crashed under it, one
// of them during a trial, and either another one as soon after the start or two during
// trials. Crashes whose time is not known well prove this only together with a third one.
func (r *Record) Faulty() bool {
	if r == nil || r.count(confirmed) < max(maxCrashes, r.Needed) {
		return false
	}
	for i := range r.Crashes {
		c := &r.Crashes[i]
		if c.Tried && r.count(func(o *Crash) bool { return o != c && r.proves(c, o) }) > 0 {
			return true
		}
	}
	return false
}

// proves reports whether a crash during a trial and another one show that the task causes
// them.
func (r *Record) proves(trial, o *Crash) bool {
	if !o.Tried && !(confirmed(o) && o.Evidence.alike(&trial.Evidence)) {
		return false
	}
	return trial.Evidence.exact() && o.Evidence.exact() || r.count(confirmed) >= maxUnlike
}

// exact reports whether the age of the run is known well enough to be compared.
func (e *Evidence) exact() bool { return e.Most-e.Age <= maxSuspectAge }

// alike reports whether two runs had about the same age when their workers crashed.
func (e *Evidence) alike(o *Evidence) bool {
	return float64(e.Age) <= likeFactor*float64(o.Most+ageMargin) && float64(o.Age) <= likeFactor*float64(e.Most+ageMargin)
}

// Repeated reports whether the task is given up by a scheduler without trials.
func (r *Record) Repeated() bool {
	return r != nil && r.count(func(c *Crash) bool { return confirmed(c) && suspected(c) }) >= maxSuspicions
}

// TrialTime returns how long nothing else may start on the worker of a trial.
func (r *Record) TrialTime() time.Duration {
	oldest := time.Duration(0)
	for i := range r.Crashes {
		oldest = max(oldest, r.Crashes[i].Evidence.Most)
	}
	return min(max(minTrial, trialFactor*oldest), maxTrial)
}
