package failover

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"caperlatch/internal/micros"
)

// confidenceLevel is the confidence level of all confidence intervals.
const confidenceLevel = 0.95

// Maximum value and precision of histograms of times.
const (
	maxTime           = 600 * micros.Second
	significantDigits = 3
)

// Estimate is an estimated value with its confidence interval. A field is NaN if there are too few values to compute it.
type Estimate struct{ Value, Low, High float64 }

// Summary contains statistics of a set of times.
type Summary struct {
	Count                 int // number of times that are not missing
	Missing               int // number of missing times
	Median, P95, P99, Max micros.Micros
	Mean                  Estimate // in seconds, with Student's t-interval
}

// Summarize returns statistics of times. Negative times count as missing. Times over maxTime count as maxTime, except in
// the mean, which uses the exact times.
func Summarize(times []micros.Micros) Summary {
	histogram := hdrhistogram.New(1, int64(maxTime), significantDigits)
	var s Summary
	var seconds []float64
	for _, t := range times {
		if t < 0 {
			s.Missing++
			continue
		}
		s.Count++
		seconds = append(seconds, t.Seconds())
		_ = histogram.RecordValue(int64(min(max(t, 1), maxTime))) // fails only for values outside the bounds
	}
	percentile := func(q float64) micros.Micros { return micros.Micros(histogram.ValueAtQuantile(q)) }
	s.Median, s.P95, s.P99, s.Max = percentile(50), percentile(95), percentile(99), micros.Micros(histogram.Max())
	s.Mean = estimateMean(seconds)
	return s
}

// estimateMean returns the mean of values with Student's t-interval.
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

// studentQuantile returns half the width of a confidence interval in standard errors, for a number of degrees of
// freedom.
func studentQuantile(degreesOfFreedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile((1 + confidenceLevel) / 2)
}

// Ratio returns the ratio of the geometric means of two samples. Its confidence interval is Welch's t-interval for the
// difference of the means of the logarithms. Values that are not positive are ignored; the estimate is NaN if fewer than
// two values of a sample remain.
func Ratio(numerator, denominator []micros.Micros) Estimate {
	a, b := positiveLogs(numerator), positiveLogs(denominator)
	if len(a) < 2 || len(b) < 2 {
		return Estimate{math.NaN(), math.NaN(), math.NaN()}
	}
	meanA, varA := stat.MeanVariance(a, nil)
	meanB, varB := stat.MeanVariance(b, nil)
	meanVarA, meanVarB := varA/float64(len(a)), varB/float64(len(b))
	difference := meanA - meanB
	if meanVarA+meanVarB == 0 {
		return Estimate{math.Exp(difference), math.Exp(difference), math.Exp(difference)}
	}
	degreesOfFreedom := (meanVarA + meanVarB) * (meanVarA + meanVarB) / (meanVarA*meanVarA/float64(len(a)-1) + meanVarB*meanVarB/float64(len(b)-1))
	halfWidth := math.Sqrt(meanVarA+meanVarB) * studentQuantile(degreesOfFreedom)
	return Estimate{math.Exp(difference), math.Exp(difference - halfWidth), math.Exp(difference + halfWidth)}
}

// positiveLogs returns the logarithms of the positive times, in seconds.
func positiveLogs(times []micros.Micros) (logs []float64) {
	for _, t := range times {
		if t > 0 {
			logs = append(logs, math.Log(t.Seconds()))
		}
	}
	return logs
}
