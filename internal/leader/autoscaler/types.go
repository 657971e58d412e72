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

// TypeModel is an instance type with its staffing model. The model counts in machines of that type.
type TypeModel struct {
	wire.InstanceType
	Capacity placement.Resources
	// Mean is the infinite-server mean m, and MeanDelayTolerant the part of it that comes from delay-tolerant
	// jobs.
	Mean              float64
	MeanDelayTolerant float64
	// Demand measures the arrival rate λ of work, and delayTolerantDemand that of the work of delay-tolerant
	// jobs.
	Demand              *staffing.DemandWindow
	delayTolerantDemand *staffing.DemandWindow
	serviceTime         staffing.ServiceTime
	batches             staffing.BatchSizes
	finishedTasks       int
	// Required is the number of machines that the staffing formula requires; see stepModel for when it changes.
	// RequiredOnDemand is the same for work that is worth on-demand machines, with the z of on-demand prices.
	Required         float64
	RequiredOnDemand float64
	Target           int // number of machines toward which the fleet is scaled
	nextReviewAt     micros.Micros
}

// minPullGBPerS keeps the pull time of an image finite if the rate is 0. minCPUs keeps numbers of machines finite that
// result from dividing by CPUs.
const (
	minPullGBPerS = 0.01
	minCPUs       = 0.001
)

// SetInstanceTypes sets the instance types that the cloud offers now. The models of types that it no longer offers are
// kept.
func (s *Scaler) SetInstanceTypes(list wire.InstanceTypeList) {
	s.typeNames = s.typeNames[:0]
	s.typesVersion++
	for _, offered := range list.Types {
		s.typeNames = append(s.typeNames, offered.Name)
		t := s.types[offered.Name]
		if t == nil {
			t = &TypeModel{
				Demand:              staffing.NewDemandWindow(s.Tuning.Window),
				delayTolerantDemand: staffing.NewDemandWindow(s.Tuning.Window),
			}
			s.types[offered.Name] = t
		}
		t.InstanceType = offered
		t.Capacity = placement.Resources{
			CPU:    state.FloorMilli(offered.CPUs),
			GPU:    state.FloorMilli(offered.GPUs),
			Memory: state.FloorMilli(offered.MemoryGB),
			Tasks:  wire.MaxTasksPerMachine,
		}
	}
}

// Type returns the model of the named instance type, or nil if the type is not known.
func (s *Scaler) Type(name string) *TypeModel { return s.types[name] }

// Types returns the models of the known instance types by name. The caller must not change the map.
func (s *Scaler) Types() map[string]*TypeModel { return s.types }

// Fraction returns the fraction of a machine of the type that one task occupies, in the resource of which the task
// takes the largest fraction.
func (t *TypeModel) Fraction(need placement.Resources) float64 {
	fraction := 0.0
	capacity := t.Capacity
	for _, r := range [...]struct{ need, capacity int64 }{
		{need.CPU, capacity.CPU},
		{need.GPU, capacity.GPU},
		{need.Memory, capacity.Memory},
		{need.Tasks, capacity.Tasks},
	} {
		if r.capacity > 0 {
			fraction = math.Max(fraction, float64(r.need)/float64(r.capacity))
		}
	}
	return fraction
}

// occupiedCPUs returns how many of a machine's CPUs one task makes unavailable to others like it. For a task that needs
// mainly memory or GPUs, these are more than it uses.
func (t *TypeModel) occupiedCPUs(need placement.Resources) float64 { return t.Fraction(need) * t.CPUs }

// Price returns the hourly price of a machine of the type.
func (t *TypeModel) Price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// PullTimeS returns how long a machine of the type takes to pull an image, in seconds.
func (t *TypeModel) PullTimeS(imageSizeGB float64) float64 {
	return imageSizeGB / math.Max(t.ImagePullGBPerS, minPullGBPerS)
}

// PriceRatio returns the spot or on-demand price per CPU of a type, divided by the lowest price per CPU, spot or
// on-demand, of all types.
func (s *Scaler) PriceRatio(t *TypeModel, spot bool) float64 {
	lowest := math.Inf(1)
	for _, other := range s.types {
		lowest = math.Min(lowest, math.Min(other.OnDemandPrice, other.SpotPrice)/other.CPUs)
	}
	return math.Max(1, t.Price(spot)/t.CPUs/lowest)
}

// typesBySpotPrice returns the types in ascending order of their spot price per CPU.
func (s *Scaler) typesBySpotPrice() []*TypeModel {
	types := make([]*TypeModel, 0, len(s.typeNames))
	for _, name := range s.typeNames {
		types = append(types, s.types[name])
	}
	slices.SortStableFunc(types, func(a, b *TypeModel) int {
		return cmp.Compare(a.SpotPrice/a.CPUs, b.SpotPrice/b.CPUs)
	})
	return types
}

// OfferingsFor returns the offerings that a job's tasks may run on, in ascending order of the price per task.
// The result is cached in the job until the list of instance types changes.
func (s *Scaler) OfferingsFor(j *state.Job) []state.Offering {
	if j.OfferingsVersion != s.typesVersion {
		j.Offerings, j.OfferingsVersion = s.findOfferings(j), s.typesVersion
	}
	return j.Offerings
}

func (s *Scaler) findOfferings(j *state.Job) []state.Offering {
	type pricedOffering struct {
		state.Offering
		price float64 // per task and hour
	}
	var priced []pricedOffering
	for _, name := range s.typeNames {
		t := s.types[name]
		if t.Capacity.CountFitting(j.Need, wire.MaxTasksPerMachine) == 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				offering := state.Offering{Type: name, Zone: zone, Spot: spot}
				if j.MayRunOn(offering) {
					priced = append(priced, pricedOffering{offering, t.Price(spot) * t.Fraction(j.Need)})
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

// preferredType returns the type that a job's demand is counted for: the cheapest one for which the cloud has
// not recently reported a lack of capacity, else the cheapest one. It returns nil if the job's tasks fit no
// type.
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
