package event

import "go.uber.org/zap/zapcore"

// Events of placement decisions. The names from ServicePlaced to JobOversized
// are the values of work.Decision.Reason.
var (
	ServicePlaced    = define(400, zapcore.InfoLevel, "service task spread over zones and racks", "A service task starts where the fewest tasks of its entry and team run; nothing to do.")
	BatchPlaced      = define(401, zapcore.InfoLevel, "batch task packed by best fit", "A batch task starts on the worker that it fills best; nothing to do.")
	GangPlaced       = define(402, zapcore.InfoLevel, "all tasks of a gang fit at once", "A gang starts as a whole; nothing to do.")
	GangReserved     = define(403, zapcore.InfoLevel, "reserved capacity of a gang became free", "A gang starts on the workers that were reserved for it; nothing to do.")
	TaskBackfilled   = define(404, zapcore.InfoLevel, "task backfilled before a reservation begins", "A task borrows capacity that is reserved for a gang; nothing to do.")
	UrgentPlaced     = define(405, zapcore.InfoLevel, "urgent task placed", "An urgent task starts on free capacity; nothing to do.")
	UrgentClaimed    = define(406, zapcore.InfoLevel, "urgent task placed where others were preempted", "An urgent task starts where other tasks made way; nothing to do.")
	TasksPreempted   = define(407, zapcore.InfoLevel, "tasks asked to checkpoint for urgent work", "Tasks make way for an urgent task and are queued again; many such lines mean that the pool is too small for its urgent work.")
	TasksStopped     = define(408, zapcore.WarnLevel, "tasks stopped for urgent work", "Tasks did not checkpoint in time and lose their run; check how long their checkpoints take.")
	TrialPlaced      = define(409, zapcore.InfoLevel, "trial task on a worker that was set aside", "A worker that failed several jobs gets one task; if trials keep failing, repair or remove the worker.")
	JobInfeasible    = define(410, zapcore.WarnLevel, "job refused: it fits no worker or limit", "No known worker shape or limit lets the job run; its owner has to ask for less.")
	JobFaulty        = define(411, zapcore.WarnLevel, "job refused: it fails on healthy workers", "The job failed on workers that are fine with other jobs; its owner has to look at it.")
	JobOversized     = define(412, zapcore.WarnLevel, "job refused: it needs more than any worker or limit allows", "Runs of the job needed more than the largest size it can get; its owner has to split it.")
	DecisionRejected = define(420, zapcore.WarnLevel, "placement decision rejected", "The state refused a proposed decision; a few are normal around a change of a worker or limit.")
)

// Placement returns the event whose name is the Reason of a placement decision,
// and whether there is one.
func Placement(reason string) (ID, bool) {
	for id := ServicePlaced; id <= JobOversized; id++ {
		if kinds[id].Name == reason {
			return id, true
		}
	}
	return 0, false
}
