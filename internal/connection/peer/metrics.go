package peer

import "expvar"

// Metrics of all Peers of the process, under "peer" in /debug/vars.
var (
	metrics      = expvar.NewMap("peer")
	metricCalls  = metric("calls")      // made to other processes
	metricUnsent = metric("not_sent")   // of these, failed with ErrNotSent
	metricDoubt  = metric("unknown")    // of these, failed with ErrUnknown
	metricServed = metric("served")     // calls of other processes that reached a handler
	metricRefuse = metric("refused")    // calls of other processes that were refused
	metricSent   = metric("messages")   // one-way messages written
	metricDrops  = metric("dropped")    // one-way messages dropped
	metricBytes  = metric("sent_bytes") // of frames written to other processes, without QUIC's own overhead
	metricLinks  = metric("connected")  // connections put to use
)

func metric(name string) *expvar.Int {
	i := new(expvar.Int)
	metrics.Set(name, i)
	return i
}
