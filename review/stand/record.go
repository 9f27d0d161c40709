package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{file: file, began: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// exitNotRun is the exit status of a case that could not run.
const exitNotRun = 2

// must ends the run if a step of the case itself failed.
func must(err error) {
	if err != nil {
		giveUp(err.Error())
	}
}

// giveUp ends the run, which has shown nothing.
func giveUp(reason string) {
	fmt.Fprintln(os.Stderr, "the case could not run:", reason)
	killAll()
	os.Exit(exitNotRun)
}
