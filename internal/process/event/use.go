package event

import "go.uber.org/zap/zapcore"

// Events of past use, which delays the work of a workspace.
var UseDelay = define(1030, zapcore.InfoLevel, "past use delays", "The delay of a workspace's waiting work in a pool for its past use changed by more than a quarter of a second; the line has the delay, the decayed use, its part of the use of all workspaces and its part by weight. It is written at most every 10 s for a workspace and a pool.")
