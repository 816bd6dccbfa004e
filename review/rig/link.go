package main

import (
	"net"
	"sync"
	"time"
)

// gate holds back what passes through links while it is shut, like a partition: TCP
// delivers the bytes afterwards.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) reopen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

// wait waits until the gate is open and reports whether it was shut.
func (g *gate) wait() bool {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return false
	default:
		<-open
		return true
	}
}

// link forwards the connections to an address, with a delay each way.
type link struct {
	target string
	delay  time.Duration
	gate   *gate
}

func newLink(address, target string, delay time.Duration, g *gate) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l := &link{target, delay, g}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn.(*net.TCPConn))
		}
	}()
	return nil
}

func (l *link) forward(caller *net.TCPConn) {
	l.gate.wait()
	conn, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	callee := conn.(*net.TCPConn)
	go l.copy(caller, callee)
	l.copy(callee, caller)
}

// copy forwards one direction. The end of a connection that was held back follows the
// bytes before it a round trip later, when they have been acknowledged.
func (l *link) copy(from, to *net.TCPConn) {
	type chunk struct {
		data []byte
		at   time.Time
	}
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{buffer[:n], time.Now().Add(l.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	held := false
	for c := range chunks {
		time.Sleep(time.Until(c.at))
		held = l.gate.wait() || held
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	held = l.gate.wait() || held
	if held {
		time.Sleep(2 * l.delay)
	}
	_ = to.CloseWrite()
	_ = from.CloseRead()
}
