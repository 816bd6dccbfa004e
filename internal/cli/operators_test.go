package cli

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/teaseltide/teaseltide/internal/fleet"
)

// Guards against an operators' listener without limits or authentication.
func TestOperatorLimits(t *testing.T) {
	address := fleet.FreeAddress()
	server, err := serveOperators(address, "secret", prometheus.NewRegistry(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	const head = "GET /metrics HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
	for name, tc := range map[string]struct {
		raw    string
		status int
	}{
		"token":           {head + "secret\r\n\r\n", http.StatusOK},
		"wrong token":     {head + "guess\r\n\r\n", http.StatusUnauthorized},
		"large header":    {head + "secret\r\n" + strings.Repeat("A: b\r\n", maxHeaderBytes/6) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"large body":      {head + fmt.Sprintf("secret\r\nContent-Length: %d\r\n\r\n", operatorLimits.MaxBody+1), http.StatusRequestEntityTooLarge},
		"endless request": {head + "secret\r\nContent-Length: 5\r\n\r\nabc", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.Write([]byte(tc.raw))
			c.SetReadDeadline(time.Now().Add(operatorLimits.ReadTimeout.Duration() + 5*time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != tc.status {
				t.Errorf("got status %d, want %d", resp.StatusCode, tc.status)
			}
		})
	}
}
