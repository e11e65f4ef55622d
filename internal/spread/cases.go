package spread

import "time"

const (
	// calmLoad and fullLoad are demands as multiples of what the servers can run.
	calmLoad = 0.6
	fullLoad = 1.2
	// caseLength is the length of a case. The trouble begins at troubleFrom and, where it ends, ends at troubleUntil.
	caseLength   = 120 * time.Second
	troubleFrom  = 30 * time.Second
	troubleUntil = 80 * time.Second
	// slowFactor is the slowdown of servers, and burstFactor the growth of the demand.
	slowFactor  = 3
	burstFactor = 2.5
)

// Case is a load with a name.
type Case struct {
	Name   string
	Config Config
}

// Cases returns the loads that the spillover decision answers, for a mean run time and a seed. The first domain is the one
// in trouble. The number of processes is that of the larger deployments, so that each has a few requests a second.
func Cases(run time.Duration, seed uint64) []Case {
	trouble := func(begin, end Change) []Change {
		begin.At, end.At = troubleFrom, troubleUntil
		return []Change{begin, end}
	}
	cases := []Case{
		{"no-trouble", Config{Domains: domains(20, 22, calmLoad)}},
		{"too-few-servers", Config{Domains: domains(6, 22, 1)}},
		{"65-processes", Config{Domains: domains(6, 65, 1)}},
		{"90-processes", Config{Domains: domains(6, 90, 1)}},
		{"slow-servers", Config{Domains: domains(20, 22, calmLoad), Changes: trouble(Change{Slowdown: slowFactor}, Change{Slowdown: 1})}},
		{"always-slow", Config{Domains: domains(20, 22, calmLoad), Changes: []Change{{Slowdown: slowFactor}}}},
		{"burst", Config{Domains: domains(20, 22, calmLoad), Changes: trouble(Change{Demand: burstFactor}, Change{Demand: 1 / burstFactor})}},
		{"lost-domain", Config{Domains: domains(20, 22, calmLoad), Changes: trouble(Change{Lose: true}, Change{Restore: true})}},
		{"all-full", Config{Domains: []Domain{
			{Name: "a", Servers: 20, Processes: 22, Load: fullLoad},
			{Name: "b", Servers: 20, Processes: 22, Load: fullLoad},
			{Name: "c", Servers: 20, Processes: 21, Load: fullLoad},
		}}},
	}
	for i := range cases {
		c := &cases[i].Config
		c.Seed, c.Run, c.Length = seed, run, caseLength
		if len(c.Changes) > 1 {
			c.From, c.Until = troubleFrom, troubleUntil
		}
	}
	return cases
}

// domains returns three domains, of which the first has other numbers of servers and processes and another demand.
func domains(servers, processes int, load float64) []Domain {
	return []Domain{
		{Name: "a", Servers: servers, Processes: processes, Load: load},
		{Name: "b", Servers: 20, Processes: 22, Load: calmLoad},
		{Name: "c", Servers: 20, Processes: 21, Load: calmLoad},
	}
}
