package interference

import (
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// busyFeature is the used part of the capacity. A worker that is slower the busier it is
	// slows down all kinds, and each of them the more, the more kinds are active.
	busyFeature = MaxKinds
	// othersFeature is the mean deviation of the runs of other kinds that ended during the
	// run: a worker that is slow for a moment also has more runs beside each other.
	othersFeature = MaxKinds + 1
	featureCount  = MaxKinds + 2
	// memory is the time constant with which observations decay. An effect of +50% that
	// has ended falls below MinEffect after 30 s.
	memory = 20 * clock.Second
	// groupCorrelation is the share of the variance that the runs of one job have in
	// common: the error of the declared time is up to 40% (0.23), the spread 0.4.
	groupCorrelation = 0.3
	// localRuns is the number of recent observations that form the mean from which
	// deviations are counted.
	localRuns = 24
	// initialRuns is the number of observations that only set the mean, medianRuns of the
	// first ones whose median it starts from: a straggler among them would shift it for long.
	initialRuns = 24
	medianRuns  = 9
	// minGroups is the number of observations below which nothing is estimated.
	minGroups = 30
	// minVariance bounds the variance of one run's deviation, against few equal runs.
	minVariance = 0.02
	// minContrast is the weight of the observations with a kind beside the run that face as
	// many without it, below which nothing is known of the kind: a few observations that
	// differ from all others would decide.
	minContrast = 8
	// minInformation is the part of the weight below which the variance of a feature that
	// the others don't explain is too small to tell its effect.
	minInformation = 0.002
	// maxScale is the weight of new observations at which all are scaled down.
	maxScale = 1e6
)

// features are the shares of a run's time during which runs of each kind were active beside
// it (for its own kind, their mean number), and the used part of the capacity.
type features [featureCount]float64

// regression estimates the effect of each feature on the deviations of one kind, by least
// squares with decaying weights.
type regression struct {
	mean     float64
	means    features
	observed int
	first    [medianRuns]float64
	// scale is the weight of a new observation relative to one at scaledAt; the sums are
	// multiples of it, so that old observations needn't be scaled with each new one.
	scaledAt       clock.Millis
	products       [featureCount][featureCount]float64
	outcome        features
	squares        float64
	weight         float64
	weightOfSquare float64
	groups         float64
}

// deviation returns the bounded deviation of a run's logarithmic ratio from the mean.
func (f *regression) deviation(ratio float64) float64 {
	if f.observed < medianRuns {
		return ratio
	}
	return max(-maxDeviation, min(maxDeviation, ratio-f.mean))
}

// observe adds the mean deviation and features of a group of runs.
func (f *regression) observe(now clock.Millis, deviation float64, x features, size float64) {
	step := f.shift(deviation)
	for i := range featureCount {
		x[i] -= f.means[i]
		f.means[i] += x[i] * step
	}
	if f.observed <= initialRuns {
		return
	}
	w := size / (1 + (size-1)*groupCorrelation)
	scale := f.rescale(now)
	sw := scale * w
	for i := range featureCount {
		if x[i] == 0 {
			continue
		}
		for j := 0; j <= i; j++ {
			f.products[i][j] += sw * x[i] * x[j]
		}
		f.outcome[i] += sw * x[i] * deviation
	}
	f.squares += sw * deviation * deviation
	f.weight += sw
	f.weightOfSquare += sw * scale
	f.groups += scale
}

// shift moves the mean towards a deviation and returns the weight of an observation in
// means.
func (f *regression) shift(deviation float64) float64 {
	f.observed++
	step := max(1/float64(f.observed), 1.0/localRuns)
	if f.observed <= medianRuns {
		f.first[f.observed-1] = deviation
		sorted := f.first
		slices.Sort(sorted[:f.observed])
		f.mean = sorted[f.observed/2]
	} else {
		f.mean += deviation * step
	}
	return step
}

// rescale returns the weight of an observation at now.
func (f *regression) rescale(now clock.Millis) float64 {
	scale := math.Exp(float64(now-f.scaledAt) / float64(memory))
	if scale < maxScale {
		return scale
	}
	f.scaledAt = now
	for i := range f.products {
		for j := range f.products[i] {
			f.products[i][j] /= scale
		}
		f.outcome[i] /= scale
	}
	f.squares /= scale
	f.weight /= scale
	f.weightOfSquare /= scale * scale
	f.groups /= scale
	return 1
}

// forget removes a feature.
func (f *regression) forget(feature int) {
	f.means[feature] = 0
	f.outcome[feature] = 0
	for i := range f.products {
		f.products[i][feature] = 0
		f.products[feature][i] = 0
	}
}

// estimate is an estimated effect with the bound on its standard error.
type estimate struct {
	effect, deviation float64
	// known is false if the observations can't tell the effect.
	known bool
}

// estimates returns the effects of all features.
func (f *regression) estimates(now clock.Millis) [featureCount]estimate {
	var result [featureCount]estimate
	scale := math.Exp(float64(now-f.scaledAt) / float64(memory))
	groups := f.groups / scale
	if groups < minGroups {
		return result
	}
	inverse, kept := f.invert()
	explained := 0.0
	var effects features
	for i := range effects {
		for j := range effects {
			effects[i] += inverse[i][j] * f.outcome[j]
		}
		explained += effects[i] * f.outcome[i]
	}
	variance := max(minVariance, (f.squares-explained)/scale/(groups-featureCount))
	// The variance of a weighted estimate contains the squares of the weights, which decay
	// twice as fast.
	variance *= f.weightOfSquare / f.weight / scale
	for i := range result {
		if kept[i] && inverse[i][i]*scale <= 1.0/minContrast {
			result[i] = estimate{effect: effects[i], deviation: math.Sqrt(variance * inverse[i][i] * scale), known: true}
		}
	}
	return result
}

// invert returns the inverse of the products of the features that the observations can
// tell apart; the others are left out.
func (f *regression) invert() (inverse [featureCount][featureCount]float64, kept [featureCount]bool) {
	var m [featureCount][featureCount]float64
	for i := range featureCount {
		for j := 0; j <= i; j++ {
			m[i][j], m[j][i] = f.products[i][j], f.products[i][j]
		}
	}
	// The sweep operator inverts in place. The features that concern all kinds come first,
	// so that a kind counts only for what exceeds their effect.
	for n := range featureCount {
		k := featureCount - 1 - n
		pivot := m[k][k]
		if pivot < minInformation*f.weight || pivot < minInformation*f.products[k][k] {
			continue
		}
		kept[k] = true
		sweep(&m, k)
	}
	for i := range featureCount {
		for j := range featureCount {
			if kept[i] && kept[j] {
				inverse[i][j] = -m[i][j]
			}
		}
	}
	return inverse, kept
}

// sweep applies the sweep operator for the pivot k. After sweeping all of the pivots, m
// is the negative inverse.
func sweep(m *[featureCount][featureCount]float64, k int) {
	pivot := m[k][k]
	for i := range featureCount {
		for j := range featureCount {
			if i != k && j != k {
				m[i][j] -= m[i][k] * m[k][j] / pivot
			}
		}
	}
	for i := range featureCount {
		if i != k {
			m[i][k] /= pivot
			m[k][i] /= pivot
		}
	}
	m[k][k] = -1 / pivot
}
