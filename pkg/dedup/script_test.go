package dedup_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

// script runs the commands of one file in testdata against recorders and one booking.
type script struct {
	t         datadriven.TestData
	now       time.Time
	recorders map[string]*dedup.Recorder
	asks      []dedup.SendAsk
	booking   *dedup.Booking
	view      dedup.View
	out       strings.Builder
}

func (s *script) arg(key, fallback string) string {
	for _, a := range s.t.CmdArgs {
		if a.Key == key {
			return strings.Join(a.Vals, ",")
		}
	}
	return fallback
}

func (s *script) number(key string, fallback uint64) uint64 {
	n := fallback
	if text := s.arg(key, ""); text != "" {
		_, err := fmt.Sscan(text, &n)
		Expect(err).NotTo(HaveOccurred(), s.t.Pos)
	}
	return n
}

func (s *script) key() dedup.Key {
	id := s.arg("key", "own-1")
	if version := s.number("issued", 0); version > 0 {
		id = dedup.Issue(version, "p", [16]byte{byte(len(id))})
	}
	return dedup.Key{Scope: "depot/orders", Identifier: id}
}

func (s *script) attempt() dedup.Attempt {
	return dedup.Attempt{Process: "p", Incarnation: 1, Number: s.number("attempt", 1)}
}

func (s *script) outcome() dedup.Outcome {
	o, err := dedup.OutcomeString(s.arg("outcome", "ran"))
	Expect(err).NotTo(HaveOccurred(), s.t.Pos)
	return o
}

func (s *script) answer() dedup.Answer {
	return dedup.Answer{Status: int(s.number("status", 0)), Body: make([]byte, s.number("body", 0))}
}

// bucket parses the argument recorders, written as (name:incarnation:joined,...).
func (s *script) bucket() assign.Bucket {
	b := assign.Bucket{
		Generation: s.number("generation", 1),
		Horizon:    s.number("horizon", 0),
		Start:      s.number("start", 1),
	}
	for _, text := range strings.Split(s.arg("recorders", "a:1:1,b:1:1"), ",") {
		part := strings.Split(text, ":")
		var incarnation, joined uint64
		_, err := fmt.Sscan(part[1]+" "+part[2], &incarnation, &joined)
		Expect(err).NotTo(HaveOccurred(), s.t.Pos)
		b.Recorders = append(b.Recorders, assign.ProcessID(part[0]))
		b.Incarnations = append(b.Incarnations, incarnation)
		b.Joined = append(b.Joined, joined)
	}
	return b
}

func (s *script) run(t datadriven.TestData) string {
	s.t = t
	s.out.Reset()
	after, err := time.ParseDuration(s.arg("after", "0s"))
	Expect(err).NotTo(HaveOccurred(), t.Pos)
	s.now = s.now.Add(after)
	switch t.Cmd {
	case "recorder", "table", "reserve", "finish", "ready", "copy":
		s.runRecorder()
	default:
		s.runBooking()
	}
	if s.out.Len() == 0 {
		return "nothing"
	}
	return s.out.String()
}

func (s *script) runRecorder() {
	name := s.arg("at", "a")
	r := s.recorders[name]
	switch s.t.Cmd {
	case "recorder":
		r = dedup.NewRecorder(dedup.Config{
			Self:        assign.ProcessID(name),
			Incarnation: s.number("incarnation", 1),
			Entries:     int(s.number("entries", 100)),
			Bytes:       int(s.number("bytes", 10000)),
			ChunkBytes:  1,
		})
		s.recorders[name] = r
	case "table":
		s.printAsks(r.Step(s.now, dedup.TableApplied{Version: s.number("version", 1), Buckets: []assign.Bucket{s.bucket()}}))
	case "reserve":
		q := dedup.Reserve{Generation: s.number("generation", 1), Key: s.key(), Attempt: s.attempt()}
		s.printReserved(r.Reserve(s.now, q))
		return
	case "finish":
		q := dedup.Finish{Generation: s.number("generation", 1), Key: s.key(), Attempt: s.attempt(), Outcome: s.outcome(), Answer: s.answer()}
		fmt.Fprintln(&s.out, r.Finish(s.now, q).Status)
		return
	case "copy":
		s.copy(r)
	}
	fmt.Fprintf(&s.out, "ready=%v entries=%d\n", r.Ready(), r.Len())
}

func (s *script) printAsks(actions []dedup.RecorderAction) {
	s.asks = nil
	for _, a := range actions {
		ask := a.(dedup.SendAsk)
		s.asks = append(s.asks, ask)
		fmt.Fprintf(&s.out, "ask %s after %q\n", ask.To, ask.Ask.After.Identifier)
	}
}

// copy delivers the requests for chunks to their recorders and returns the answers, up to limit times.
func (s *script) copy(r *dedup.Recorder) {
	for n := s.number("limit", 10); n > 0 && len(s.asks) > 0; n-- {
		c := s.recorders[string(s.asks[0].To)].Export(s.now, s.asks[0].Ask)
		fmt.Fprintf(&s.out, "%s entries=%d last=%v\n", c.Status, len(c.Entries), c.Last)
		s.printAsks(r.Step(s.now, dedup.ChunkReceived{Chunk: c}))
	}
}

func (s *script) printReserved(a dedup.Reserved) {
	fmt.Fprint(&s.out, a.Status)
	if a.Status == dedup.Finished {
		fmt.Fprintf(&s.out, " status=%d body=%d omitted=%v", a.Answer.Status, len(a.Answer.Body), a.Answer.Omitted)
	}
	fmt.Fprintln(&s.out)
}

func (s *script) runBooking() {
	switch s.t.Cmd {
	case "booking":
		s.view = dedup.View{Version: s.number("version", 1), Bucket: s.bucket()}
		s.booking = dedup.NewBooking(s.now, dedup.BookingConfig{
			Attempt:  s.attempt(),
			Key:      s.key(),
			Deadline: s.now.Add(time.Second),
		}, s.view)
		s.step(dedup.Begin{})
	case "change":
		s.view = dedup.View{Version: s.number("version", 2), Bucket: s.bucket()}
		s.step(dedup.TableChanged{View: s.view})
	case "confirm":
		s.step(dedup.TableConfirmed{Version: s.view.Version, At: s.now})
	case "answer":
		status, err := dedup.StatusString(s.arg("with", "new"))
		Expect(err).NotTo(HaveOccurred(), s.t.Pos)
		s.step(dedup.ReserveAnswered{From: assign.ProcessID(s.arg("from", "a")), Reserved: dedup.Reserved{
			Status:     status,
			Generation: s.number("generation", s.view.Bucket.Generation),
			Attempt:    s.attempt(),
			Answer:     s.answer(),
		}})
	case "ended":
		s.step(dedup.CallEnded{Outcome: s.outcome(), Answer: s.answer()})
	case "accept":
		s.step(dedup.FinishAnswered{From: assign.ProcessID(s.arg("from", "a")), Ended: dedup.Ended{
			Status: dedup.Accepted, Generation: s.view.Bucket.Generation, Attempt: s.attempt(),
		}})
	case "abort":
		s.step(dedup.Abort{})
	case "tick":
		s.step(dedup.Tick{})
	default:
		Fail("unknown command at " + s.t.Pos)
	}
}

func (s *script) step(e dedup.BookingEvent) {
	for _, a := range s.booking.Step(s.now, e) {
		switch a := a.(type) {
		case dedup.SendReserve:
			fmt.Fprintf(&s.out, "reserve at %s generation=%d\n", a.To, a.Reserve.Generation)
		case dedup.SendFinish:
			fmt.Fprintf(&s.out, "finish at %s generation=%d %s\n", a.To, a.Finish.Generation, a.Finish.Outcome)
		case dedup.SendCall:
			fmt.Fprintln(&s.out, "send the call")
		case dedup.Conclude:
			fmt.Fprintf(&s.out, "conclude %s %s status=%d wait=%s\n", a.Outcome, a.Reason, a.Answer.Status, a.Wait)
		case dedup.Close:
			fmt.Fprintln(&s.out, "close")
		}
	}
}

var _ = Describe("scripts", func() {
	// Guards against unintended changes of the answers in the cases of the files.
	It("give the results in their files", func() {
		paths, err := filepath.Glob("testdata/*.txt")
		Expect(err).NotTo(HaveOccurred())
		Expect(paths).NotTo(BeEmpty())
		for _, path := range paths {
			s := &script{now: start, recorders: map[string]*dedup.Recorder{}}
			datadriven.RunTestAny(GinkgoTB(), path, func(_ testing.TB, t *datadriven.TestData) string { return s.run(*t) })
		}
	})
})
