package wire

// InstanceType describes an instance type that the cloud offers: its resources, prices and zones.
type InstanceType struct {
	Name            string   `json:"name"`
	CPUs            float64  `json:"vcpus"`
	GPUs            float64  `json:"cards"`
	MemoryGB        float64  `json:"memory_gb"`
	ImageCacheGB    float64  `json:"local_gb"`
	ImagePullGBPerS float64  `json:"fetch_gb_per_s"`
	OnDemandPrice   float64  `json:"price"`     // per hour
	SpotPrice       float64  `json:"low_price"` // current price per hour
	BootTimeS       float64  `json:"startup_s"` // nominal, in seconds
	Zones           []string `json:"halls"`
}

// InstanceTypeList lists the cloud's instance types.
type InstanceTypeList struct {
	Types []InstanceType `json:"builds"`
}

// LaunchRequest asks the cloud to launch instances. The cloud answers a request ID that it has already granted with
// the same response and launches nothing, so every launch needs a new ID.
type LaunchRequest struct {
	RequestID    string `json:"booking"`
	InstanceType string `json:"build"`
	Zone         string `json:"hall"`
	Spot         bool   `json:"standby"`
	Count        int    `json:"how_many"`
}

// InstanceIDs lists the IDs of instances that were launched, or that are to be terminated.
type InstanceIDs struct {
	IDs []string `json:"hosts"`
}

// InstanceState is the state of an instance in the cloud's list.
type InstanceState string

// States of instances.
const (
	InstanceBooting InstanceState = "booting"
	InstanceRunning InstanceState = "running"
	// InstanceFailed is the state of an instance that stopped on its own and has not been terminated yet.
	InstanceFailed InstanceState = "failed"
)

// InstanceStatus is an entry in the cloud's list of instances.
type InstanceStatus struct {
	ID           string        `json:"id"`
	Address      string        `json:"address"`
	InstanceType string        `json:"build"`
	Zone         string        `json:"hall"`
	Spot         bool          `json:"standby"`
	State        InstanceState `json:"status"`
	AgeS         float64       `json:"age_s"` // seconds since the launch request, as of the state that the list shows
}

// InstancePage is a page of the cloud's list of instances, ordered by ID.
type InstancePage struct {
	Instances []InstanceStatus `json:"hosts"`
	HasMore   bool             `json:"has_next"`
}
