package event

import "go.uber.org/zap/zapcore"

// Events of the leader and of the sessions of entry VMs.
var (
	LeaderElected      = define(300, zapcore.InfoLevel, "leading", "This replica leads the control group from now on and schedules work.")
	LeaderDeposed      = define(301, zapcore.WarnLevel, "no longer leading", "Another replica leads, or none does. Frequent changes point to a slow disk or network of the control VMs.")
	AnswerWithheld     = define(302, zapcore.WarnLevel, "answer withheld", "The leader's own lease ended before an answer was ready, so the answer was not sent. Look for a paused or overloaded control VM.")
	DecisionStart      = define(310, zapcore.InfoLevel, "tasks started", "A decision was committed; the line names its job, tasks, worker and reason.")
	DecisionStop       = define(311, zapcore.InfoLevel, "tasks preempted", "Running tasks are brought to an end to make room; the line names the reason.")
	DecisionRefuse     = define(312, zapcore.WarnLevel, "job refused", "The scheduler ended a job that cannot run; the line names the reason.")
	DecisionReject     = define(313, zapcore.InfoLevel, "decision rejected", "A decision no longer fitted the state as it was applied and is decided anew. Many of them in a row point to a fault of the scheduler.")
	RoundFailed        = define(314, zapcore.WarnLevel, "round not committed", "The outcome of a scheduling round is not known; the scheduler is built anew from the state.")
	SessionBegan       = define(320, zapcore.InfoLevel, "entry VM joined", "An entry VM has a session with the leader from now on.")
	SessionEnded       = define(321, zapcore.WarnLevel, "entry VM lost", "An entry VM sent no renewal for 4 s. Its runners get other owners and its allotments are free after 30 s.")
	SessionDraining    = define(322, zapcore.InfoLevel, "entry VM draining", "An entry VM is shutting down; its runners get other owners.")
	AllotmentsWithheld = define(323, zapcore.WarnLevel, "allotments kept back", "After a change of leadership an entry VM is missing. What it may hold is granted to others once its requests must be over.")
	RunnerJoined       = define(330, zapcore.InfoLevel, "runner joined", "A runner was announced for the first time or started anew.")
	RunnerGone         = define(331, zapcore.InfoLevel, "runner gone", "A runner left, its announcement ended, or its entry was retired.")
	RunnerAssigned     = define(332, zapcore.InfoLevel, "runner assigned", "An entry VM owns the runner from now on.")
	RunnerRefused      = define(333, zapcore.WarnLevel, "runner refused", "An announcement does not fit the catalogue: the entry is not a service, is retired, or is owned by another team.")
	RecordsExpired     = define(340, zapcore.DebugLevel, "records expired", "Records past their deadline were dropped.")
)
