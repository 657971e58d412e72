package autoscaler

import (
	"math"

	"caperlatch/internal/micros"
)

// Record is the state of the autoscaler from which a new leader continues. It is stored under
// replica.AutoscalerKey.
type Record struct {
	Types map[string]TypeRecord `json:"types"`
	// Quarantined holds the IDs of the jobs that are considered the cause of their tasks' failures, with the number
	// of backoff rounds of each.
	Quarantined map[string]int `json:"at_fault,omitempty"`
}

// TypeRecord is the stored model of one instance type. Lambda, M and Mu are the symbols of the staffing
// formulas.
type TypeRecord struct {
	Lambda   float64 `json:"lambda"`
	M        float64 `json:"m"`
	Mu       float64 `json:"mu"`
	Finished int     `json:"finished"`
	Required float64 `json:"want"`
	Target   int     `json:"target"`
	InFlight int     `json:"in_flight"` // machines whose launch has not been answered
}

// Record returns the record of the model in its present state.
func (s *Scaler) Record(now micros.Micros) Record {
	r := Record{Types: map[string]TypeRecord{}}
	for _, t := range s.types {
		r.Types[t.Name] = TypeRecord{
			Lambda:   t.Demand.Rate(now),
			M:        t.Mean,
			Mu:       t.serviceTime.Rate(t.finishedTasks),
			Finished: t.finishedTasks,
			Required: t.Required,
			Target:   t.Target,
		}
	}
	for intent := range s.Fleet.OpenIntents() {
		t := r.Types[intent.Type]
		t.InFlight += intent.Count
		r.Types[intent.Type] = t
	}
	return r
}

// Restore continues from the record of an earlier leader.
func (s *Scaler) Restore(r Record, now micros.Micros) {
	for name, t := range s.types {
		stored, ok := r.Types[name]
		if !ok {
			continue
		}
		t.Mean = stored.M
		t.Demand.Seed(now, stored.Lambda)
		// The requirement is computed anew as soon as RaiseMeans has run. The end of the review interval is not
		// stored. When each of several leaders kept the requirement for a whole interval again, it outlasted its peak
		// by minutes.
		t.Required, t.RequiredOnDemand = stored.Required, stored.Required
		if stored.Mu > 0 {
			// The stored service rate gets the weight of the whole load on the machines, as if all of it had just
			// ended. Otherwise, the tasks that end first after a failover, which are short ones, would determine the
			// rate.
			t.serviceTime.ObserveFinished(math.Max(1, stored.M), 1/stored.Mu, 1)
			t.finishedTasks = stored.Finished
		}
	}
}
