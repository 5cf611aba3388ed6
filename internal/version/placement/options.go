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
	// Patience is how long, counted from its first reservation, a gang lets
	// tasks that end in time use the reserved capacity.
	Patience time.Duration
	// Replan is how long an unmet reservation is kept before it is planned
	// again. Blocked gangs without a reservation are retried gangRetryRounds
	// times as often.
	Replan time.Duration
	// Reservations is the number of the oldest blocked gangs that hold a
	// reservation. Reservations use disjoint workers and each is for a whole
	// gang, so that none waits for another.
	Reservations int
	// Throttle and Stop are the delays after the request for a checkpoint at
	// which a preempted task is throttled and then stopped.
	Throttle, Stop time.Duration
	// ThrottlePercent is the percentage of its reserved processors that a
	// throttled task keeps.
	ThrottlePercent int64
	// Samples is the number of runs of an entry and team after which learned
	// sizes and run times are used.
	Samples int
	// SizeQuantile and MarginPercent determine the size reserved for later
	// starts: a quantile of the peak use of earlier runs, plus a margin.
	SizeQuantile  float64
	MarginPercent int64
	// TimeQuantile is the quantile of run times by which a backfilled task must
	// end before the reservation starts. EndQuantile is the quantile used for
	// the expected ends of running tasks: with a high one, a reservation seems
	// to start later than it could, and backfilled tasks then delay it.
	TimeQuantile, EndQuantile float64
	// GrowPercent is the percentage by which a size grows after a run that was
	// too small.
	GrowPercent int64
	// QuarantineAfter is the number of different jobs that must fail on a worker,
	// without a success between them, before it is quarantined.
	QuarantineAfter int
	// Trial is the delay before the first trial task of a quarantined worker.
	// It doubles with every failed trial up to TrialMaximum.
	Trial, TrialMaximum time.Duration
	// RefuseAfter is the number of healthy workers on which a job fails before
	// it is refused.
	RefuseAfter int
	// ShapeMemory is how long a worker shape counts as present after its last
	// worker left.
	ShapeMemory time.Duration
	// Retry is the delay before a job is proposed again after a rejection, and
	// before victims are searched for again after an unsuccessful search.
	Retry time.Duration

	// Off disables parts of the policy, for comparison.
	Off Off
}

// Off selects the parts of the policy to disable.
type Off struct {
	Spread       bool // services are packed like batch tasks
	Pack         bool // batch tasks go to the emptiest worker
	Accelerators bool // jobs that need no accelerators try accelerator machines first
	Fairness     bool // teams are served in the order of submission
	Ageing       bool
	Reservation  bool // blocked gangs get no reservation of capacity or quota
	Backfill     bool // reserved capacity stays idle until its gang starts
	Preemption   bool
	Sizes        bool // declared sizes are reserved as they are
	Times        bool // declared run times are used as they are
	Health       bool // no worker is quarantined, and no job refused for its failures
	Refusal      bool // jobs that can never run wait forever
}

// Defaults. Urgent tasks have to start within 6.6 s, and preemption must end
// within that time: stop is sent at 3 s, which leaves 3.6 s for two polls of
// the worker and for committing the end and the start.
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
	defaultQuarantineAfter = 3
	defaultTrial           = time.Minute
	defaultTrialMaximum    = 30 * time.Minute
	defaultRefuseAfter     = 3
	defaultShapeMemory     = time.Hour
	defaultRetry           = 500 * time.Millisecond
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Defaults returns o with every zero parameter set to its default.
func (o Options) Defaults() Options {
	setDefault(&o.Ageing, defaultAgeing)
	setDefault(&o.Patience, defaultPatience)
	setDefault(&o.Replan, defaultReplan)
	setDefault(&o.Reservations, defaultReservations)
	setDefault(&o.Throttle, defaultThrottle)
	setDefault(&o.Stop, defaultStop)
	setDefault(&o.ThrottlePercent, defaultThrottlePercent)
	setDefault(&o.Samples, defaultSamples)
	setDefault(&o.SizeQuantile, defaultSizeQuantile)
	setDefault(&o.MarginPercent, defaultMarginPercent)
	setDefault(&o.TimeQuantile, defaultTimeQuantile)
	setDefault(&o.EndQuantile, defaultEndQuantile)
	setDefault(&o.GrowPercent, defaultGrowPercent)
	setDefault(&o.QuarantineAfter, defaultQuarantineAfter)
	setDefault(&o.Trial, defaultTrial)
	setDefault(&o.TrialMaximum, defaultTrialMaximum)
	setDefault(&o.RefuseAfter, defaultRefuseAfter)
	setDefault(&o.ShapeMemory, defaultShapeMemory)
	setDefault(&o.Retry, defaultRetry)
	return o
}

// Validate returns one error that joins every parameter that is out of range,
// or nil. It checks the options with defaults applied, as New uses them.
func (o Options) Validate() error {
	o = o.Defaults()
	var problems error
	check := func(ok bool, text string) {
		if !ok {
			problems = errors.Join(problems, errors.New(text))
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
	check(o.QuarantineAfter >= 1, "placement: QuarantineAfter must be at least 1")
	check(o.RefuseAfter >= 1, "placement: RefuseAfter must be at least 1")
	return problems
}
