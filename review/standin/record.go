package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt, one line per event with the time since the start.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	began  time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, writer: bufio.NewWriter(f), began: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%9.4f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.writer, format, args...)
	r.writer.WriteByte('\n')
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writer.Flush()
	r.file.Close()
}
