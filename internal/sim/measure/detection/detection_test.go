package detection

import (
	"bytes"
	"strings"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/sim/measure/failover"
)

// TestSummarize checks the groups, quantiles and plot of verdicts.
func TestSummarize(t *testing.T) {
	var verdicts []Verdict
	for i := range 100 {
		at := micros.Micros(i+1) * 100 * micros.Millisecond
		verdicts = append(verdicts, Verdict{Nodes: 3, Cause: failover.Killed, Leader: i%2 == 0, Suspected: at / 2, Confirmed: at})
	}
	all := Summarize(verdicts)
	want := []string{
		"3 nodes, a follower killed: 50 verdicts; median, 95%, longest in s: suspected 2.50 4.80 5.00, confirmed 5.00 9.60 10.00",
		"3 nodes, the leader killed: 50 verdicts; median, 95%, longest in s: suspected 2.45 4.75 4.95, confirmed 4.90 9.50 9.90",
	}
	for i, w := range want {
		if got := all[i].String(); got != w {
			t.Errorf("%s, want %s", got, w)
		}
	}
	var svg bytes.Buffer
	if err := WriteSVG(&svg, verdicts); err != nil || !strings.Contains(svg.String(), "the leader killed") {
		t.Errorf("plot: %v, %d bytes", err, svg.Len())
	}
}
