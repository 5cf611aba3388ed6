package event

import "go.uber.org/zap/zapcore"

// Events of an entry VM's connection to the leader and of its runners.
var (
	LinkLeader     = define(500, zapcore.InfoLevel, "leader found", "The entry VM renews its session with this leader from now on.")
	LinkLost       = define(501, zapcore.WarnLevel, "leader lost", "A renewal failed; the entry VM tries the other control replicas. Look at the control group if it lasts.")
	LinkStale      = define(502, zapcore.ErrorLevel, "view expired", "No renewal was answered for 3 s; requests are refused until one is. Check the network to the control VMs.")
	LinkBackward   = define(503, zapcore.ErrorLevel, "older grant ignored", "A grant carried an older term, sequence or catalogue than the one in use. Look for a replica that answers without leading.")
	LinkCatalogue  = define(504, zapcore.InfoLevel, "catalogue applied", "The entry VM uses this version of the catalogue from now on.")
	RunnerOwned    = define(510, zapcore.InfoLevel, "runner owned", "This entry VM counts the runner's slots from now on.")
	RunnerReleased = define(511, zapcore.InfoLevel, "runner released", "The runner left, fell silent or got another owner; its requests in flight end, new ones go elsewhere.")
	RunnerAvoided  = define(512, zapcore.WarnLevel, "runner avoided", "The runner refused or failed a request and gets nothing until the time given.")
	RunnerMismatch = define(513, zapcore.ErrorLevel, "answer of another request", "A runner answered with another request's identity; the answer was dropped and its idle connections closed. Check the runner.")
)
