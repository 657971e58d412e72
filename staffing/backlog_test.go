package staffing

import "testing"

// TestBacklogShortage checks the shortage for several backlogs and supplies, with a boot time of 20 s.
func TestBacklogShortage(t *testing.T) {
	cases := []struct {
		name    string
		waiting []WaitingWork
		running []RunningWork
		mean    float64
		supply  float64
		want    float64
	}{
		{"nothing waiting", nil, []RunningWork{{100, 100}}, 0, 1, 0},
		{"no machines yet", []WaitingWork{{CPUSeconds: 400, DueInS: 10}}, nil, 0, 0, 20}, // the shortest horizon is the boot time of 20 s
		{"running tasks end soon", []WaitingWork{{CPUSeconds: 100, DueInS: 20}}, []RunningWork{{10, 5}}, 0, 10, 0},
		{"running tasks end late", []WaitingWork{{CPUSeconds: 100, DueInS: 20}}, []RunningWork{{10, 500}}, 0, 10, 5},
		{"new arrivals take the room", []WaitingWork{{CPUSeconds: 100, DueInS: 20}}, []RunningWork{{10, 5}}, 8, 10, 3},
		{"enough time", []WaitingWork{{CPUSeconds: 400, DueInS: 600}}, nil, 0, 10, 0},
	}
	for _, c := range cases {
		if got := BacklogShortage(c.waiting, c.running, c.mean, c.supply, 20); !near(got, c.want) {
			t.Errorf("%s: shortage of %v CPUs, want %v CPUs", c.name, got, c.want)
		}
	}
}
