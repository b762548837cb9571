package lwtservingsim

import (
	"math"
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Arrival is one offered request, the same for every policy.
type Arrival struct {
	At           int64 // nanoseconds since the start of the run
	Class        lwtdeclaredstate.Class
	PromptTokens int
	OutputTokens int
	PrefixHashes []uint64
	// Daemon is the entry VM that the caller uses.
	Daemon int
	first  time.Duration
	whole  time.Duration
}

// Shape of the workload over time.
const (
	// swingPeriod is that of both deployments.
	swingPeriod = 6 * time.Minute
	// Loads at the edges and the top of the evening peak, relative to the mean.
	edgeLoad = 0.75
	peakLoad = 1.25
	// spread is the standard deviation of the logarithm of lengths.
	spread = 0.5
	// popularity is the exponent of the Zipf law of prefixes.
	popularity = 1.1
)

// loadSource makes the arrivals of one run.
type loadSource struct {
	deployment Deployment
	random     *rand.Rand
	duration   time.Duration
	phase      float64
	prefixes   []*rand.Zipf
	first      map[lwtdeclaredstate.Class]time.Duration
	whole      map[lwtdeclaredstate.Class]time.Duration
}

// Arrivals returns the requests of a run, in order of time. Load is a multiple
// of the fleet's capacity.
func Arrivals(deployment Deployment, seed uint64, load float64, duration time.Duration) []Arrival {
	source := newLoadSource(deployment, seed, duration)
	rate := load * deployment.RequestCapacity()
	var arrivals []Arrival
	for at := 0.0; ; {
		at += source.random.ExpFloat64() / (rate * peakLoad)
		if at >= duration.Seconds() {
			return arrivals
		}
		// Thinning turns the constant rate into the rate of the moment.
		if source.random.Float64()*peakLoad <= source.level(at) {
			arrivals = append(arrivals, source.arrival(at))
		}
	}
}

func newLoadSource(deployment Deployment, seed uint64, duration time.Duration) *loadSource {
	random := rand.New(rand.NewPCG(seed, 1))
	source := &loadSource{
		deployment: deployment, random: random, duration: duration, phase: random.Float64(),
		first: map[lwtdeclaredstate.Class]time.Duration{}, whole: map[lwtdeclaredstate.Class]time.Duration{},
	}
	for _, class := range deployment.classes {
		source.prefixes = append(source.prefixes, rand.NewZipf(random, popularity, 1, uint64(max(1, class.prefixPool)-1)))
	}
	for _, objective := range deployment.Objectives {
		source.first[objective.Class] = objective.TimeToFirstToken.Std()
		source.whole[objective.Class] = objective.EndToEndLatency.Std()
	}
	return source
}

// level returns the load of the moment relative to the mean: an evening peak
// over the run.
func (source *loadSource) level(at float64) float64 {
	return edgeLoad + (peakLoad-edgeLoad)*(1-math.Cos(2*math.Pi*at/source.duration.Seconds()))/2
}

// swing returns where the mix is between its extremes, 0 to 1. It stays longer
// near the extremes than a sine does.
func (source *loadSource) swing(at float64) float64 {
	sine := math.Sin(2 * math.Pi * (at/source.deployment.SwingPeriod.Seconds() + source.phase))
	return 0.5 + 0.5*math.Tanh(2*sine)/math.Tanh(2)
}

func (source *loadSource) arrival(at float64) Arrival {
	i := source.class(source.swing(at))
	class := source.deployment.classes[i]
	arrival := Arrival{
		At: int64(at * float64(time.Second)), Class: class.class, Daemon: source.random.IntN(daemonCount),
		PromptTokens: source.length(class.prompt - class.prefixBlocks*blockTokens),
		OutputTokens: source.length(class.output), first: source.first[class.class], whole: source.whole[class.class],
	}
	arrival.PromptTokens += class.prefixBlocks * blockTokens
	if class.prefixBlocks > 0 {
		prefix := source.prefixes[i].Uint64()
		for block := range class.prefixBlocks {
			arrival.PrefixHashes = append(arrival.PrefixHashes, uint64(i)<<32|prefix<<8|uint64(block))
		}
	}
	return arrival
}

func (source *loadSource) class(swing float64) int {
	draw := source.random.Float64()
	for i, class := range source.deployment.classes {
		if draw -= class.low + (class.high-class.low)*swing; draw < 0 {
			return i
		}
	}
	return 0
}

// length draws a length with a given mean.
func (source *loadSource) length(mean int) int {
	return max(1, int(float64(mean)*math.Exp(spread*source.random.NormFloat64()-spread*spread/2)))
}
