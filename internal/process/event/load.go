package event

import "go.uber.org/zap/zapcore"

// Events of the admission of jobs.
var (
	PoolRefuses = define(1040, zapcore.WarnLevel, "pool refuses jobs", "Jobs of the pool are refused for load or for a share; the line has the workspace and the reason of the first one.")
	PoolAccepts = define(1041, zapcore.InfoLevel, "pool refuses no more", "No job of the pool was refused for load or for a share in the last seconds; the line says for how long it refused.")
)
