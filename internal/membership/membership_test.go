package membership

import (
	"errors"
	"testing"

	"caperlatch/internal/micros"
)

// TestConfigCheck rejects times that contradict each other.
func TestConfigCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
		want   error
	}{
		{"default", func(*Config) {}, nil},
		{"suspected after two heartbeats", func(c *Config) { c.HeartbeatInterval = 1500 * micros.Millisecond }, ErrSuspectTooSoon},
		{"timeout shorter without confirmations", func(c *Config) { c.MinSuspicionTimeout = c.MaxSuspicionTimeout + 1 }, ErrSuspicionTimeoutOrder},
	}
	for _, tc := range cases {
		c := DefaultConfig()
		tc.change(&c)
		if err := c.Check(); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}
