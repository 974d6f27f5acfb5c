package main

import (
	"io"
	"net"
	"sync"
)

// link forwards connections to an address. While it is cut, connections are reset.
type link struct {
	target, address string

	mu   sync.Mutex
	cut  bool
	open map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, address: listener.Addr().String(), open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, nil
}

// setCut cuts the link, or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.open {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// add adds a connection, or resets it while the link is cut.
func (l *link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		reset(c)
		return false
	}
	l.open[c] = true
	return true
}

func (l *link) forward(in net.Conn) {
	if !l.add(in) {
		return
	}
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(in)
		return
	}
	if !l.add(out) {
		return
	}
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
		both.Go(func() {
			_, _ = io.Copy(way[0], way[1])
			_ = way[0].Close()
			_ = way[1].Close()
		})
	}
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, in)
	delete(l.open, out)
}
