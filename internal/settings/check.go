package settings

import (
	"fmt"
)

// The least that the checks allow.
const (
	little       = 1e-3 // of rates and times, which must not be 0
	leastMemMB   = 16
	leastSockets = 16
	leastTxnOps  = 3
	// leastValueKB is what the largest value needs that cannot be split: the progress of
	// 8192 tasks.
	leastValueKB = 2
)

// check tells the first field found wrong.
func (s *Settings) check() error {
	c := &checker{}
	c.text("member", s.Member)
	c.addr("client_listen", s.ClientListen)
	c.addr("peer_bind", s.PeerListen)
	c.addr("external.cloud", s.External.Cloud)
	c.addr("external.state", s.External.State)
	c.peers(s)
	c.params(&s.Params)
	return c.err
}

// peers checks the other nodes.
func (c *checker) peers(s *Settings) {
	seen, addrs := map[string]bool{s.Member: true}, map[string]bool{s.PeerListen: true}
	for i, p := range s.Peers {
		name := fmt.Sprintf("seeds[%d].member", i)
		c.text(name, p.Member)
		c.that(!seen[p.Member], name, "stands there twice")
		seen[p.Member] = true
		// One peer under two names would pass for two that agree.
		at := fmt.Sprintf("seeds[%d].addr", i)
		c.addr(at, p.Addr)
		c.that(!addrs[p.Addr], at, "stands there twice")
		addrs[p.Addr] = true
	}
}

// params checks the description of the deployment.
func (c *checker) params(p *Params) {
	c.that(len(p.Zones) > 0, "params.zones", "is missing")
	c.amount("params.clock_error_ms", p.ClockErrorMS, 0)
	c.that(len(p.Teams) > 0, "params.teams", "is missing")
	c.teams(p.Teams)
	c.workers(p.Workers)
	c.state("params.state.", p.State)
	c.state("params.state.next.", p.State.AfterChange())
	c.amount("params.cloud.rps", p.Cloud.RPS, little)
	c.amount("params.cloud.list_lag_s", p.Cloud.ListLagS, 0)
	c.amount("params.limits.cpu", p.Limits.CPU, little)
	c.amount("params.limits.mem_mb", p.Limits.MemoryMB, leastMemMB)
	c.that(p.Limits.MaxSockets >= leastSockets, "params.limits.max_sockets", fmt.Sprintf("must be at least %d", leastSockets))
}

// teams checks the guarantees and limits of the teams.
func (c *checker) teams(all []Team) {
	names := map[string]bool{}
	for i, t := range all {
		at := fmt.Sprintf("params.teams[%d].", i)
		c.text(at+"name", t.Name)
		c.that(!names[t.Name], at+"name", "stands there twice")
		names[t.Name] = true
		c.amount(at+"cpus", t.GuaranteedCPUs, 0)
		c.amount(at+"cpus_max", t.MaxCPUs, 0)
		c.amount(at+"gpus", t.GuaranteedGPUs, 0)
		c.amount(at+"gpus_max", t.MaxGPUs, 0)
		c.that(t.MaxCPUs == 0 || t.GuaranteedCPUs <= t.MaxCPUs, at+"cpus", "is over cpus_max")
		c.that(t.MaxGPUs == 0 || t.GuaranteedGPUs <= t.MaxGPUs, at+"gpus", "is over gpus_max")
	}
}

// workers checks the times that workers keep.
func (c *checker) workers(w Workers) {
	c.amount("params.workers.report_s", w.HeartbeatIntervalS, little)
	c.amount("params.workers.lease_s", w.LeaseDurationS, little)
	c.amount("params.workers.cancel_s", w.CancellationTimeoutS, little)
	c.that(w.CancellationTimeoutS > w.LeaseDurationS, "params.workers.cancel_s", "must be over lease_s")
	c.amount("params.workers.gang_wait_s", w.GangAssemblyTimeoutS, 0)
	c.amount("params.workers.gang_peer_s", w.GangLossTimeoutS, 0)
}

// state checks the limits of the state service.
func (c *checker) state(at string, s State) {
	c.amount(at+"rps", s.RPS, little)
	c.amount(at+"write_rps", s.WriteRPS, little)
	c.amount(at+"value_kb", s.ValueKB, leastValueKB)
	c.that(s.TxnOps >= leastTxnOps, at+"txn_ops", fmt.Sprintf("must be at least %d", leastTxnOps))
}
