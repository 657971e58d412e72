package zone

import (
	"errors"
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// TestConfigCheck guards against a configuration that is accepted although its settings contradict each other, and
// checks the error messages that operators see.
func TestConfigCheck(t *testing.T) {
	cases := []struct {
		name     string
		change   func(*Config)
		want     error
		wantText string
	}{
		{"default", func(*Config) {}, nil, ""},
		{"normal share not below partial disruption share", func(c *Config) { c.NormalShare = 0.4 }, ErrNormalShareOrder, "clear_percent must be less than suspect_percent"},
		{"partial disruption share above full disruption share", func(c *Config) { c.PartialDisruptionShare = 0.6 }, ErrDisruptionShareOrder, "suspect_percent must not exceed lost_percent"},
		{"initial hold-down above the maximum", func(c *Config) { c.InitialHoldDown = 31 * micros.Second }, ErrHoldDownOrder, "hold_down_s must not exceed hold_down_most_s"},
		{"no steps", func(c *Config) { c.OpenShares = nil }, ErrOpenSharesEnd, "step_percent must end with 100"},
		{"last step not open", func(c *Config) { c.OpenShares = []float64{0.5} }, ErrOpenSharesEnd, "step_percent must end with 100"},
		{"decreasing steps", func(c *Config) { c.OpenShares = []float64{0.5, 0.25, 1} }, ErrOpenSharesOrder, "step_percent must increase, but 25 follows 50"},
		{"duplicate class", func(c *Config) { c.EvacuationOrder = []string{"scan", "scan"} }, ErrDuplicate, "class scan is listed twice"},
		{"duplicate zone", func(c *Config) { c.ExemptZones = []string{"a", "b", "a"} }, ErrDuplicate, "exempt a is listed twice"},
	}
	for _, tc := range cases {
		c := DefaultConfig(4 * micros.Second)
		c.OpenShares = slices.Clone(c.OpenShares)
		tc.change(&c)
		err := c.Check()
		if !errors.Is(err, tc.want) || err != nil && err.Error() != tc.wantText {
			t.Errorf("%s: Check() = %v, want error %v with text %q", tc.name, err, tc.want, tc.wantText)
		}
	}
}
