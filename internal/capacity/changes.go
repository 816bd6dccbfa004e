package capacity

import (
	"fmt"
	"runtime"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// entryChanges measures changes of the ownership record and of the text.
func entryChanges(r *Report) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const changes = 20
	var same, moved, sameBytes, movedBytes []Point
	for _, workers := range workerSizes {
		x := float64(workers)
		b := newEntryBed(workers)
		cpu, bytes := b.recordChanges(changes, false)
		same = append(same, Point{x, cpu})
		sameBytes = append(sameBytes, Point{x, bytes})
		cpu, bytes = b.recordChanges(changes, true)
		moved = append(moved, Point{x, cpu})
		movedBytes = append(movedBytes, Point{x, bytes})
	}
	r.add(roleEntry, "record change, own epochs kept", "us", "worker", same...)
	r.add(roleEntry, "record change, own epochs kept, bytes", "B", "worker", sameBytes...)
	r.add(roleEntry, "record change, 64 own epochs raised", "us", "worker", moved...)
	r.add(roleEntry, "record change, 64 own epochs raised, bytes", "B", "worker", movedBytes...)

	var text []Point
	for _, services := range []int{20, 100, 500} {
		b := newEntryBed(workerSizes[0])
		b.reset()
		for i := range changes {
			b.push(dispatch.TextAdopted{Revision: int64(i + 2), Text: largeText(services)})
			b.step()
		}
		text = append(text, Point{float64(services), micros(b.control) / changes})
	}
	r.add(roleEntry, "text change, 130 teams", "us", "service", text...)
	return nil
}

// recordChanges feeds records in which the epochs of this entry stay or rise,
// and returns CPU time in us and bytes of each.
func (b *entryBed) recordChanges(changes int, raise bool) (cpu, bytes float64) {
	b.reset()
	for range changes {
		next := *b.written
		for p := range next.Partitions {
			if raise {
				next.Partitions[p].Epoch += 2
			}
		}
		b.revision++
		next.Revision = b.revision
		b.written = &next
		b.push(dispatch.RecordRead{Record: next})
		// The core asks for a list of the sidecars at most every 500 ms.
		b.now += clock.Second
		for range 6 {
			b.now++
			b.step()
		}
	}
	return micros(b.control) / float64(changes), float64(b.out.bytes()+b.in.bytes()) / float64(changes)
}

func largeText(services int) *operator.Text {
	t := servicesText()
	for i := range 129 {
		t.Teams = append(t.Teams, operator.Team{Name: fmt.Sprint("team-", i), Share: 1, MaxQueuedTasks: 20_000})
	}
	for i := range services - 1 {
		s := t.Services[0]
		s.Name = fmt.Sprint("service-", i)
		t.Services = append(t.Services, s)
	}
	return t
}
