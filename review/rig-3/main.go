// Command rig plays one case of the review: it starts the programs of the deploy file
// with stand-ins of the store, the workers and the clients, and judges a rule by what
// these have seen. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// caseOf is a case with the machines that it needs.
type caseOf struct {
	entries, sidecars, cpu int
	play                   func(s *system, trouble string) (verdict, error)
}

var cases = map[string]caseOf{
	"11": {3, 6, 64000, playTwice},
	"12": {3, 6, 8000, playCancelledBehindCut},
	"13": {3, 8, 64000, playTakeover},
	"14": {3, 6, 64000, playCancelledBestEffort},
	"15": {3, 6, 64000, playSilentStore},
}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT FOLDER")
		return 2
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return 2
	}
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE")
	r.add("case begins", "case", os.Args[1], "trouble", trouble)
	s, err := newSystem(r, os.Args[2], c.entries, c.sidecars, c.cpu)
	if s != nil {
		defer s.close()
	}
	if err == nil {
		err = s.awaitServing(20 * time.Second)
	}
	if err != nil {
		return unable(r, err)
	}
	// contact_ms of calm, so that every machine is in touch.
	time.Sleep(3500 * time.Millisecond)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, playErr := c.play(s, trouble)
		done <- result{v, playErr}
	}()
	select {
	case <-interrupted:
		return unable(r, fmt.Errorf("interrupted"))
	case <-time.After(95 * time.Second):
		return unable(r, fmt.Errorf("not over in time"))
	case d := <-done:
		if d.err != nil {
			return unable(r, d.err)
		}
		r.add("verdict", "broken", d.broken, "because", d.text)
		fmt.Printf("broken=%v: %s\n", d.broken, d.text)
		if d.broken {
			return 1
		}
		return 0
	}
}

func unable(r *record, err error) int {
	r.add("case could not run", "because", err)
	fmt.Fprintln(os.Stderr, "case could not run:", err)
	return 2
}
