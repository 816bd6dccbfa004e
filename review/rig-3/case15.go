package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	contact     = 3 * time.Second // contact_ms
	configApply = 2 * time.Second // config_apply_ms
	// askers is the number of clients that ask for a job's state at one time.
	askers    = 40
	droppedAt = "/pufi791/"
	addedAt   = "/pule252/"
)

// playSilentStore makes the open connections to the store silent for good, while new
// ones work. The configuration changes after contact_ms of calm: one route is dropped and
// another one added.
func playSilentStore(s *system, trouble string) (verdict, error) {
	s.configure(routePrefix, droppedAt)
	// Clients ask for the state of a job at all entries, of which one holds it.
	job := jobID(0x1501)
	if status, _, _ := s.send(s.entries[0], http.MethodPost, routePrefix+job, body(100, false, step{count: 2, cpu: 1000}), 3*time.Second); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job was not accepted: status %d", status)
	}
	var asking sync.WaitGroup
	for range askers {
		for _, m := range s.entries {
			asking.Go(func() {
				for range 3 {
					s.state(m, jobID(0x1502))
				}
			})
		}
	}
	asking.Wait()
	time.Sleep(4 * time.Second)
	calm := time.Now().Add(contact)
	if trouble == "" {
		s.record.add("open connections to the store go silent")
		for _, m := range s.machines() {
			m.storeLink.silence()
		}
	}
	time.Sleep(time.Second)
	acknowledged := s.configure(routePrefix, addedAt)
	s.record.add("configuration acknowledged", "version", s.version)
	from := acknowledged.Add(configApply)
	if calm.After(from) {
		from = calm
	}
	time.Sleep(time.Until(from.Add(20 * time.Millisecond)))
	var last string
	faults, n := 0, 0
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, m := range s.entries {
			n++
			sent := time.Now()
			if status, _, _ := s.send(m, http.MethodPost, droppedAt+jobID(0x150000+n), body(20, true, step{count: 1, cpu: 100}), 2*time.Second); status == http.StatusOK {
				faults++
				last = fmt.Sprintf("%s ran a job of the dropped route %d ms after the acknowledgement", m.name, sent.Sub(acknowledged).Milliseconds())
			}
			n++
			sent = time.Now()
			switch status, _, _ := s.send(m, http.MethodPost, addedAt+jobID(0x150000+n), body(20, true, step{count: 1, cpu: 100}), 2*time.Second); status {
			case http.StatusNotFound:
				faults++
				last = fmt.Sprintf("%s refused the added route with 404 %d ms after the acknowledgement", m.name, sent.Sub(acknowledged).Milliseconds())
			case 0:
				return verdict{}, errors.New("a request had no answer")
			}
		}
	}
	if faults > 0 {
		return verdict{true, fmt.Sprintf("CONFIG: %d requests sent later than config_apply_ms after the acknowledgement were handled by the older version; the last: %s", faults, last)}, nil
	}
	return verdict{false, "all requests were handled by the newer version"}, nil
}
