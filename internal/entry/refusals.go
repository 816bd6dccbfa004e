package entry

import (
	"encoding/json"
	"net/http"

	"github.com/teaseltide/teaseltide/internal/httpd"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

// refuseOverloaded refuses a request because of overload. For a job with a
// caller's key, or a query about one, it must not answer not-run, because another
// request may run the job.
func (p *Process) refuseOverloaded(w http.ResponseWriter, keyed bool) {
	p.refuseJob(w, keyed, caller.Overloaded, "too many requests wait at this entry")
}

// refuseJob refuses a request for a job. If keyed, another request may have
// submitted the same job, so the answer is unknown instead of not-run.
func (p *Process) refuseJob(w http.ResponseWriter, keyed bool, code caller.Code, message string) {
	ran := caller.NotRun
	if keyed {
		ran = caller.Unknown
	}
	p.metrics.countRefusal(code)
	writeAnswer(w, &caller.Answer{Ran: ran, Code: code, Message: message})
}

// refuse answers not-run to a request that cannot have run a job.
func (p *Process) refuse(w http.ResponseWriter, code caller.Code, message string) {
	p.metrics.countRefusal(code)
	writeAnswer(w, &caller.Answer{Ran: caller.NotRun, Code: code, Message: message})
}

// refusalCodes maps the refusal reasons of the HTTP server to the codes of the API.
var refusalCodes = map[httpd.Reason]caller.Code{
	httpd.Malformed:      caller.MalformedRequest,
	httpd.BodyTooLarge:   caller.RequestTooLarge,
	httpd.HeaderTooLarge: caller.HeaderTooLarge,
	httpd.TooSlow:        caller.RequestTooSlow,
	httpd.Overloaded:     caller.Overloaded,
}

// refusalBody counts and encodes the refusals of the HTTP server.
func (p *Process) refusalBody(r httpd.Refusal) (string, []byte) {
	code := refusalCodes[r.Reason]
	p.metrics.countRefusal(code)
	body, err := json.Marshal(caller.Answer{Ran: caller.NotRun, Code: code, Message: r.Message})
	if err != nil {
		body = []byte(`{"ran":"not-run"}`)
	}
	return jsonType, body
}
