package capacity

import (
	"encoding/json"
	"runtime"

	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/caller"
)

const roleCallers = "callers' API"

// callerAPI measures what jobs cost in the HTTP handlers of an entry, outside
// the control thread.
func callerAPI(r *Report) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const rounds = 100
	var request, response, requestBytes, responseBytes []Point
	for _, tasks := range taskSizes {
		x := float64(tasks)
		job := &caller.Job{Team: team, Service: service, Key: "quote-0000000001"}
		answer := &wire.Answer{Service: service, Key: job.Key, Ran: wire.Ran_RAN_COMPLETE}
		for range tasks {
			job.Tasks = append(job.Tasks, caller.Task{Payload: json.RawMessage(`{"run-ms":100,"part":"fuse-40a"}`), Declared: 100})
			answer.Results = append(answer.Results, []byte(`{"price":120}`))
		}
		body, err := json.Marshal(job)
		if err != nil {
			return err
		}
		requestBytes = append(requestBytes, Point{x, float64(len(body))})
		start := threadTime()
		for range rounds {
			j, err := caller.DecodeJob(body)
			if err != nil {
				return err
			}
			j.Wire(startTime, false)
		}
		request = append(request, Point{x, micros(threadTime()-start) / rounds})
		start = threadTime()
		size := 0
		for range rounds {
			out, err := caller.AnswerOf(answer).JSON()
			if err != nil {
				return err
			}
			size = len(out)
		}
		response = append(response, Point{x, micros(threadTime()-start) / rounds})
		responseBytes = append(responseBytes, Point{x, float64(size)})
	}
	r.add(roleCallers, "decode, check and hash a job", "us", "task", request...)
	r.add(roleCallers, "encode an answer", "us", "task", response...)
	r.add(roleCallers, "bytes of a job", "B", "task", requestBytes...)
	r.add(roleCallers, "bytes of an answer", "B", "task", responseBytes...)
	return nil
}
