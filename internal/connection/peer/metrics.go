package peer

import "expvar"

// Metrics of all Peers of the process, published under "peer" in /debug/vars.
var (
	metrics           = expvar.NewMap("peer")
	metricCalls       = metric("calls")      // calls to other processes
	metricUnsent      = metric("not_sent")   // calls that failed with ErrNotSent
	metricUnknown     = metric("unknown")    // calls that failed with ErrUnknown
	metricServed      = metric("served")     // calls of other processes that reached a handler
	metricRefused     = metric("refused")    // calls of other processes that were refused
	metricSent        = metric("messages")   // one-way messages written
	metricDrops       = metric("dropped")    // one-way messages dropped
	metricBytes       = metric("sent_bytes") // size of frames written to other processes, without QUIC overhead
	metricConnections = metric("connected")  // connections that became the current one
)

func metric(name string) *expvar.Int {
	i := new(expvar.Int)
	metrics.Set(name, i)
	return i
}
