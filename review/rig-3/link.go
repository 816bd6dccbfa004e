package main

import (
	"net"
	"sync"
	"time"
)

// link stands for the network path from one machine to a port of another. It
// forwards TCP connections and can be cut, or make its open connections silent.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	open    map[*linkConn]bool
	isCut   bool
	changed chan struct{}
}

type linkConn struct {
	sides  [2]net.Conn
	silent bool
	closed chan struct{}
	once   sync.Once
}

func (c *linkConn) close() {
	c.once.Do(func() {
		close(c.closed)
		for _, side := range c.sides {
			if side != nil {
				_ = side.Close()
			}
		}
	})
}

func newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, open: make(map[*linkConn]bool), changed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c)
		}
	}()
	return k, nil
}

func (k *link) forward(client net.Conn) {
	c := &linkConn{closed: make(chan struct{})}
	c.sides[0] = client
	defer c.close()
	if !k.mayPass(c) {
		return
	}
	server, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		if t, ok := client.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	c.sides[1] = server
	k.mu.Lock()
	k.open[c] = true
	k.mu.Unlock()
	var copies sync.WaitGroup
	for i := range c.sides {
		copies.Go(func() { k.copy(c, c.sides[i], c.sides[1-i]) })
	}
	copies.Wait()
	k.mu.Lock()
	delete(k.open, c)
	k.mu.Unlock()
}

func (k *link) copy(c *linkConn, from, to net.Conn) {
	defer c.close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if !k.mayPass(c) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// mayPass waits until bytes may pass. It returns false if the connection is closed.
func (k *link) mayPass(c *linkConn) bool {
	for {
		k.mu.Lock()
		held, changed := k.isCut || c.silent, k.changed
		k.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// cut holds everything back, in both directions, until it is called with false.
func (k *link) cut(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = on
	close(k.changed)
	k.changed = make(chan struct{})
}

// silence makes the open connections silent for good. New ones work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.open {
		c.silent = true
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.open {
		c.close()
	}
}
