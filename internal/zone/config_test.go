package zone

import (
	"errors"
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// TestConfigCheck rejects settings that contradict each other, in the words that operators see.
func TestConfigCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
		want   error
		text   string
	}{
		{"default", func(*Config) {}, nil, ""},
		{"normal share over partial disruption", func(c *Config) { c.NormalShare = 0.4 }, ErrNormalShareOrder, "clear_percent must be under suspect_percent"},
		{"partial disruption over full", func(c *Config) { c.PartialDisruptionShare = 0.6 }, ErrDisruptionShareOrder, "suspect_percent must not be over lost_percent"},
		{"hold-down over its bound", func(c *Config) { c.InitialHoldDown = 31 * micros.Second }, ErrHoldDownOrder, "hold_down_s must not be over hold_down_most_s"},
		{"no steps", func(c *Config) { c.OpenShares = nil }, ErrOpenSharesEnd, "step_percent must end with 100"},
		{"last step not open", func(c *Config) { c.OpenShares = []float64{0.5} }, ErrOpenSharesEnd, "step_percent must end with 100"},
		{"steps that fall", func(c *Config) { c.OpenShares = []float64{0.5, 0.25, 1} }, ErrOpenSharesOrder, "step_percent must rise, and 25 follows 50"},
		{"duplicate class", func(c *Config) { c.EvacuationOrder = []string{"scan", "scan"} }, ErrDuplicate, "class scan stands there twice"},
		{"duplicate zone", func(c *Config) { c.ExemptZones = []string{"a", "b", "a"} }, ErrDuplicate, "exempt a stands there twice"},
	}
	for _, tc := range cases {
		c := DefaultConfig(4 * micros.Second)
		c.OpenShares = slices.Clone(c.OpenShares)
		tc.change(&c)
		err := c.Check()
		if !errors.Is(err, tc.want) || err != nil && err.Error() != tc.text {
			t.Errorf("%s: %v, want %q", tc.name, err, tc.text)
		}
	}
}
