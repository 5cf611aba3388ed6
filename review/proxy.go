package main

import (
	"math/rand/v2"
	"net"
	"sync"
)

// proxy forwards connections to a process. It can reset some of them, and hold what is
// sent, as a partition does.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	open    map[*net.TCPConn]*net.TCPConn // from the caller, to the process
	held    bool
	release chan struct{} // closed when nothing is held any more
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: map[*net.TCPConn]*net.TCPConn{}, release: make(chan struct{})}
	close(p.release)
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(c.(*net.TCPConn))
	}
}

// hold begins or ends a partition. What was sent on open connections arrives after it,
// unless its sender has reset the connection.
func (p *proxy) hold(yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case yes && !p.held:
		p.release = make(chan struct{})
	case !yes && p.held:
		close(p.release)
	}
	p.held = yes
}

// state reports whether a partition lasts, and returns a channel that is closed after it.
func (p *proxy) state() (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held, p.release
}

func (p *proxy) forward(c *net.TCPConn) {
	if held, release := p.state(); held {
		// No connection can be opened. What the caller sends is lost.
		<-release
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	to := t.(*net.TCPConn)
	p.mu.Lock()
	p.open[c] = to
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(to, c) })
	copies.Go(func() { p.copy(c, to) })
	copies.Wait()
	_, _ = c.Close(), to.Close()
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

// copy forwards one direction until its sender closes it.
func (p *proxy) copy(to, from *net.TCPConn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		_, release := p.state()
		<-release
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// reset resets a share of the connections, and returns how many. What has passed is
// delivered.
func (p *proxy) reset(share float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c, to := range p.open {
		if rand.Float64() >= share {
			continue
		}
		n++
		for _, side := range []*net.TCPConn{c, to} {
			_ = side.SetLinger(0)
			_ = side.Close()
		}
	}
	return n
}
