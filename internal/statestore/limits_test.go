package statestore

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// TestRateAndSizeLimits checks how many requests and operations a client sends in ten seconds when it always has more
// to send, and which values it accepts. Where the service's limits will change, the smaller ones apply.
func TestRateAndSizeLimits(t *testing.T) {
	lowerRate, ops, kb := 50.0, 2, 2.0
	upcoming := settings.UpcomingLimits{RPS: &lowerRate, WriteRPS: &lowerRate, TxnOps: &ops, ValueKB: &kb}
	cases := []struct {
		name                          string
		limits                        settings.State
		requests                      int // in ten seconds, including the burst
		leaderOps                     int // operations of the leader in ten seconds, including the burst
		maxOps, maxLeaderOps, valueKB int
	}{
		{"high", settings.State{RPS: 200, WriteRPS: 100, ValueKB: 4, TxnOps: 8}, 1100, 633, 8, 8, 4},
		{"few operations", settings.State{RPS: 100, WriteRPS: 6, ValueKB: 4, TxnOps: 8}, 550, 39, 8, 3, 4},
		{"lower after a change", settings.State{RPS: 100, WriteRPS: 100, ValueKB: 4, TxnOps: 8, Upcoming: upcoming}, 275, 275, 2, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, _ := fakeService(func(int, []string) response { return response{200, wire.TxnResponse{}} }).client(c.limits)
				count := func(send func(ctx context.Context) error) (n int) {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					for send(ctx) == nil {
						n++
					}
					time.Sleep(10 * time.Second) // restores the burst
					return n
				}
				near := func(got, want int) bool { return got >= want-2 && got <= want+2 }
				requests := count(func(ctx context.Context) error { _, err := client.ListPage(ctx, "", ""); return err })
				one := wire.Txn{Then: []wire.Op{{Put: "c/x"}}}
				leaderOps := count(func(ctx context.Context) error { _, err := client.CommitRateLimited(ctx, one); return err })
				if !near(requests, c.requests) || !near(leaderOps, c.leaderOps) {
					t.Errorf("sent %d requests and %d operations of the leader, want %d and %d", requests, leaderOps, c.requests, c.leaderOps)
				}
				fits := strings.Repeat("x", c.valueKB*bytesPerKB-2)
				if client.MaxOps() != c.maxOps || client.MaxLeaderOps() != c.maxLeaderOps || !client.ValueAlwaysFits(fits) || client.ValueAlwaysFits(fits+"x") || !client.ValueFitsNow(fits) {
					t.Errorf("at most %d operations in a transaction, %d for the leader, want %d and %d; or the largest value is not %d KB", client.MaxOps(), client.MaxLeaderOps(), c.maxOps, c.maxLeaderOps, c.valueKB)
				}
			})
		})
	}
}
