package node

import (
	"context"
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

// chunkTimeout bounds the request for a chunk of a bucket.
const chunkTimeout = time.Second

// recorder stores the booking identifiers that this process records, and forwards requests for others to
// their recorders. It implements entry.Recorders.
type recorder struct {
	node *Node

	mu      sync.Mutex
	machine *dedup.Recorder
	buckets []assign.Bucket
}

func newRecorder(n *Node) *recorder {
	return &recorder{node: n, machine: dedup.NewRecorder(dedup.Config{
		Self:        n.settings.Name,
		Incarnation: n.incarnation,
		Window:      n.settings.Timing.BookingWindow,
	})}
}

// apply applies the buckets of a table that a majority of the electors holds.
func (r *recorder) apply(t *assign.Table) {
	r.step(dedup.TableApplied{Version: t.Version, Buckets: t.Buckets})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buckets = t.Buckets
}

func (r *recorder) tick() {
	r.step(dedup.Tick{})
}

func (r *recorder) step(e dedup.RecorderEvent) {
	r.mu.Lock()
	actions := r.machine.Step(r.node.clock.Now(), e)
	r.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case dedup.SendAsk:
			task := &chunkTask{recorder: r, action: a}
			r.node.group.Go(task.run)
		}
	}
}

// version returns the table version for newly issued booking identifiers.
func (r *recorder) version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Version()
}

// copied returns the buckets still being copied that this process already has a full copy of.
func (r *recorder) copied() []peer.CopiedBucket {
	r.mu.Lock()
	defer r.mu.Unlock()
	var copied []peer.CopiedBucket
	for _, i := range r.machine.Ready() {
		if i < len(r.buckets) && r.buckets[i].Copying {
			copied = append(copied, peer.CopiedBucket{Bucket: i, Generation: r.buckets[i].Generation})
		}
	}
	return copied
}

// isRecorder reports whether this process is a recorder of any bucket.
func (r *recorder) isRecorder() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.buckets {
		for _, id := range b.Recorders {
			if id == r.node.settings.Name {
				return true
			}
		}
	}
	return false
}

// size returns the number of stored identifiers.
func (r *recorder) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Len()
}

func (r *recorder) reserve(q dedup.Reserve) dedup.Reserved {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Reserve(r.node.clock.Now(), q)
}

func (r *recorder) finish(q dedup.Finish) dedup.Ended {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Finish(r.node.clock.Now(), q)
}

func (r *recorder) export(q dedup.Ask) dedup.Chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Export(r.node.clock.Now(), q)
}

// Reserve implements entry.Recorders.
func (r *recorder) Reserve(ctx context.Context, to assign.ProcessID, q dedup.Reserve) (dedup.Reserved, error) {
	if to == r.node.settings.Name {
		return r.reserve(q), nil
	}
	l := r.node.links[to]
	if l == nil {
		return dedup.Reserved{}, peer.ErrUnreachable.New("process %s is not in the [peers] section of the settings; add it", to)
	}
	answer, err := l.traffic.Reserve(ctx, peer.ReserveRequest{Header: r.node.header(), Reserve: q})
	return answer.Reserved, err
}

// Finish implements entry.Recorders.
func (r *recorder) Finish(ctx context.Context, to assign.ProcessID, q dedup.Finish) (dedup.Ended, error) {
	if to == r.node.settings.Name {
		return r.finish(q), nil
	}
	l := r.node.links[to]
	if l == nil {
		return dedup.Ended{}, peer.ErrUnreachable.New("process %s is not in the [peers] section of the settings; add it", to)
	}
	answer, err := l.traffic.Finish(ctx, peer.FinishRequest{Header: r.node.header(), Finish: q})
	return answer.Ended, err
}

// chunkTask requests a chunk of a bucket from another recorder.
type chunkTask struct {
	recorder *recorder
	action   dedup.SendAsk
}

func (t *chunkTask) run() {
	n := t.recorder.node
	l := n.links[t.action.To]
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, chunkTimeout)
	defer cancel()
	answer, err := l.traffic.Export(ctx, peer.ExportRequest{Header: n.header(), Ask: t.action.Ask})
	if err != nil {
		return
	}
	t.recorder.step(dedup.ChunkReceived{Chunk: answer.Chunk})
}
