package settings

import "fmt"

// Lower bounds of settings.
const (
	minPositive = 1e-3 // for rates and durations, which must not be 0
	minMemoryMB = 16
	minSockets  = 16
	minTxnOps   = 3
	// minValueKB is the size of the largest value that cannot be split: the progress of 8192 tasks.
	minValueKB = 2
)

// check returns an error that names the first invalid field.
func (s *Settings) check() error {
	c := &checker{}
	c.notEmpty("member", s.Member)
	c.hostPort("client_listen", s.ClientListen)
	c.hostPort("peer_bind", s.PeerListen)
	c.hostPort("external.cloud", s.External.Cloud)
	c.hostPort("external.state", s.External.State)
	c.checkPeers(s)
	c.checkParams(&s.Params)
	return c.err
}

// checkPeers checks the addresses and names of the other nodes.
func (c *checker) checkPeers(s *Settings) {
	members, addrs := map[string]bool{s.Member: true}, map[string]bool{s.PeerListen: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("seeds[%d].", i)
		c.notEmpty(field+"member", peer.Member)
		c.unique(members, field+"member", peer.Member)
		// One peer listed under two names would be counted as two peers that agree.
		c.hostPort(field+"addr", peer.Addr)
		c.unique(addrs, field+"addr", peer.Addr)
	}
}

// checkParams checks the description of the deployment.
func (c *checker) checkParams(p *Params) {
	c.require(len(p.Zones) > 0, "params.zones", "is missing")
	c.atLeast("params.clock_error_ms", p.ClockErrorMS, 0)
	c.require(len(p.Teams) > 0, "params.teams", "is missing")
	c.checkTeams(p.Teams)
	c.checkWorkers(p.Workers)
	c.checkState("params.state.", p.State)
	c.checkState("params.state.next.", p.State.AfterChange())
	c.atLeast("params.cloud.rps", p.Cloud.RPS, minPositive)
	c.atLeast("params.cloud.list_lag_s", p.Cloud.ListLagS, 0)
	c.atLeast("params.limits.cpu", p.Limits.CPU, minPositive)
	c.atLeast("params.limits.mem_mb", p.Limits.MemoryMB, minMemoryMB)
	c.atLeastInt("params.limits.max_sockets", p.Limits.MaxSockets, minSockets)
}

// checkTeams checks the names, guarantees and limits of the teams.
func (c *checker) checkTeams(teams []Team) {
	names := map[string]bool{}
	for i, team := range teams {
		field := fmt.Sprintf("params.teams[%d].", i)
		c.notEmpty(field+"name", team.Name)
		c.unique(names, field+"name", team.Name)
		c.atLeast(field+"cpus", team.GuaranteedCPUs, 0)
		c.atLeast(field+"cpus_max", team.MaxCPUs, 0)
		c.atLeast(field+"gpus", team.GuaranteedGPUs, 0)
		c.atLeast(field+"gpus_max", team.MaxGPUs, 0)
		c.require(team.MaxCPUs == 0 || team.GuaranteedCPUs <= team.MaxCPUs, field+"cpus", "must not exceed cpus_max")
		c.require(team.MaxGPUs == 0 || team.GuaranteedGPUs <= team.MaxGPUs, field+"gpus", "must not exceed gpus_max")
	}
}

// checkWorkers checks the intervals and timeouts of workers.
func (c *checker) checkWorkers(w Workers) {
	c.atLeast("params.workers.report_s", w.HeartbeatIntervalS, minPositive)
	c.atLeast("params.workers.lease_s", w.LeaseDurationS, minPositive)
	c.atLeast("params.workers.cancel_s", w.CancellationTimeoutS, minPositive)
	c.require(w.CancellationTimeoutS > w.LeaseDurationS, "params.workers.cancel_s", "must be greater than lease_s")
	c.atLeast("params.workers.gang_wait_s", w.GangAssemblyTimeoutS, 0)
	c.atLeast("params.workers.gang_peer_s", w.GangLossTimeoutS, 0)
}

// checkState checks limits of the state service. The table is the prefix of the fields' names in the TOML file.
func (c *checker) checkState(table string, s State) {
	c.atLeast(table+"rps", s.RPS, minPositive)
	c.atLeast(table+"write_rps", s.WriteRPS, minPositive)
	c.atLeast(table+"value_kb", s.ValueKB, minValueKB)
	c.atLeastInt(table+"txn_ops", s.TxnOps, minTxnOps)
}
