package httpd

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against work for a client that has left: the end of a connection is known
// to the kernel before the server reads it and ends the request's context.
func TestPeerClosed(t *testing.T) {
	answers := make(chan bool, 2)
	closed := make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		answers <- PeerClosed(r.Context())
		<-closed
		answers <- PeerClosed(r.Context())
	})
	s, err := New("127.0.0.1:0", testLimits(), clock.NewSystem(), handler, EncodePlainText)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if got := <-answers; got {
		t.Error("open connection: got closed")
	}
	_ = c.Close()
	time.Sleep(10 * time.Millisecond)
	close(closed)
	if got := <-answers; !got {
		t.Error("closed connection: got open")
	}
}
