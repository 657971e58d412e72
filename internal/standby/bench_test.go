package standby

import (
	"fmt"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// benchFleet publishes a fleet of 4,100 machines with 100,000 tasks.
func benchFleet() *Publisher {
	p := NewPublisher(testToken, 50_000)
	for i := range 100_000 {
		p.Publish(placed(fmt.Sprintf("i-%06d", i%4100), fmt.Sprintf("j-%06d/%d", i/100, i%100), uint64(i)))
	}
	return p
}

func BenchmarkPublish(b *testing.B) {
	p := benchFleet()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		p.Publish(placed(fmt.Sprintf("i-%06d", i%4100), fmt.Sprintf("j-%06d/%d", i/100%1000, i%100), uint64(i)))
	}
}

// exchange has a follower ask once, with the encoding both ways, and tells the answer's size.
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

// BenchmarkPull has a follower take 100 entries a time.
func BenchmarkPull(b *testing.B) {
	p, f := benchFleet(), NewFollower("host-1")
	for !f.Progress().Complete || f.Progress().LagEntries > 0 {
		exchange(b, f, p)
	}
	size, i := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		for range 100 {
			i++
			p.Publish(placed(fmt.Sprintf("i-%06d", i%4100), fmt.Sprintf("j-%06d/%d", i/100%1000, i%100), uint64(i)))
		}
		size += exchange(b, f, p)
	}
	b.ReportMetric(float64(size)/float64(i), "bytes/entry")
}

// BenchmarkSnapshot has a follower take a whole snapshot.
func BenchmarkSnapshot(b *testing.B) {
	p := benchFleet()
	size, n := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		f := NewFollower("host-1")
		for !f.Progress().Complete {
			size += exchange(b, f, p)
		}
		n++
	}
	b.ReportMetric(float64(size)/float64(n), "bytes/snapshot")
}
