package cluster

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// cborMapOfLength is the first byte of the CBOR encoding of a map whose length follows in one byte.
const cborMapOfLength = 0xb8

// submissionWithUnknownFields returns the encoded submission of a job for which only on-demand machines in zone b are
// allowed. Before the fields that say so, it has unknown fields that would allow other machines.
func submissionWithUnknownFields(t *testing.T, id string, unknown map[string]any) wire.RawMessage {
	t.Helper()
	job := testJob(id, 4)
	job["hall"], job["standby"] = "b", false
	encoded := []byte{cborMapOfLength, byte(len(unknown) + len(job))}
	for _, fields := range []map[string]any{unknown, job} {
		for name, value := range fields {
			for _, part := range []any{name, value} {
				b, err := wire.Marshal(part)
				if err != nil {
					t.Fatal(err)
				}
				encoded = append(encoded, b...)
			}
		}
	}
	return encoded
}

// TestUnknownFieldsOfSubmission guards against tasks that start in another zone or on another kind of machine than their
// job allows, because its submission has unknown fields whose names differ from those of known ones in case only.
func TestUnknownFieldsOfSubmission(t *testing.T) {
	for _, tc := range []struct {
		name    string
		unknown map[string]any
	}{
		{"zone in capitals", map[string]any{"HALL": "a"}},
		{"zone and spot machines, capitalized", map[string]any{"Hall": "a", "Standby": true}},
		{"spot machines in mixed capitals", map[string]any{"standBy": true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTunedCluster(t, 3, func(s *settings.Settings) { s.Params.Zones = twoZones })
				defer c.close()
				c.cloud.Zones, c.rules.InstanceTypes[0].Zones = twoZones, twoZones
				c.submit("j-000009", 1)
				time.Sleep(2 * time.Second) // until every node knows the instance types
				body := submissionWithUnknownFields(t, "j-000001", tc.unknown)
				if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", body); code != http.StatusCreated {
					t.Fatalf("submission: got code %d, want 201", code)
				}
				var workers []*fake.Worker
				for range 100 {
					if workers = c.cloud.WorkersOf("j-000001"); len(workers) > 0 {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				if len(workers) == 0 {
					t.Error("no task has started within 10 s")
				}
				for _, w := range workers {
					if w.Zone() != "b" || w.PricePerHour() != fake.InstanceTypes().Types[0].OnDemandPrice {
						t.Errorf("tasks run on %v in zone %s for %g per hour, want an on-demand machine in zone b", w, w.Zone(), w.PricePerHour())
					}
				}
				c.checkRules()
			})
		})
	}
}
