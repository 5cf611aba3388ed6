package placement

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Options holds the parameters of the policies. Zero fields mean the default.
type Options struct {
	// Ageing is the time without a start after which a waiting team has gained
	// as much priority as one whole fair share is worth.
	Ageing time.Duration
	// Patience is how long a gang's reservation lets other work borrow the
	// reserved capacity, counted from the first reservation.
	Patience time.Duration
	// Replan is how long a reservation that was not met is kept before it is
	// computed anew, and how often blocked gangs without one are tried.
	Replan time.Duration
	// Reservations is the number of the oldest blocked gangs that hold a
	// reservation. Their workers are disjoint and every reservation is for a
	// whole gang, so that none waits for another.
	Reservations int
	// Throttle and Stop are the delays after the request for a checkpoint at
	// which a preempted task is throttled and then stopped.
	Throttle, Stop time.Duration
	// ThrottlePercent is what a throttled task keeps of its reservation.
	ThrottlePercent int64
	// Samples is the number of runs of an entry and team from which sizes and
	// run times are learned before they are used.
	Samples int
	// SizeQuantile and MarginPercent give the size reserved for later starts:
	// a quantile of what earlier runs used at most, and a margin on top.
	SizeQuantile  float64
	MarginPercent int64
	// TimeQuantile is the quantile of run times that backfilled work must keep
	// to. EndQuantile is the one that the ends of running tasks are expected
	// by: with a high quantile there, a reservation seems to begin later than
	// it could, and backfill then delays it.
	TimeQuantile, EndQuantile float64
	// GrowPercent is the growth of the size of a run that was too small.
	GrowPercent int64
	// AsideAfter is the number of different jobs that must fail on a worker,
	// without a success between them, before it is set aside.
	AsideAfter int
	// Trial is the delay before the first trial task of a worker that was set
	// aside. It doubles with every failed trial up to TrialMaximum.
	Trial, TrialMaximum time.Duration
	// RefuseAfter is the number of healthy workers on which a job fails before
	// it is refused.
	RefuseAfter int
	// ShapeMemory is how long a worker shape counts as present after the last
	// such worker went.
	ShapeMemory time.Duration
	// Retry is the delay before work is proposed again after a rejection.
	Retry time.Duration

	// Off switches parts of the policy off, for comparison.
	Off Off
}

// Off names parts of the policy that are switched off.
type Off struct {
	Spread       bool // services are packed like batch work
	Pack         bool // batch work goes to the emptiest worker
	Accelerators bool // accelerator machines are not kept free of other work
	Fairness     bool // teams are served in the order of submission
	Ageing       bool
	Reservation  bool // blocked gangs get no reservation
	Backfill     bool // reserved capacity stays idle until its gang starts
	Preemption   bool
	Sizes        bool // declared sizes are reserved
	Times        bool // declared run times are trusted
	Health       bool // no worker is set aside, and no job refused for its failures
	Refusal      bool // jobs that can never run wait for ever
}

// Defaults. Preemption must end within the 6.6 s in which urgent work starts:
// stop is sent at 3 s, which leaves 3.6 s for two polls of the worker and the
// commit of the end and of the start.
const (
	defaultAgeing          = 30 * time.Minute
	defaultPatience        = 10 * time.Minute
	defaultReplan          = 10 * time.Second
	defaultReservations    = 4
	defaultThrottle        = 1500 * time.Millisecond
	defaultStop            = 3 * time.Second
	defaultThrottlePercent = 25
	defaultSamples         = 8
	defaultSizeQuantile    = 0.8
	defaultMarginPercent   = 15
	defaultTimeQuantile    = 0.95
	defaultEndQuantile     = 0.5
	defaultGrowPercent     = 60
	defaultAsideAfter      = 3
	defaultTrial           = time.Minute
	defaultTrialMaximum    = 30 * time.Minute
	defaultRefuseAfter     = 3
	defaultShapeMemory     = time.Hour
	defaultRetry           = 500 * time.Millisecond
)

func preset[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Defaults returns o with every zero parameter set to its default.
func (o Options) Defaults() Options {
	preset(&o.Ageing, defaultAgeing)
	preset(&o.Patience, defaultPatience)
	preset(&o.Replan, defaultReplan)
	preset(&o.Reservations, defaultReservations)
	preset(&o.Throttle, defaultThrottle)
	preset(&o.Stop, defaultStop)
	preset(&o.ThrottlePercent, defaultThrottlePercent)
	preset(&o.Samples, defaultSamples)
	preset(&o.SizeQuantile, defaultSizeQuantile)
	preset(&o.MarginPercent, defaultMarginPercent)
	preset(&o.TimeQuantile, defaultTimeQuantile)
	preset(&o.EndQuantile, defaultEndQuantile)
	preset(&o.GrowPercent, defaultGrowPercent)
	preset(&o.AsideAfter, defaultAsideAfter)
	preset(&o.Trial, defaultTrial)
	preset(&o.TrialMaximum, defaultTrialMaximum)
	preset(&o.RefuseAfter, defaultRefuseAfter)
	preset(&o.ShapeMemory, defaultShapeMemory)
	preset(&o.Retry, defaultRetry)
	return o
}

// Validate returns every parameter that is out of range, joined in one error,
// or nil. It reads the options as New uses them, with defaults.
func (o Options) Validate() error {
	o = o.Defaults()
	var findings error
	check := func(ok bool, text string) {
		if !ok {
			findings = errors.Join(findings, errors.New(text))
		}
	}
	for _, d := range [...]struct {
		name  string
		value time.Duration
	}{
		{"Ageing", o.Ageing}, {"Patience", o.Patience}, {"Replan", o.Replan}, {"Throttle", o.Throttle},
		{"Trial", o.Trial}, {"ShapeMemory", o.ShapeMemory}, {"Retry", o.Retry},
	} {
		check(d.value > 0, "placement: "+d.name+" must be positive")
	}
	check(o.Stop >= o.Throttle, "placement: Stop must not be before Throttle")
	check(o.TrialMaximum >= o.Trial, "placement: TrialMaximum must not be below Trial")
	check(o.ThrottlePercent >= 1 && o.ThrottlePercent <= 100, "placement: ThrottlePercent must be 1 to 100")
	check(o.Reservations >= 1, "placement: Reservations must be at least 1")
	check(o.Samples >= 1, "placement: Samples must be at least 1")
	check(o.SizeQuantile > 0 && o.SizeQuantile <= 1, "placement: SizeQuantile must be above 0 and at most 1")
	check(o.TimeQuantile > 0 && o.TimeQuantile <= 1, "placement: TimeQuantile must be above 0 and at most 1")
	check(o.EndQuantile > 0 && o.EndQuantile <= 1, "placement: EndQuantile must be above 0 and at most 1")
	check(o.MarginPercent >= 0, "placement: MarginPercent must not be negative")
	check(o.GrowPercent > 0, "placement: GrowPercent must be positive")
	check(o.AsideAfter >= 1, "placement: AsideAfter must be at least 1")
	check(o.RefuseAfter >= 1, "placement: RefuseAfter must be at least 1")
	return findings
}
