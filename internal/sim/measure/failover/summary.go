package failover

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"caperlatch/internal/micros"
)

// confidence is the confidence level of the intervals.
const confidence = 0.95

// Bound and precision of the histograms of times.
const (
	maxTime           = 600 * micros.Second
	significantDigits = 3
)

// Estimate is an estimated value with its confidence interval. Its fields are NaN where there are
// too few values for them.
type Estimate struct{ Value, Low, High float64 }

// Summary is the distribution of some times.
type Summary struct {
	Count                 int // that happened
	Missing               int // that did not
	Median, P95, P99, Max micros.Micros
	Mean                  Estimate // in seconds, with Student's interval
}

// Summarize returns the distribution of times. Negative times are missing; those over maxTime count as
// maxTime, but for the mean.
func Summarize(times []micros.Micros) Summary {
	h := hdrhistogram.New(1, int64(maxTime), significantDigits)
	var s Summary
	var seconds []float64
	for _, t := range times {
		if t < 0 {
			s.Missing++
			continue
		}
		s.Count++
		seconds = append(seconds, t.Seconds())
		_ = h.RecordValue(int64(min(max(t, 1), maxTime))) // fails only beyond the bounds
	}
	quantile := func(q float64) micros.Micros { return micros.Micros(h.ValueAtQuantile(q)) }
	s.Median, s.P95, s.P99, s.Max = quantile(50), quantile(95), quantile(99), micros.Micros(h.Max())
	s.Mean = estimateMean(seconds)
	return s
}

// estimateMean returns the mean of values with Student's interval.
func estimateMean(values []float64) Estimate {
	if len(values) == 0 {
		return Estimate{math.NaN(), math.NaN(), math.NaN()}
	}
	mean := stat.Mean(values, nil)
	if len(values) < 2 {
		return Estimate{mean, math.NaN(), math.NaN()}
	}
	halfWidth := stat.StdErr(stat.StdDev(values, nil), float64(len(values))) * studentQuantile(float64(len(values)-1))
	return Estimate{mean, mean - halfWidth, mean + halfWidth}
}

// studentQuantile returns how many standard errors an interval extends to each side, for so many
// degrees of freedom.
func studentQuantile(freedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile((1 + confidence) / 2)
}

// Ratio returns the ratio of the geometric means of two samples, with Welch's interval on their
// logarithms; NaN where one has fewer than two values. Values that are not positive do not count.
func Ratio(numerator, denominator []micros.Micros) Estimate {
	a, b := logarithms(numerator), logarithms(denominator)
	if len(a) < 2 || len(b) < 2 {
		return Estimate{math.NaN(), math.NaN(), math.NaN()}
	}
	meanA, varA := stat.MeanVariance(a, nil)
	meanB, varB := stat.MeanVariance(b, nil)
	partA, partB := varA/float64(len(a)), varB/float64(len(b))
	difference := meanA - meanB
	if partA+partB == 0 {
		return Estimate{math.Exp(difference), math.Exp(difference), math.Exp(difference)}
	}
	freedom := (partA + partB) * (partA + partB) / (partA*partA/float64(len(a)-1) + partB*partB/float64(len(b)-1))
	halfWidth := math.Sqrt(partA+partB) * studentQuantile(freedom)
	return Estimate{math.Exp(difference), math.Exp(difference - halfWidth), math.Exp(difference + halfWidth)}
}

// logarithms returns the logarithms of the positive times.
func logarithms(times []micros.Micros) (logs []float64) {
	for _, t := range times {
		if t > 0 {
			logs = append(logs, math.Log(t.Seconds()))
		}
	}
	return logs
}
