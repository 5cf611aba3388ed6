package tcp

import (
	"net"
	"sync"
)

// conn is a connection that returns its descriptor to the budget once it is
// closed.
type conn struct {
	*net.TCPConn
	closing sync.Once
	closed  func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	c.closing.Do(c.closed)
	return err
}
