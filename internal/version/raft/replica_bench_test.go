package raft

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// direct delivers messages without delay.
type direct map[string]*Replica

func (d direct) Send(to string, m Message) { d[to].Receive(m) }

// BenchmarkPropose measures commits of 256-byte commands by parallel proposers.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, proposers := range []int{1, 64, 512} {
			for _, store := range []string{"memory", "disk"} {
				b.Run(fmt.Sprintf("replicas=%d/proposers=%d/%s", size, proposers, store), func(b *testing.B) {
					benchmarkPropose(b, size, proposers, store == "disk")
				})
			}
		}
	}
}

func benchmarkPropose(b *testing.B, size, proposers int, durable bool) {
	names := []string{"a", "b", "c"}[:size]
	group := direct{}
	for i, n := range names {
		o := Options{Name: n, Members: names, Machine: &sum{}, Transport: group, Directory: b.TempDir()}
		if !durable {
			o.Store = disk.NewMemory(uint64(i + 1))
		}
		r, err := New(o)
		if err != nil {
			b.Fatal(err)
		}
		group[n] = r
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, size)
	for _, r := range group {
		go func() { done <- r.Run(ctx) }()
	}
	var l *Replica
	for l == nil {
		time.Sleep(time.Millisecond)
		for _, r := range group {
			if time.Now().Before(r.Lease()) {
				l = r
			}
		}
	}
	work := make(chan struct{}, b.N)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	command := append(number(1), make([]byte, 255)...)
	ended := make(chan struct{})
	b.ResetTimer()
	for range proposers {
		go func() {
			for range work {
				if _, err := l.Propose(ctx, command); err != nil {
					b.Error(err)
				}
			}
			ended <- struct{}{}
		}()
	}
	for range proposers {
		<-ended
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	cancel()
	for range size {
		if err := <-done; err != nil {
			b.Error(err)
		}
	}
}
