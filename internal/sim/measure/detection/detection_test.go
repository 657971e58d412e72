package detection

import (
	"bytes"
	"strings"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/sim/measure/failover"
)

// TestSummarizeAndWriteSVG checks the groups and quantiles of verdicts, and that the plot contains a group.
func TestSummarizeAndWriteSVG(t *testing.T) {
	var verdicts []Verdict
	for i := range 100 {
		at := micros.Micros(i+1) * 100 * micros.Millisecond
		verdicts = append(verdicts, Verdict{Nodes: 3, Cause: failover.Killed, Leader: i%2 == 0, Suspected: at / 2, Confirmed: at})
	}
	summaries := Summarize(verdicts)
	want := []string{
		"3 nodes, a follower killed: 50 verdicts; median, 95%, longest in s: suspected 2.50 4.80 5.00, confirmed 5.00 9.60 10.00",
		"3 nodes, the leader killed: 50 verdicts; median, 95%, longest in s: suspected 2.45 4.75 4.95, confirmed 4.90 9.50 9.90",
	}
	for i, w := range want {
		if got := summaries[i].String(); got != w {
			t.Errorf("got summary %q, want %q", got, w)
		}
	}
	var svg bytes.Buffer
	if err := WriteSVG(&svg, verdicts); err != nil || !strings.Contains(svg.String(), "the leader killed") {
		t.Errorf("got error %v and a plot of %d bytes, want one with a line for the leader", err, svg.Len())
	}
}
