package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, values ...any) {
	r.write(format, values...)
	fmt.Printf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}
