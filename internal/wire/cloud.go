package wire

// InstanceType is a type of instances that the cloud has: its resources, prices and zones.
type InstanceType struct {
	Name            string   `json:"name"`
	CPUs            float64  `json:"vcpus"`
	GPUs            float64  `json:"cards"`
	MemoryGB        float64  `json:"memory_gb"`
	ImageCacheGB    float64  `json:"local_gb"`
	ImagePullGBPerS float64  `json:"fetch_gb_per_s"`
	OnDemandPrice   float64  `json:"price"`     // an hour
	SpotPrice       float64  `json:"low_price"` // an hour, now
	BootTimeS       float64  `json:"startup_s"` // nominal
	Zones           []string `json:"halls"`
}

// InstanceTypeList lists the cloud's instance types.
type InstanceTypeList struct {
	Types []InstanceType `json:"builds"`
}

// LaunchRequest asks the cloud to launch instances. A request ID that was granted gets the same
// answer again and launches nothing, so none is used for two launches.
type LaunchRequest struct {
	RequestID    string `json:"booking"`
	InstanceType string `json:"build"`
	Zone         string `json:"hall"`
	Spot         bool   `json:"standby"`
	Count        int    `json:"how_many"`
}

// InstanceIDs lists instances: those that were launched, or those to be terminated.
type InstanceIDs struct {
	IDs []string `json:"hosts"`
}

// InstanceState is the state of an instance in the cloud's list.
type InstanceState string

// States of instances.
const (
	InstanceBooting InstanceState = "booting"
	InstanceRunning InstanceState = "running"
	// InstanceFailed is of an instance that stopped by itself and is not yet terminated.
	InstanceFailed InstanceState = "failed"
)

// InstanceStatus is an entry of the cloud's list of instances.
type InstanceStatus struct {
	ID           string        `json:"id"`
	Address      string        `json:"address"`
	InstanceType string        `json:"build"`
	Zone         string        `json:"hall"`
	Spot         bool          `json:"standby"`
	State        InstanceState `json:"status"`
	AgeS         float64       `json:"age_s"` // seconds from the launch request to when the list was true
}

// InstancePage is a page of the cloud's list, in the order of IDs.
type InstancePage struct {
	Instances []InstanceStatus `json:"hosts"`
	HasMore   bool             `json:"has_next"`
}
