package event

import "go.uber.org/zap/zapcore"

// Events of workers and of the runs of their tasks.
var (
	WorkerJoined    = define(700, zapcore.InfoLevel, "worker joined", "A worker joined, booted anew or changed its shape.")
	WorkerRefused   = define(701, zapcore.WarnLevel, "worker refused", "A worker's announcement was refused; the line names the reason. Check its settings.")
	WorkerLeft      = define(702, zapcore.InfoLevel, "worker left", "A worker left on its own; its tasks are over.")
	WorkerExpired   = define(703, zapcore.WarnLevel, "worker lost", "A worker's lease ended without a poll that renewed it; its tasks are placed again. Check the VM, and event 705 before it.")
	StaleRunStopped = define(704, zapcore.WarnLevel, "stale task stopped", "A worker runs a task under a token that is not current and was ordered to stop it. Expected after a lost lease; otherwise check the worker.")
	ReportOverdue   = define(705, zapcore.WarnLevel, "report overdue", "A worker polls and reports neither a run nor its end 18 s after the start. Its lease is not renewed until it does, and its tasks are placed again after the lease. Check the worker.")
	TaskEnded       = define(710, zapcore.InfoLevel, "task ended", "A run of a task is over; the line names its outcome.")
	StartWithdrawn  = define(711, zapcore.InfoLevel, "start withdrawn", "A task was stopped before its start order was sent to the worker.")
)
