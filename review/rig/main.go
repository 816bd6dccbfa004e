// Command rig plays the cases of the review: it starts the project's programs as separate
// processes with the commands of the deploy file, on loopback addresses, with stand-ins of
// the platform's store, the workers and the callers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case. The disruptions happen only if trouble is true.
type scenario struct {
	labelled int
	// links is true if the first entry is behind links.
	links bool
	play  func(s *system, trouble bool) error
}

// maxPlay is how long a case may take.
const maxPlay = 110 * time.Second

var scenarios = map[string]scenario{
	"lost-mark":    {play: playLostMark},
	"blocked":      {play: playBlocked},
	"lost-cancel":  {play: playLostCancel},
	"orphan":       {play: playOrphan},
	"failed-twice": {play: playFailedTwice},
	"budget":       {play: playBudget},
	"gone-worker":  {play: playGoneWorker},
	"pending":      {labelled: 1, play: playPending},
	"held-back":    {links: true, play: playHeldBack},
	"late-start":   {play: playLateStart},
	"dead-owner":   {play: playDeadOwner},
	"crashes":      {play: playCrashes},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	c, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario")
		return exitFailed
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = rec.file.Close() }()
	s, err := newSystem(rec, c)
	if s != nil {
		defer s.close()
		go s.endEarly()
		err = s.begin(err)
	}
	if err == nil {
		rec.logf("the system serves; %s, trouble: %t", name, trouble)
		err = c.play(s, trouble)
	}
	if err != nil {
		rec.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	if len(rec.broken) > 0 {
		rec.logf("rule broken %d times", len(rec.broken))
		fmt.Println("rule broken:", rec.broken[0])
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// endEarly ends the processes if the case takes too long or is interrupted.
func (s *system) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxPlay):
	}
	s.record.logf("could not run: interrupted, or longer than %s", maxPlay)
	s.close()
	os.Exit(exitFailed)
}
