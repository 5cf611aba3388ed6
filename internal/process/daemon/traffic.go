package daemon

import (
	"expvar"
	"net"
)

// Bytes over all HTTP connections of the process, under "http" in /debug/vars.
var (
	httpMetrics  = expvar.NewMap("http")
	httpReceived = httpMetric("received_bytes")
	httpSent     = httpMetric("sent_bytes")
)

func httpMetric(name string) *expvar.Int {
	i := new(expvar.Int)
	httpMetrics.Set(name, i)
	return i
}

// countedListener counts the bytes of its connections.
type countedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c}, nil
}

type countedConn struct{ net.Conn }

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	httpReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	httpSent.Add(int64(n))
	return n, err
}
