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

// BenchmarkPull has a follower take 100 entries a time, with their encoding both ways.
func BenchmarkPull(b *testing.B) {
	p, f := benchFleet(), NewFollower("host-1")
	step := func() (size int) {
		body, err := wire.Marshal(p.Answer(f.Query(testToken)))
		if err != nil {
			b.Fatal(err)
		}
		var page Page
		if err := wire.Unmarshal(body, &page); err != nil {
			b.Fatal(err)
		}
		if err := f.Apply(&page, micros.Now()); err != nil {
			b.Fatal(err)
		}
		return len(body)
	}
	for !f.Progress().Whole || f.Progress().LagEntries > 0 {
		step()
	}
	size, i := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		for range 100 {
			i++
			p.Publish(placed(fmt.Sprintf("i-%06d", i%4100), fmt.Sprintf("j-%06d/%d", i/100%1000, i%100), uint64(i)))
		}
		size += step()
	}
	b.ReportMetric(float64(size)/float64(i), "bytes/entry")
}

// BenchmarkSnapshot has a follower take a whole snapshot, with its encoding both ways.
func BenchmarkSnapshot(b *testing.B) {
	p := benchFleet()
	size, n := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		f := NewFollower("host-1")
		for {
			body, err := wire.Marshal(p.Answer(f.Query(testToken)))
			if err != nil {
				b.Fatal(err)
			}
			var page Page
			if err := wire.Unmarshal(body, &page); err != nil {
				b.Fatal(err)
			}
			if err := f.Apply(&page, micros.Now()); err != nil {
				b.Fatal(err)
			}
			size += len(body)
			if progress := f.Progress(); progress.Whole {
				break
			}
		}
		n++
	}
	b.ReportMetric(float64(size)/float64(n), "bytes/snapshot")
}
