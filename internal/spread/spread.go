// Package spread simulates the load of one service without keys in several failure domains, in virtual time.
//
// Entry processes in each domain choose servers with pick.Picker, either with the fixed factor or with the spillover
// decision. Servers have slots and a bounded queue, and reject what does not fit. The simulation shows which share of the
// requests is answered within the objective, and which share crosses between domains. It opens no socket.
//
// # Usage
//
//	r := spread.Run(spread.Config{Seed: 1, Domains: domains, Length: time.Minute, Spill: true})
//	for _, d := range r.Domains {
//		fmt.Println(d.Name, d.Good, d.Crossed)
//	}
package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
	"github.com/samphiredrum/samphiredrum/pkg/spill"
)

const (
	// slots and queue are the number of requests that a server runs and holds.
	slots = 3
	queue = 6
	// objectiveRuns is the latency objective in mean run times.
	objectiveRuns = 5
	// nearWay and farWay are the one-way latencies within a failure domain and between two.
	nearWay = 200 * time.Microsecond
	farWay  = 900 * time.Microsecond
	// fixedFactor is the factor without the spillover decision.
	fixedFactor = 5
	// dialTime is the time until a request to a lost server fails, and listLag the time until it leaves the list.
	dialTime = 250 * time.Millisecond
	listLag  = 2 * time.Second
	// maxAttempts bounds the attempts of a request. Retries are at most retryShare of the requests in retryWindow.
	maxAttempts = 3
	retryShare  = 0.18
	retryWindow = 10 * time.Second
	// reportMaxAge is how long the load that a response reports counts.
	reportMaxAge = 500 * time.Millisecond
)

// Domain is a failure domain.
type Domain struct {
	Name               string
	Servers, Processes int
	// Load is the demand of the domain's callers, as a multiple of what its servers can run.
	Load float64
}

// Change changes a domain at a time.
type Change struct {
	At     time.Duration
	Domain int
	// Slowdown is the factor on the run times from now on, 0 for no change.
	Slowdown float64
	// Demand is the factor on the demand from now on, 0 for no change.
	Demand float64
	// Lose ends the servers of the domain, and Restore starts them.
	Lose, Restore bool
}

// Config configures a simulation.
type Config struct {
	Seed    uint64
	Domains []Domain
	Changes []Change
	Length  time.Duration
	// Run is the mean run time of a request. The latency objective is five times as long.
	Run time.Duration
	// Spill selects the spillover decision in place of the fixed factor.
	Spill bool
	// From and Until bound the arrivals that the totals count; Until is Length by default.
	From, Until time.Duration
}

// Totals are the results for the callers of one domain.
type Totals struct {
	Name string
	// Requests is the number of requests, and Good the number of those that were answered within the objective.
	Requests, Good int
	// Crossed is the number of requests of which an attempt went to another domain.
	Crossed int
	// Shares has the share of requests that crossed in each second, from the start of the simulation.
	Shares []float64
}

// GoodShare returns the share of requests that were answered within the objective.
func (t Totals) GoodShare() float64 { return float64(t.Good) / float64(max(1, t.Requests)) }

// CrossedShare returns the share of requests that crossed.
func (t Totals) CrossedShare() float64 { return float64(t.Crossed) / float64(max(1, t.Requests)) }

// Result is the result of a simulation.
type Result struct {
	Domains []Totals
}

// server is one server.
type server struct {
	domain  int
	lost    bool
	running int
	waiting []func()
}

// process is one entry process.
type process struct {
	domain  int
	picker  *pick.Picker
	retries *limit.Quota
}

// request is one request.
type request struct {
	process  *process
	arrived  time.Time
	attempts int
	crossed  bool
	call     pick.Call
}

// simulation is the state of one run.
type simulation struct {
	config   Config
	random   *rand.Rand
	now, end time.Time
	events   events
	sequence int
	servers  []*server
	// processes has the processes of each domain.
	processes [][]*process
	slowdown  []float64
	demand    []float64
	totals    []Totals
	// seconds has the requests and those that crossed of each domain and second.
	seconds [][][2]int
}

var epoch = time.Unix(0, 0)

// Run runs a simulation. The result depends only on the configuration.
func Run(c Config) Result {
	if c.Until == 0 {
		c.Until = c.Length
	}
	s := &simulation{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), now: epoch, end: epoch.Add(c.Length)}
	s.build()
	for i := range c.Domains {
		s.arrive(i)
	}
	for _, change := range c.Changes {
		s.after(change.At, func() { s.apply(change) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	for i := range s.totals {
		for _, n := range s.seconds[i] {
			s.totals[i].Shares = append(s.totals[i].Shares, float64(n[1])/float64(max(1, n[0])))
		}
	}
	return Result{Domains: s.totals}
}

// build creates the servers and processes.
func (s *simulation) build() {
	for i, d := range s.config.Domains {
		for range d.Servers {
			s.servers = append(s.servers, &server{domain: i})
		}
		rate := d.Load * float64(d.Servers) * slots / s.config.Run.Seconds()
		s.slowdown, s.demand = append(s.slowdown, 1), append(s.demand, rate)
		s.totals = append(s.totals, Totals{Name: d.Name})
		s.seconds = append(s.seconds, make([][2]int, int(s.config.Length/time.Second)+1))
	}
	for i, d := range s.config.Domains {
		var group []*process
		for range d.Processes {
			group = append(group, s.newProcess(i, d.Name))
		}
		s.processes = append(s.processes, group)
	}
	s.list()
}

func (s *simulation) newProcess(domain int, name string) *process {
	c := pick.Config{FailureDomain: name, LocalFactor: fixedFactor}
	if s.config.Spill {
		c.Spill = spill.New(spill.Config{Home: name}, s.random)
	}
	return &process{domain: domain, picker: pick.New(c, s.random), retries: limit.NewQuota(retryShare, 1, retryWindow)}
}

// serverID returns the ID of the server at an index.
func serverID(i int) assign.ServerID { return assign.ServerID(fmt.Sprintf("s%04d", i)) }

// serverIndex returns the index of the server with an ID.
func serverIndex(id assign.ServerID) int {
	n := 0
	for _, digit := range id[1:] {
		n = n*10 + int(digit-'0')
	}
	return n
}

// list sends the list of the servers that are not lost to all processes.
func (s *simulation) list() {
	var servers []assign.Server
	for i, v := range s.servers {
		if !v.lost {
			servers = append(servers, assign.Server{ID: serverID(i), FailureDomain: s.config.Domains[v.domain].Name, Slots: slots})
		}
	}
	for _, group := range s.processes {
		for _, p := range group {
			p.picker.Update(s.now, servers)
		}
	}
}

// apply makes a change.
func (s *simulation) apply(c Change) {
	if c.Slowdown > 0 {
		s.slowdown[c.Domain] = c.Slowdown
	}
	if c.Demand > 0 {
		s.demand[c.Domain] *= c.Demand
	}
	if !c.Lose && !c.Restore {
		return
	}
	for _, v := range s.servers {
		if v.domain == c.Domain {
			v.lost = c.Lose
		}
	}
	s.after(listLag, s.list)
}
