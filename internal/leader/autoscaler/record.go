package autoscaler

import (
	"math"

	"caperlatch/internal/micros"
)

// Record is what a new leader goes on from. It is stored under replica.AutoscalerKey.
type Record struct {
	Types map[string]TypeRecord `json:"types"`
	// Quarantined are jobs that are taken to be at fault, and how often they were tried.
	Quarantined map[string]int `json:"at_fault,omitempty"`
}

// TypeRecord is the model of one instance type, with the letters of the staffing formulas.
type TypeRecord struct {
	Lambda   float64 `json:"lambda"`
	M        float64 `json:"m"`
	Mu       float64 `json:"mu"`
	Finished int     `json:"finished"`
	Required float64 `json:"want"`
	Target   int     `json:"target"`
	InFlight int     `json:"in_flight"` // machines whose launch is in progress
}

// Record makes the record of the model as it is.
func (s *Scaler) Record(now micros.Micros) Record {
	r := Record{Types: map[string]TypeRecord{}}
	for _, t := range s.types {
		r.Types[t.Name] = TypeRecord{
			Lambda:   t.Demand.Rate(now),
			M:        t.Mean,
			Mu:       t.service.Rate(t.finishedTasks),
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

// Restore goes on from an earlier leader's record.
func (s *Scaler) Restore(r Record, now micros.Micros) {
	for name, t := range s.types {
		stored, ok := r.Types[name]
		if !ok {
			continue
		}
		t.Mean = stored.M
		t.Demand.Seed(now, stored.Lambda)
		// The target is taken anew as soon as the means are known: how long it was to hold is
		// not stored, and held anew by each of several leaders it outlasted its peak by minutes.
		t.Required, t.RequiredOnDemand = stored.Required, stored.Required
		if stored.Mu > 0 {
			// As if what is held had just ended: what ends first now are short tasks.
			t.service.ObserveFinished(math.Max(1, stored.M), 1/stored.Mu, 1)
			t.finishedTasks = stored.Finished
		}
	}
}
