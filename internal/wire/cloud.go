package wire

// InstanceType is an entry of the catalog.
type InstanceType struct {
	Name            string   `json:"name"`
	CPUs            float64  `json:"vcpus"`
	GPUs            float64  `json:"cards"`
	MemoryGB        float64  `json:"memory_gb"`
	ImageCacheGB    float64  `json:"local_gb"`
	ImagePullGBPerS float64  `json:"fetch_gb_per_s"`
	OnDemandPrice   float64  `json:"price"`
	SpotPrice       float64  `json:"low_price"`
	BootTimeS       float64  `json:"startup_s"`
	Zones           []string `json:"halls"`
}

// InstanceTypeList is what the cloud offers.
type InstanceTypeList struct {
	Types []InstanceType `json:"builds"`
}

// LaunchRequest asks the cloud for machines.
type LaunchRequest struct {
	RequestID    string `json:"booking"`
	InstanceType string `json:"build"`
	Zone         string `json:"hall"`
	Spot         bool   `json:"standby"`
	Count        int    `json:"how_many"`
}

// InstanceIDs lists machines by name.
type InstanceIDs struct {
	IDs []string `json:"hosts"`
}

// InstanceState is the state of an instance in the cloud's list.
type InstanceState string

// States of instances.
const (
	InstanceBooting InstanceState = "booting"
	InstanceRunning InstanceState = "running"
	InstanceFailed  InstanceState = "failed"
)

// InstanceStatus is an entry of the cloud's list.
type InstanceStatus struct {
	ID           string        `json:"id"`
	Address      string        `json:"address"`
	InstanceType string        `json:"build"`
	Zone         string        `json:"hall"`
	Spot         bool          `json:"standby"`
	State        InstanceState `json:"status"`
	AgeS         float64       `json:"age_s"`
}

// InstancePage is a page of the cloud's list.
type InstancePage struct {
	Instances []InstanceStatus `json:"hosts"`
	HasMore   bool             `json:"has_next"`
}
