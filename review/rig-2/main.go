// Command rig runs a case of the second review: rig CASE FOLDER, in the root of the
// repository. It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// trouble is false if the disruption is left out.
var trouble = os.Getenv("TROUBLE") != "0"

const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit is the longest time of a case.
const limit = 115 * time.Second

var cases = map[string]func(rec *record, folder string) (breaks []string, err error){}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return notRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("logs in", folder)
	}
	rec.note("case %s, trouble %v", os.Args[1], trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	type result struct {
		breaks []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		breaks, err := cases[os.Args[1]](rec, folder)
		results <- result{breaks, err}
	}()
	var r result
	select {
	case r = <-results:
	case <-time.After(limit):
		r.err = fmt.Errorf("not over after %v", limit)
	case <-stop:
		r.err = fmt.Errorf("interrupted")
	}
	if current != nil {
		current.close()
	}
	for i, b := range r.breaks {
		if i == 10 {
			rec.note("and %d more", len(r.breaks)-i)
			break
		}
		rec.note("BROKEN %s", b)
	}
	switch {
	case len(r.breaks) > 0:
		rec.note("the rule was broken %d times", len(r.breaks))
		fmt.Printf("%s: broken %d times, first: %s\n", os.Args[1], len(r.breaks), r.breaks[0])
		return broken
	case r.err != nil:
		rec.note("not run: %v", r.err)
		fmt.Printf("%s: not run: %v\n", os.Args[1], r.err)
		return notRun
	}
	rec.note("the rule held")
	fmt.Printf("%s: held\n", os.Args[1])
	return held
}
