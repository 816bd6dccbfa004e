package caller

import (
	"net/http"

	"github.com/teaseltide/teaseltide/internal/admission"
)

// Code is the reason in an answer, in kebab case.
type Code string

// Codes of refusals by an entry's HTTP listener. The request ran no job.
const (
	MalformedRequest Code = "malformed-request"
	RequestTooLarge  Code = "request-too-large"
	HeaderTooLarge   Code = "header-too-large"
	RequestTooSlow   Code = "request-too-slow"
	UnknownPath      Code = "unknown-path"
	MethodNotAllowed Code = "method-not-allowed"
	Overloaded       Code = "overloaded"
	Draining         Code = "draining"
)

// Codes of a job's owner, beyond those of package admission.
const (
	KeyConflict Code = "key-conflict"
	UnknownJob  Code = "unknown-job"
	Cancelled   Code = "cancelled"
	// InvalidResult means that a backend server returned a result that is not
	// JSON.
	InvalidResult Code = "invalid-result"
	// AnswerTooLarge means that the results exceed the limit of an entry.
	AnswerTooLarge Code = "answer-too-large"
)

// notRunStatuses maps the codes of not-run answers to statuses other than 503.
var notRunStatuses = map[Code]int{
	MalformedRequest: http.StatusBadRequest,
	RequestTooLarge:  http.StatusRequestEntityTooLarge,
	HeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	RequestTooSlow:   http.StatusRequestTimeout,
	UnknownPath:      http.StatusNotFound,
	MethodNotAllowed: http.StatusMethodNotAllowed,
	UnknownJob:       http.StatusNotFound,
	Cancelled:        http.StatusConflict,

	Code(admission.UnknownService):  http.StatusNotFound,
	Code(admission.UnknownTeam):     http.StatusForbidden,
	Code(admission.TeamNotAllowed):  http.StatusForbidden,
	Code(admission.TooManyTasks):    http.StatusRequestEntityTooLarge,
	Code(admission.PayloadTooLarge): http.StatusRequestEntityTooLarge,
	Code(admission.KeyRequired):     http.StatusBadRequest,
	Code(admission.ExpiryRequired):  http.StatusBadRequest,
	Code(admission.ExpiryTooFar):    http.StatusBadRequest,
	Code(admission.Expired):         http.StatusGone,
	Code(admission.NoWorkerFits):    http.StatusUnprocessableEntity,
	Code(admission.OverQuota):       http.StatusTooManyRequests,
}

// Status returns the HTTP status of an answer: 200 for complete, 202 for
// running, 502 for failed, 500 for unknown, 409 for a key conflict, 404 for a
// key that is not known, and 503 for an entry that is overloaded or draining,
// even if the job may run by another request. Other not-run answers have a 4xx
// status if the caller has to change the request, else 503.
func (a *Answer) Status() int {
	if a.Code == KeyConflict {
		return http.StatusConflict
	}
	if a.Code == Overloaded || a.Code == Draining {
		return http.StatusServiceUnavailable
	}
	if a.Code == UnknownJob {
		return http.StatusNotFound
	}
	switch a.Ran {
	case Complete:
		return http.StatusOK
	case Running:
		return http.StatusAccepted
	case Failed:
		return http.StatusBadGateway
	case NotRun:
		if status, ok := notRunStatuses[a.Code]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
