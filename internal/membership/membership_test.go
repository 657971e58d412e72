package membership

import (
	"errors"
	"testing"

	"caperlatch/internal/micros"
)

// TestConfigCheck guards against a configuration that is accepted although its times contradict each other.
func TestConfigCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
		want   error
	}{
		{"default", func(*Config) {}, nil},
		{"suspected after two heartbeats", func(c *Config) { c.HeartbeatInterval = 1500 * micros.Millisecond }, ErrSuspectTooSoon},
		{"minimum timeout above the maximum", func(c *Config) { c.MinSuspicionTimeout = c.MaxSuspicionTimeout + 1 }, ErrSuspicionTimeoutOrder},
	}
	for _, tc := range cases {
		c := DefaultConfig()
		tc.change(&c)
		if err := c.Check(); !errors.Is(err, tc.want) {
			t.Errorf("%s: Check() = %v, want %v", tc.name, err, tc.want)
		}
	}
}
