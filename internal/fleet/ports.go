package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Listeners get ports below the range that the kernel takes for outgoing
// connections, 32768 and up, so that no connection can take the port of a
// process that is about to start or to start again.
const (
	firstPort = 10_000
	portCount = 22_000
)

// usedPorts holds the ports that this process has returned.
var usedPorts sync.Map

// dialLimit bounds the attempt to find a listener on a port.
const dialLimit = time.Second

// FreeAddress returns a loopback address that nobody listens on and that was
// not returned before. The choice is random because several test programs run
// on one machine. It dials instead of listening: a process that another
// goroutine starts at that moment would hold a copy of the listener until it
// has loaded its program, and the port would not be free yet.
func FreeAddress() string {
	for {
		port := firstPort + rand.IntN(portCount)
		if _, taken := usedPorts.LoadOrStore(port, true); taken {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		d := net.Dialer{Timeout: dialLimit}
		c, err := d.DialContext(context.Background(), "tcp", address)
		if err != nil {
			return address
		}
		_ = c.Close()
	}
}
