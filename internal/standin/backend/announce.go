package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// announceInterval is the heartbeat of a backend server.
const announceInterval = clock.Second

// announceLoop announces the server every second and on every change of mode.
func (s *server) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: announceInterval.Duration()}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		mode, changed := s.current()
		if mode != Freeze {
			s.announce(ctx, client, mode)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changed:
		}
	}
}

// announce posts one announcement. A sidecar that cannot be reached gets the
// next one.
func (s *server) announce(ctx context.Context, client *http.Client, m Mode) {
	body, err := json.Marshal(s.announcement(m))
	if err != nil {
		return
	}
	url := "http://" + s.settings.Sidecar + "/v1/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}
