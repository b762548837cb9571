package lwtservingsim

import (
	"math"
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Arrival is one offered request. All policies of an experiment get the same ones.
type Arrival struct {
	At           int64 // nanoseconds since the start of the run
	Class        lwtdeclaredstate.Class
	PromptTokens int
	OutputTokens int
	PrefixHashes []uint64
	// Daemon is the index of the entry daemon that the caller connects to.
	Daemon              int
	maxTimeToFirstToken time.Duration
	maxEndToEndLatency  time.Duration
}

// Shape of the workload over time.
const (
	// mixPeriod is the MixPeriod of both deployments.
	mixPeriod = 6 * time.Minute
	// Load at the edges and at the top of the evening peak, relative to the mean.
	minLoadLevel = 0.75
	maxLoadLevel = 1.25
	// lengthSigma is the sigma of the log-normal distribution of lengths.
	lengthSigma = 0.5
	// prefixZipfExponent is the exponent of the Zipf distribution of prefixes.
	prefixZipfExponent = 1.1
)

// loadSource generates the arrivals of one run.
type loadSource struct {
	deployment          Deployment
	random              *rand.Rand
	duration            time.Duration
	mixPhase            float64
	prefixSamplers      []*rand.Zipf
	maxTimeToFirstToken map[lwtdeclaredstate.Class]time.Duration
	maxEndToEndLatency  map[lwtdeclaredstate.Class]time.Duration
}

// Arrivals returns the requests of a run, ordered by time. They are a Poisson
// process with a mean rate of load times the fleet's capacity.
func Arrivals(deployment Deployment, seed uint64, load float64, duration time.Duration) []Arrival {
	source := newLoadSource(deployment, seed, duration)
	rate := load * deployment.RequestCapacity()
	var arrivals []Arrival
	for at := 0.0; ; {
		at += source.random.ExpFloat64() / (rate * maxLoadLevel)
		if at >= duration.Seconds() {
			return arrivals
		}
		// Thinning reduces the constant peak rate to the current rate.
		if source.random.Float64()*maxLoadLevel <= source.loadLevel(at) {
			arrivals = append(arrivals, source.newArrival(at))
		}
	}
}

func newLoadSource(deployment Deployment, seed uint64, duration time.Duration) *loadSource {
	random := rand.New(rand.NewPCG(seed, 1))
	source := &loadSource{
		deployment: deployment, random: random, duration: duration, mixPhase: random.Float64(),
		maxTimeToFirstToken: map[lwtdeclaredstate.Class]time.Duration{},
		maxEndToEndLatency:  map[lwtdeclaredstate.Class]time.Duration{},
	}
	for _, class := range deployment.classes {
		source.prefixSamplers = append(source.prefixSamplers,
			rand.NewZipf(random, prefixZipfExponent, 1, uint64(max(1, class.prefixPoolSize)-1)))
	}
	for _, objective := range deployment.Objectives {
		source.maxTimeToFirstToken[objective.Class] = objective.TimeToFirstToken.Std()
		source.maxEndToEndLatency[objective.Class] = objective.EndToEndLatency.Std()
	}
	return source
}

// loadLevel returns the load, relative to the mean, at a time in seconds since the
// start. The run covers one evening peak.
func (source *loadSource) loadLevel(at float64) float64 {
	return minLoadLevel + (maxLoadLevel-minLoadLevel)*(1-math.Cos(2*math.Pi*at/source.duration.Seconds()))/2
}

// mixPosition returns the position of the request mix between its extremes, from 0
// to 1. It stays near the extremes longer than a sine.
func (source *loadSource) mixPosition(at float64) float64 {
	sine := math.Sin(2 * math.Pi * (at/source.deployment.MixPeriod.Seconds() + source.mixPhase))
	return 0.5 + 0.5*math.Tanh(2*sine)/math.Tanh(2)
}

func (source *loadSource) newArrival(at float64) Arrival {
	i := source.sampleClass(source.mixPosition(at))
	class := source.deployment.classes[i]
	arrival := Arrival{
		At: int64(at * float64(time.Second)), Class: class.class, Daemon: source.random.IntN(daemonCount),
		PromptTokens:        source.sampleLength(class.meanPromptTokens - class.prefixBlocks*blockTokens),
		OutputTokens:        source.sampleLength(class.meanOutputTokens),
		maxTimeToFirstToken: source.maxTimeToFirstToken[class.class],
		maxEndToEndLatency:  source.maxEndToEndLatency[class.class],
	}
	arrival.PromptTokens += class.prefixBlocks * blockTokens
	if class.prefixBlocks > 0 {
		prefix := source.prefixSamplers[i].Uint64()
		for block := range class.prefixBlocks {
			arrival.PrefixHashes = append(arrival.PrefixHashes, uint64(i)<<32|prefix<<8|uint64(block))
		}
	}
	return arrival
}

// sampleClass draws the index of a class by the shares of the current mix.
func (source *loadSource) sampleClass(mixPosition float64) int {
	draw := source.random.Float64()
	for i, class := range source.deployment.classes {
		if draw -= class.lowShare + (class.highShare-class.lowShare)*mixPosition; draw < 0 {
			return i
		}
	}
	return 0
}

// sampleLength draws a length in tokens from a log-normal distribution.
func (source *loadSource) sampleLength(mean int) int {
	return max(1, int(float64(mean)*math.Exp(lengthSigma*source.random.NormFloat64()-lengthSigma*lengthSigma/2)))
}
