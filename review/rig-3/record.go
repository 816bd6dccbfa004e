package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time in ms since its start.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{begin: time.Now(), file: f}, err
}

// add adds a line with fields, given as names and values by turns.
func (r *record) add(what string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var line strings.Builder
	fmt.Fprintf(&line, "%7d %s", time.Since(r.begin).Milliseconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		value := fields[i+1]
		if t, ok := value.(time.Time); ok {
			value = t.Sub(r.begin).Milliseconds()
		}
		fmt.Fprintf(&line, " %v=%v", fields[i], value)
	}
	fmt.Fprintln(r.file, line.String())
}

func (r *record) close() { _ = r.file.Close() }
