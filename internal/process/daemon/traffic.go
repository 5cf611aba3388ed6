package daemon

import (
	"expvar"
	"net"
)

// Bytes over all HTTP connections of the process, published as "http" in /debug/vars.
var (
	httpMetrics  = expvar.NewMap("http")
	httpReceived = newHTTPMetric("received_bytes")
	httpSent     = newHTTPMetric("sent_bytes")
)

func newHTTPMetric(name string) *expvar.Int {
	i := new(expvar.Int)
	httpMetrics.Set(name, i)
	return i
}

// countingListener counts the bytes of its connections.
type countingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c}, nil
}

type countingConn struct{ net.Conn }

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	httpReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	httpSent.Add(int64(n))
	return n, err
}
