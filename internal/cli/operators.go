package cli

import (
	"crypto/subtle"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/teaseltide/teaseltide/internal/httpd"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// operatorServer serves metrics and status to operators.
type operatorServer struct {
	server *httpd.Server
}

// Stop closes the server, if there is one.
func (o operatorServer) Stop() {
	if o.server != nil {
		o.server.Close()
	}
}

// serveOperators starts a server for metrics and the given routes, which requires
// the token as a bearer token. Without an address it starts none.
func serveOperators(address, token string, registry *prometheus.Registry, routes map[string]http.HandlerFunc) (operatorServer, error) {
	if address == "" {
		return operatorServer{}, nil
	}
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	for pattern, handler := range routes {
		mux.HandleFunc(pattern, handler)
	}
	server, err := httpd.New(address, operatorLimits, clock.NewSystem(), requireToken(token, mux), httpd.EncodePlainText)
	return operatorServer{server}, err
}

func requireToken(token string, next http.Handler) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "a bearer token is required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
