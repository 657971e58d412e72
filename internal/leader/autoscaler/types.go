package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
	"caperlatch/staffing"
)

// TypeModel is an instance type with its staffing model, in machines of that type.
type TypeModel struct {
	wire.InstanceType
	Capacity placement.Resources
	// Mean is the infinite-server mean m, and MeanBestEffort the part of it that delay-tolerant jobs bring.
	Mean              float64
	MeanDelayTolerant float64
	// Demand measures the rate λ at which work comes in, and bestEffortDemand that of delay-tolerant jobs.
	Demand           *staffing.DemandWindow
	bestEffortDemand *staffing.DemandWindow
	service          staffing.ServiceTime
	batches          staffing.BatchSizes
	finishedTasks    int
	// Required is what the formula requires, held for an interval, and WantedOnDemand the same with the z
	// of on-demand machines.
	Required         float64
	RequiredOnDemand float64
	Target           int // toward which the fleet is scaled
	heldUntil        micros.Micros
}

// unlimited is more tasks than any machine takes.
const unlimited = 1 << 20

// minPullGBPerS keeps an image's pull time finite, and minCPUs a machine's share of work.
const (
	minPullGBPerS = 0.01
	minCPUs       = 0.001
)

// SetInstanceTypes takes over the instance types that the cloud offers now.
func (s *Scaler) SetInstanceTypes(list wire.InstanceTypeList) {
	s.order = s.order[:0]
	s.version++
	for _, offered := range list.Types {
		s.order = append(s.order, offered.Name)
		t := s.types[offered.Name]
		if t == nil {
			t = &TypeModel{
				Demand:           staffing.NewDemandWindow(s.Tuning.Window),
				bestEffortDemand: staffing.NewDemandWindow(s.Tuning.Window),
			}
			s.types[offered.Name] = t
		}
		t.InstanceType = offered
		t.Capacity = placement.Resources{
			CPU:    state.FloorMilli(offered.CPUs),
			GPU:    state.FloorMilli(offered.GPUs),
			Memory: state.FloorMilli(offered.MemoryGB),
		}
	}
}

// Type is the instance type with a name, nil if it is not known.
func (s *Scaler) Type(name string) *TypeModel { return s.types[name] }

// Types are the known instance types by name. The map must not be changed.
func (s *Scaler) Types() map[string]*TypeModel { return s.types }

// Fraction is the part of a machine of the type that a task holds.
func (t *TypeModel) Fraction(need placement.Resources) float64 {
	fraction := 0.0
	for _, r := range [...]struct{ need, capacity int64 }{{need.CPU, t.Capacity.CPU}, {need.GPU, t.Capacity.GPU}, {need.Memory, t.Capacity.Memory}} {
		if r.capacity > 0 {
			fraction = math.Max(fraction, float64(r.need)/float64(r.capacity))
		}
	}
	return fraction
}

// Price is the price of a machine of the type per hour.
func (t *TypeModel) Price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// PullTimeS is how long a machine of the type pulls an image, in seconds.
func (t *TypeModel) PullTimeS(imageSizeGB float64) float64 {
	return imageSizeGB / math.Max(t.ImagePullGBPerS, minPullGBPerS)
}

// PriceRatio is a type's price per CPU over the cheapest that there is.
func (s *Scaler) PriceRatio(t *TypeModel, spot bool) float64 {
	least := math.Inf(1)
	for _, other := range s.types {
		least = math.Min(least, math.Min(other.OnDemandPrice, other.SpotPrice)/other.CPUs)
	}
	return math.Max(1, t.Price(spot)/t.CPUs/least)
}

// typesBySpotPrice orders the types by what a CPU costs as spot instance.
func (s *Scaler) typesBySpotPrice() []*TypeModel {
	types := make([]*TypeModel, 0, len(s.order))
	for _, name := range s.order {
		types = append(types, s.types[name])
	}
	slices.SortStableFunc(types, func(a, b *TypeModel) int {
		return cmp.Compare(a.SpotPrice/a.CPUs, b.SpotPrice/b.CPUs)
	})
	return types
}

// OfferingsFor lists what could be launched for a job, that on which its work is cheapest first.
// It is kept with the job for as long as the instance types stay as they are.
func (s *Scaler) OfferingsFor(j *state.Job) []state.Offering {
	if j.OfferingsVersion != s.version {
		j.Offerings, j.OfferingsVersion = s.findOfferings(j), s.version
	}
	return j.Offerings
}

func (s *Scaler) findOfferings(j *state.Job) []state.Offering {
	type pricedOffering struct {
		state.Offering
		price float64 // of a task per hour
	}
	var priced []pricedOffering
	for _, name := range s.order {
		t := s.types[name]
		if t.Capacity.CountFitting(j.Need, unlimited) == 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := state.Offering{Type: name, Zone: zone, Spot: spot}
				if j.MayRunOn(o) {
					priced = append(priced, pricedOffering{o, t.Price(spot) * t.Fraction(j.Need)})
				}
			}
		}
	}
	slices.SortStableFunc(priced, func(a, b pricedOffering) int { return cmp.Compare(a.price, b.price) })
	offerings := make([]state.Offering, len(priced))
	for i, p := range priced {
		offerings[i] = p.Offering
	}
	return offerings
}

// preferredType is the type that a job's demand is counted for: the cheapest of which the cloud had
// capacity lately, else the cheapest; nil if none takes its tasks.
func (s *Scaler) preferredType(j *state.Job, now micros.Micros) *TypeModel {
	offerings := s.OfferingsFor(j)
	for _, o := range offerings {
		if s.Fleet.HasCapacity(o, now) {
			return s.types[o.Type]
		}
	}
	if len(offerings) == 0 {
		return nil
	}
	return s.types[offerings[0].Type]
}
