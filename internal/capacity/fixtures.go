package capacity

import (
	"fmt"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// The measured installation: a core of an entry or a sidecar, two other entries,
// one team and one service, with times as in the default settings.
const (
	self          = ownership.Incarnation("entry-1-abcdefghij")
	other         = ownership.Incarnation("entry-2-abcdefghij")
	third         = ownership.Incarnation("entry-3-abcdefghij")
	service       = "quoting"
	team          = "electricians"
	domains       = 6
	slots         = 8
	prefixBytes   = 4
	startTime     = clock.Millis(1_000_000)
	taskRun       = clock.Millis(100)
	idleTick      = clock.Millis(10)
	retention     = 10 * clock.Minute
	clockSkew     = 5 * clock.Second
	suspectAfter  = clock.Second
	fenceGrace    = 3 * clock.Second
	bodyHashBytes = 32
)

func sidecarName(i int) ownership.Incarnation {
	return ownership.Incarnation(fmt.Sprintf("sidecar-%03d-abcdefghij", i))
}

func domainName(i int) ownership.Domain {
	return ownership.Domain(fmt.Sprint("domain-", i%domains))
}

func sidecarHello(i int) *wire.Hello {
	return &wire.Hello{
		Role: wire.Hello_ROLE_SIDECAR, Incarnation: string(sidecarName(i)), Name: fmt.Sprintf("sidecar-%03d", i), Domain: string(domainName(i)),
		RecordRevision: 1000, TextRevision: 900, Sidecar: sidecarState(i),
	}
}

func sidecarState(i int) *wire.SidecarState {
	return &wire.SidecarState{
		Incarnation: string(sidecarName(i)), Worker: fmt.Sprintf("worker-%03d", i), Domain: string(domainName(i)),
		Rack: fmt.Sprintf("rack-%03d", i/3), Services: []string{service}, Slots: slots, Connections: 64, MemoryMib: 256 << 10, Cpus: 64,
		Accelerators: 2, Ready: true, Address: "10.0.0.1:7300",
	}
}

func servicesText() *operator.Text {
	return &operator.Text{
		Teams: []operator.Team{{Name: team, Share: 1, MaxQueuedTasks: 1 << 20}},
		Services: []operator.Service{{
			Name: service, MaxTasksPerJob: 820, MaxPayload: 1 << 16,
			DefaultDeadline: clock.Minute, MaxDeadline: clock.Minute, RetryBudgetPercent: 10,
		}},
	}
}

// newJob returns a job with a caller's key as an entry receives it.
func newJob(n, tasks int) *wire.Job {
	j := &wire.Job{
		Key: fmt.Sprintf("quote-%010d", n), CallerKey: true, Team: team, Service: service, BodyHash: make([]byte, bodyHashBytes),
	}
	for range tasks {
		j.Tasks = append(j.Tasks, &wire.TaskSpec{Payload: []byte(`{"run-ms":100,"part":"fuse-40a"}`), DeclaredMs: 100})
	}
	return j
}

func jobRef(n, tasks int) *wire.JobRef {
	return &wire.JobRef{
		Key: fmt.Sprintf("quote-%010d", n), Team: team, Service: service, BodyHash: make([]byte, bodyHashBytes),
		ExpiresAtMs: int64(startTime + retention), TaskCount: uint32(tasks), CallerKey: true,
	}
}
