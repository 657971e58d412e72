package standby

import (
	"fmt"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// newBenchPublisher returns a publisher whose view holds 4,100 machines with 100,000 tasks.
func newBenchPublisher() *Publisher {
	p := NewPublisher(testToken, 50_000)
	for i := range 100_000 {
		p.Publish(taskAssigned(fmt.Sprintf("i-%06d", i%4100), fmt.Sprintf("j-%06d/%d", i/100, i%100), uint64(i)))
	}
	return p
}

// BenchmarkPublish measures the time to publish one entry.
func BenchmarkPublish(b *testing.B) {
	p := newBenchPublisher()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		p.Publish(taskAssigned(fmt.Sprintf("i-%06d", i%4100), fmt.Sprintf("j-%06d/%d", i/100%1000, i%100), uint64(i)))
	}
}

// exchange sends one query of a follower to the publisher, encodes and decodes the page that answers it, applies the
// page, and returns the encoded size in bytes.
func exchange(b *testing.B, f *Follower, p *Publisher) (size int) {
	b.Helper()
	body, err := wire.Marshal(p.HandleQuery(f.NextQuery(testToken)))
	if err != nil {
		b.Fatal(err)
	}
	var page Page
	if err := wire.Unmarshal(body, &page); err != nil {
		b.Fatal(err)
	}
	if err := f.ApplyPage(&page, micros.Now()); err != nil {
		b.Fatal(err)
	}
	return len(body)
}

// BenchmarkPull measures the time to publish 100 entries and to fetch and apply the page that holds them.
func BenchmarkPull(b *testing.B) {
	p, f := newBenchPublisher(), NewFollower("host-1")
	for !f.Progress().Complete || f.Progress().LagEntries > 0 {
		exchange(b, f, p)
	}
	size, i := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		for range 100 {
			i++
			p.Publish(taskAssigned(fmt.Sprintf("i-%06d", i%4100), fmt.Sprintf("j-%06d/%d", i/100%1000, i%100), uint64(i)))
		}
		size += exchange(b, f, p)
	}
	b.ReportMetric(float64(size)/float64(i), "bytes/entry")
}

// BenchmarkSnapshot measures the time in which a new follower fetches and applies a complete snapshot.
func BenchmarkSnapshot(b *testing.B) {
	p := newBenchPublisher()
	size, snapshots := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		f := NewFollower("host-1")
		for !f.Progress().Complete {
			size += exchange(b, f, p)
		}
		snapshots++
	}
	b.ReportMetric(float64(size)/float64(snapshots), "bytes/snapshot")
}
