package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against headers and bodies of unlimited size, and against accepting
// truncated ones.
func TestFrameBounds(t *testing.T) {
	is := is.New(t)
	frame, err := appendFrame(nil, requestHeader{Method: "m", Remaining: 5, Size: 3}, []byte("abc"))
	is.NoErr(err)
	for n := range frame {
		r := bytes.NewReader(frame[:n])
		var h requestHeader
		err := readHeader(r, &h)
		if err == nil {
			_, err = readBody(r, h.Size, 10)
		}
		is.True(err != nil)              // each prefix is incomplete
		is.True(n == 0 || err != io.EOF) // io.EOF is returned only before the first byte
	}
	_, err = readBody(strings.NewReader("abc"), 3, 2)
	is.True(err != nil) // exceeds the limit
	_, err = readBody(strings.NewReader("abc"), -1, 2)
	is.True(err != nil)
	_, err = readBody(strings.NewReader("abc"), 1<<40, 1<<50) // allocates only for received bytes
	is.Equal(err, io.ErrUnexpectedEOF)
	_, err = appendFrame(nil, requestHeader{Method: strings.Repeat("m", maxHeaderSize)}, nil)
	is.True(err != nil)
	long := strings.Repeat("\xffé", maxHeaderSize)
	_, err = appendFrame(nil, answerHeader{Code: truncate(long), Message: truncate(long), Size: 1 << 60}, nil)
	is.NoErr(err) // the longest error fits into a header
}

// Guards against headers that make the decoder panic, allocate without limit, or
// read past the header.
func FuzzHeader(f *testing.F) {
	for _, h := range []any{requestHeader{Method: "renew", Remaining: 1, Size: 1 << 40}, answerHeader{Code: "c", Message: "m"}, greeting{Version: version}, requestHeader{}} {
		frame, err := appendFrame(nil, h, []byte("body"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{0, 0})
	f.Add([]byte{0xff, 0xff, 0xa1})
	f.Add([]byte{0, 2, 0xbf, 0xff})
	f.Add([]byte{0, 5, 0x9b, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 3, 0xa1, 0x01, 0xf6})
	f.Fuzz(func(t *testing.T, content []byte) {
		r := bytes.NewReader(content)
		var h requestHeader
		if readHeader(r, &h) != nil {
			return
		}
		if used := len(content) - r.Len(); used != prefixSize+int(content[0])<<8+int(content[1]) {
			t.Fatalf("read %d bytes", used)
		}
		again, err := appendFrame(nil, h, nil)
		var g requestHeader
		if err != nil || readHeader(bytes.NewReader(again), &g) != nil || g != h {
			t.Fatalf("%+v does not survive its encoding: %v", h, err)
		}
		if _, err := readBody(r, h.Size, DefaultMaxBodySize); err == nil && h.Size > DefaultMaxBodySize {
			t.Fatal("body over the limit")
		}
	})
}

// countingConn counts the bytes and the system calls for sending on a socket. One
// system call may send several packets.
type countingConn struct {
	*net.UDPConn
	bytes, sends atomic.Int64
}

func (c *countingConn) WriteMsgUDP(b, oob []byte, to *net.UDPAddr) (int, int, error) {
	c.bytes.Add(int64(len(b)))
	c.sends.Add(1)
	return c.UDPConn.WriteMsgUDP(b, oob, to)
}

// BenchmarkCall measures a call over loopback, and the UDP payload and system
// calls in both directions together.
func BenchmarkCall(b *testing.B) {
	b.Run("100B", func(b *testing.B) { benchmarkCall(b, 100, false) })
	b.Run("10kB", func(b *testing.B) { benchmarkCall(b, 10_000, false) })
	b.Run("parallel-100B", func(b *testing.B) { benchmarkCall(b, 100, true) })
}

func benchmarkCall(b *testing.B, size int, parallel bool) {
	c := newCell(b, "a", "b")
	ctx, cancel := context.WithCancel(context.Background())
	var ends [2]*Peer
	var counts [2]*countingConn
	done := make(chan error, 2)
	for i, name := range []string{"a", "b"} {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			b.Fatal(err)
		}
		f := &fixedCertificates{}
		f.Store(c.bundle(name))
		counts[i] = &countingConn{UDPConn: socket}
		ends[i], err = New(Options{Name: name, Certificates: f, Conn: counts[i]})
		if err != nil {
			b.Fatal(err)
		}
		ends[i].Handle("echo", func(_ context.Context, _ string, decode Decode) (any, error) {
			var body []byte
			return body, decode(&body)
		})
	}
	ends[0].SetPeer("b", ends[1].Address())
	ends[1].SetPeer("a", netip.AddrPort{})
	for _, p := range ends {
		go func() { done <- p.Run(ctx) }()
	}
	defer func() {
		cancel()
		for range ends {
			if err := <-done; err != nil {
				b.Error(err)
			}
		}
	}()
	body := make([]byte, size)
	call := func() {
		if err := ends[0].Call(ctx, "b", "echo", body, nil); err != nil {
			b.Error(err)
		}
	}
	call()
	sent := func() (bytes, sends int64) {
		return counts[0].bytes.Load() + counts[1].bytes.Load(), counts[0].sends.Load() + counts[1].sends.Load()
	}
	bytesBefore, sendsBefore := sent()
	b.ReportAllocs()
	if parallel {
		b.ResetTimer()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				call()
			}
		})
	} else {
		for b.Loop() {
			call()
		}
	}
	b.StopTimer()
	bytes, sends := sent()
	b.ReportMetric(float64(bytes-bytesBefore)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(sends-sendsBefore)/float64(b.N), "sends/op")
}
