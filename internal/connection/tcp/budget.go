// Package tcp opens and accepts TCP connections within budgets of descriptors.
//
// A process that runs out of descriptors can neither accept a connection nor
// open a file, and its log fails. So every use of connections gets a Budget, and
// the budgets together stay below the limit of the process. A use that reaches
// its budget closes the connections that it has not used for longest; the others
// are not affected.
//
// # Usage
//
//	callers := tcp.NewBudget("callers", 2000)
//	l, err := tcp.Listen(address, callers, log)
//	server := &fasthttp.Server{Handler: handler, ConnState: l.Track}
//	group.Go(func() error { return server.Serve(l) })
//
//	workers := tcp.NewPool(tcp.PoolOptions{Budget: tcp.NewBudget("workers", 1500), PerAddress: 8})
//	err = workers.Do(address, request, response, tcp.Until(deadline))
//
// # Outcomes
//
// NotSent tells from the error of Pool.Do whether the request certainly never
// reached the other side.
package tcp

import (
	"sync"
	"syscall"
)

// fallbackLimit is the usual limit of descriptors, for a system that does not tell.
const fallbackLimit = 1024

// DescriptorLimit returns the maximum number of descriptors of this process.
func DescriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fallbackLimit
	}
	return int(min(l.Cur, 1<<20))
}

// Budget bounds the connections of one use. It is safe for concurrent use.
type Budget struct {
	name  string
	limit int

	mu    sync.Mutex
	open  int
	freed chan struct{} // closed and replaced when a connection is closed; nil if nobody waits
}

// NewBudget returns a Budget for at most limit connections.
func NewBudget(name string, limit int) *Budget { return &Budget{name: name, limit: limit} }

// Name returns the name of the use, for metrics and logs.
func (b *Budget) Name() string { return b.name }

// Limit returns the maximum number of open connections.
func (b *Budget) Limit() int { return b.limit }

// Open returns the number of open connections.
func (b *Budget) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// acquire takes a descriptor and reports whether one was left. Otherwise it
// returns a channel that is closed when one is released.
func (b *Budget) acquire() (freed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open < b.limit {
		b.open++
		return nil, true
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed, false
}

func (b *Budget) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}
