package cli

import (
	"net/http"
)

// sidecarStatus is the body of GET /v1/status of a sidecar.
type sidecarStatus struct {
	Sidecar        string   `json:"sidecar"`
	Worker         string   `json:"worker"`
	FailureDomain  string   `json:"failure-domain"`
	Services       []string `json:"services"`
	Slots          uint32   `json:"slots"`
	Ready          bool     `json:"ready"`
	Leaving        bool     `json:"leaving"`
	RecordRevision int64    `json:"record-revision"`
	TextRevision   int64    `json:"text-revision"`
	Sessions       int      `json:"sessions"`
}

// status serves GET /v1/status of a sidecar.
func (e *entrySessions) status(w http.ResponseWriter, _ *http.Request) {
	h := e.Hello()
	e.mu.Lock()
	sessions := len(e.byID)
	e.mu.Unlock()
	state := h.GetSidecar()
	writeJSON(w, sidecarStatus{
		Sidecar:        h.GetIncarnation(),
		Worker:         state.GetWorker(),
		FailureDomain:  h.GetDomain(),
		Services:       state.GetServices(),
		Slots:          state.GetSlots(),
		Ready:          state.GetReady(),
		Leaving:        state.GetLeaving(),
		RecordRevision: h.GetRecordRevision(),
		TextRevision:   h.GetTextRevision(),
		Sessions:       sessions,
	})
}
