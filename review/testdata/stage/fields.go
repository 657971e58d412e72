package main

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"caperlatch/internal/wire"
)

// unknownFields are fields that the protocol does not have, as a client might add them for another reader.
var unknownFields = map[string]any{"Hall": "noibai", "Standby": true}

// runFields submits a job with fields that the protocol does not know. The job itself allows no cheap machine, and only
// machines in one zone.
func runFields(c *cluster, trouble bool) (int, error) {
	if err := c.startAll(); err != nil {
		return failed, err
	}
	const id = "j-000412"
	job := newJob(id, 2)
	job.AllowSpot, job.Zone = false, "danang"
	c.cloud.upload(job, 5)
	body, err := encodeJob(job, trouble)
	if err != nil {
		return failed, err
	}
	if !c.submit(0, body, id) {
		return failed, errNotReady
	}
	c.awaitDone(id, 60*time.Second)
	if len(c.cloud.violations()) > 0 {
		return broken, nil
	}
	if status, answer := c.request(http.MethodGet, 1, "/v1/jobs/"+id, nil); status != http.StatusOK || answer.State != wire.JobDone {
		return failed, errNotReady
	}
	return held, nil
}

// encodeJob encodes a submission, with the unknown fields before all others if wanted.
func encodeJob(job *wire.Job, unknown bool) (wire.RawMessage, error) {
	content, err := wire.Marshal(job)
	if err != nil {
		return nil, err
	}
	var known map[string]any
	if err := wire.Unmarshal(content, &known); err != nil {
		return nil, err
	}
	type pair struct {
		name  string
		value any
	}
	var pairs []pair
	if unknown {
		for _, name := range slices.Sorted(maps.Keys(unknownFields)) {
			pairs = append(pairs, pair{name, unknownFields[name]})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(known)) {
		pairs = append(pairs, pair{name, known[name]})
	}
	const mapOfUpTo255 = 0xb8 // the head of a CBOR map, followed by the number of its pairs
	body := []byte{mapOfUpTo255, byte(len(pairs))}
	for _, p := range pairs {
		for _, v := range []any{p.name, p.value} {
			encoded, err := wire.Marshal(v)
			if err != nil {
				return nil, err
			}
			body = append(body, encoded...)
		}
	}
	return body, nil
}
