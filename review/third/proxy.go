package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes channels on to a target. While it is cut, it passes nothing in either direction; what arrives then
// is lost with its channel.
type proxy struct {
	target string
	isCut  atomic.Bool
	delay  atomic.Int64 // nanoseconds by which what the target sends is delayed

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	for p.isCut.Load() {
		// The opening of the channel gets no answer. It fails at the other side by its time-out.
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		b := make([]byte, 4096)
		if _, err := c.Read(b); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				c.Close()
				return
			}
			continue
		}
		p.hold(c)
		return
	}
	c.SetReadDeadline(time.Time{})
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	go p.pass(c, t, false)
	p.pass(t, c, true)
}

// hold keeps a channel that has lost bytes silent until the other side closes it.
func (p *proxy) hold(c net.Conn) {
	b := make([]byte, 4096)
	c.SetReadDeadline(time.Time{})
	for {
		if _, err := c.Read(b); err != nil {
			c.Close()
			return
		}
	}
}

func (p *proxy) pass(from, to net.Conn, back bool) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if p.isCut.Load() && (n > 0 || err != nil) {
			if err == nil {
				p.hold(from)
			}
			return // the other side hears nothing of it
		}
		if back {
			if d := p.delay.Load(); d > 0 {
				time.Sleep(time.Duration(d))
			}
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}

func (p *proxy) cut(on bool) { p.isCut.Store(on) }
