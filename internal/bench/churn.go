package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// churnServers is the number of servers of the experiment churn.
	churnServers = 17
	// churnKeys is the number of keys whose owners are compared.
	churnKeys = 200_000
	// ringPoints is the number of points of one server on the consistent-hash ring.
	ringPoints = 100
	// hotKeys is the number of keys that become hot in one swing, hotLoad their share of all calls.
	hotKeys = 5
	hotLoad = 0.5
	// maxPlanRounds bounds the number of rebalancing rounds after a change.
	maxPlanRounds = 60
)

// placer maps hashes of keys to servers.
type placer interface {
	owner(hash uint64) assign.ServerID
}

// modulo maps a key to the server whose index is the hash modulo the number of servers.
type modulo []assign.Server

func (m modulo) owner(hash uint64) assign.ServerID {
	return m[hash%uint64(len(m))].ID
}

// ring maps keys with a consistent-hash ring.
type ring struct {
	points []uint64
	owners map[uint64]assign.ServerID
}

func newRing(servers []assign.Server) *ring {
	r := &ring{owners: make(map[uint64]assign.ServerID)}
	for _, s := range servers {
		for i := range ringPoints {
			p := assign.Hash(string(s.ID) + "#" + strconv.Itoa(i))
			r.points = append(r.points, p)
			r.owners[p] = s.ID
		}
	}
	slices.Sort(r.points)
	return r
}

func (r *ring) owner(hash uint64) assign.ServerID {
	i, _ := slices.BinarySearch(r.points, hash)
	return r.owners[r.points[i%len(r.points)]]
}

// spanTable maps keys with an assignment table, as the router does.
type spanTable struct{ table *assign.Table }

// churnService is the service in the tables of this experiment.
const churnService = assign.ServiceID("bench/keys")

func newSpanTable(servers []assign.Server) *spanTable {
	holdings := make([]assign.Holding, 0, len(servers)*assign.SpansPerServer)
	for _, p := range assign.Initial(servers, 1) {
		holdings = append(holdings, assign.Holding{Place: p, Open: true})
	}
	return &spanTable{table: &assign.Table{Services: map[assign.ServiceID][]assign.Holding{churnService: holdings}}}
}

func (p *spanTable) owner(hash uint64) assign.ServerID {
	h, _ := p.table.Lookup(churnService, hash)
	return h.Owner()
}

func (p *spanTable) holdings() []assign.Holding {
	return p.table.Services[churnService]
}

// apply returns the table after the moves of a plan.
func (p *spanTable) apply(plan assign.Plan) *spanTable {
	holdings := make([]assign.Holding, len(plan.Places))
	for i, place := range plan.Places {
		holdings[i] = assign.Holding{Place: place, Open: true}
	}
	for _, i := range plan.Moves {
		holdings[i].Rank = 1
	}
	return &spanTable{table: &assign.Table{Services: map[assign.ServiceID][]assign.Holding{churnService: holdings}}}
}

// churn compares the shares of keys that change their owner when a server leaves, when it returns, and when a few
// keys become hot.
func churn(s *session) error {
	servers := newChurnServers()
	without := servers[:len(servers)-1]
	needed := 1.0 / float64(len(servers))
	all := s.keyHashes()
	s.printChurn("leaves", "modulo", moved(all, modulo(servers), modulo(without)), needed)
	s.printChurn("leaves", "consistent-hash", moved(all, newRing(servers), newRing(without)), needed)
	before := newSpanTable(servers)
	after := before.apply(assign.Repair(before.holdings(), without))
	s.printChurn("leaves", "samphiredrum", moved(all, before, after), needed)
	s.print("change=leaves way=samphiredrum receivers=%d busiest-over-mean=%.3f", receivers(before, after), imbalanceOf(after, without, nil))
	s.print("change=leaves way=consistent-hash receivers=%d", ringReceivers(all, servers, without))
	s.printChurn("returns", "modulo", moved(all, modulo(without), modulo(servers)), needed)
	s.printChurn("returns", "consistent-hash", moved(all, newRing(without), newRing(servers)), needed)
	back, rounds := rebalanced(after, servers, nil, churnBudgets[s.options.User])
	s.printChurn("returns", "samphiredrum", moved(all, after, back), needed)
	s.print("change=returns way=samphiredrum minutes-of-budget=%d busiest-over-mean-before=%.3f busiest-over-mean-after=%.3f",
		rounds, imbalanceOf(after, servers, nil), imbalanceOf(back, servers, nil))
	s.hotSwing(all, before, servers)
	return nil
}

// receivers returns the number of servers that gained spans between two tables with the same spans.
func receivers(before, after *spanTable) int {
	got := make(map[assign.ServerID]bool)
	for i, h := range after.holdings() {
		if h.Owner() != before.holdings()[i].Owner() {
			got[h.Owner()] = true
		}
	}
	return len(got)
}

// ringReceivers returns the number of servers that gained keys when a server left the ring.
func ringReceivers(hashes []uint64, before, after []assign.Server) int {
	a, b := newRing(before), newRing(after)
	got := make(map[assign.ServerID]bool)
	for _, hash := range hashes {
		if a.owner(hash) != b.owner(hash) {
			got[b.owner(hash)] = true
		}
	}
	return len(got)
}

// churnBudgets are the churn budgets of the users' services with owners: the share of the hash
// space that may move in a minute.
var churnBudgets = map[string]float64{"khangai": 0.01, "bakugaisma": 0.05}

// printChurn prints the share of keys that moved. The needed share is the share of the server that left, or the
// share that the returned server should own.
func (s *session) printChurn(change, way string, share, needed float64) {
	s.print("change=%s way=%s servers=%d keys=%d moved-share=%.4f needed-share=%.4f moved-without-need=%.4f",
		change, way, churnServers, churnKeys, share, needed, max(0, share-needed))
}

// hotSwing makes a few keys of one randomly chosen server hot, three times in a row, and rebalances after each
// swing.
func (s *session) hotSwing(all []uint64, p *spanTable, servers []assign.Server) {
	random := s.random(churnKeys)
	budget := churnBudgets[s.options.User]
	for swing := range 3 {
		loads := map[uint64]float64(nil)
		for loads == nil {
			loads = hotLoads(all, p, servers[random.IntN(len(servers))].ID)
		}
		for hash, l := range loads {
			if l >= hotLoad/hotKeys/2 {
				if holdings, ok := assign.SplitHot(p.holdings(), hash); ok {
					p = &spanTable{table: &assign.Table{Services: map[assign.ServiceID][]assign.Holding{churnService: holdings}}}
				}
			}
		}
		before := imbalanceOf(p, servers, loads)
		// A hot key is one span and cannot be divided, so no plan can reduce the busiest server's load below that of
		// one hot key.
		s.print("change=hot-key-swing swing=%d least-possible-busiest-over-mean=%.3f", swing, hotLoad/hotKeys*float64(len(servers)))
		next, rounds := rebalanced(p, servers, loads, budget)
		ringBefore := imbalanceOf(newRing(servers), servers, loads)
		s.print("change=hot-key-swing way=samphiredrum swing=%d hot-keys=%d hot-load=%.2f moved-share=%.6f minutes-of-budget=%d busiest-over-mean-before=%.3f busiest-over-mean-after=%.3f",
			swing, hotKeys, hotLoad, moved(all, p, next), rounds, before, imbalanceOf(next, servers, loads))
		s.print("change=hot-key-swing way=consistent-hash swing=%d moved-share=0 busiest-over-mean-after=%.3f", swing, ringBefore)
		s.print("change=hot-key-swing way=modulo swing=%d moved-share=0 busiest-over-mean-after=%.3f", swing, imbalanceOf(modulo(servers), servers, loads))
		p = next
	}
}

// hotLoads returns the load of each hash, with hotKeys keys of one server getting the share hotLoad. It returns nil
// if the server owns fewer keys than that.
func hotLoads(all []uint64, p placer, server assign.ServerID) map[uint64]float64 {
	loads := make(map[uint64]float64, len(all))
	hot := 0
	for _, hash := range all {
		loads[hash] = (1 - hotLoad) / float64(len(all))
		if hot < hotKeys && p.owner(hash) == server {
			loads[hash] = hotLoad / hotKeys
			hot++
		}
	}
	if hot < hotKeys {
		return nil
	}
	return loads
}

// rebalanced repeats rebalancing, one round with the churn budget of a minute each, until nothing moves. It returns
// the table and the number of rounds with moves.
func rebalanced(p *spanTable, servers []assign.Server, loads map[uint64]float64, budget float64) (*spanTable, int) {
	for round := range maxPlanRounds {
		plan := assign.Rebalance(p.holdings(), servers, p.spanLoads(loads), budget)
		if len(plan.Moves) == 0 {
			return p, round
		}
		p = p.apply(plan)
	}
	return p, maxPlanRounds
}

// spanLoads returns the sum of the loads in each span, or nil if loads is nil.
func (p *spanTable) spanLoads(loads map[uint64]float64) map[assign.Span]float64 {
	if loads == nil {
		return nil
	}
	sums := make(map[assign.Span]float64)
	for hash, l := range loads {
		h, _ := p.table.Lookup(churnService, hash)
		sums[h.Span] += l
	}
	return sums
}

// imbalanceOf returns the ratio of the busiest server's load to the mean load. Without loads, the load of a server
// in a table is the width of its spans.
func imbalanceOf(p placer, servers []assign.Server, loads map[uint64]float64) float64 {
	byServer := make(map[assign.ServerID]float64)
	if t, ok := p.(*spanTable); ok && loads == nil {
		for _, h := range t.holdings() {
			byServer[h.Owner()] += h.Span.Share()
		}
	}
	for hash, l := range loads {
		byServer[p.owner(hash)] += l
	}
	return busiestOverMean(byServer, len(servers))
}

// busiestOverMean returns the ratio of the largest value to the mean of n values. Servers that are not in the map
// count as 0.
func busiestOverMean(loads map[assign.ServerID]float64, n int) float64 {
	total, busiest := 0.0, 0.0
	for _, l := range loads {
		total += l
		busiest = math.Max(busiest, l)
	}
	if total == 0 {
		return 0
	}
	return busiest * float64(n) / total
}

// moved returns the share of hashes whose owner differs between the two placers.
func moved(hashes []uint64, before, after placer) float64 {
	n := 0
	for _, hash := range hashes {
		if before.owner(hash) != after.owner(hash) {
			n++
		}
	}
	return float64(n) / float64(len(hashes))
}

func newChurnServers() []assign.Server {
	servers := make([]assign.Server, churnServers)
	for i := range servers {
		servers[i] = assign.Server{
			ID:            assign.ServerID(fmt.Sprintf("server-%02d", i+1)),
			Service:       churnService,
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1)),
			FailureDomain: failureDomain(i),
		}
	}
	return servers
}

// keyHashes returns the hashes of random keys.
func (s *session) keyHashes() []uint64 {
	random := rand.New(rand.NewPCG(s.options.Seed, churnServers))
	hashes := make([]uint64, churnKeys)
	for i := range hashes {
		hashes[i] = assign.Hash(strconv.FormatUint(random.Uint64(), 36))
	}
	return hashes
}
