package event

import "go.uber.org/zap/zapcore"

// Speed of workers.
var (
	WorkerCold   = define(1010, zapcore.InfoLevel, "worker cold", "A worker reports that it is slow for some more time after its start. Urgent work goes to others meanwhile if they have room. The line states how long, and the speed of cold workers of the pool as learned so far, relative to their normal one.")
	SpeedLearned = define(1011, zapcore.InfoLevel, "worker speed", "The normal speed of a worker, as a multiple of the usual one of its pool, has changed by a tenth or more and is written to the log for the next leaders. Nothing needs to be done; where a worker should be as fast as others, look at its VM.")
)
