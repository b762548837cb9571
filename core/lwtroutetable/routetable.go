// Package lwtroutetable holds a configuration of routes and services and finds the
// route of a request.
package lwtroutetable

import (
	"sort"
	"strings"
	"time"
)

// RetryPolicy says what may be done again with a request of a route.
type RetryPolicy int

// Kinds of repetition.
const (
	// RetryIfNotRun marks requests that may run at most once for each attempt of a caller.
	RetryIfNotRun RetryPolicy = iota
	// RetryAlways marks idempotent requests.
	RetryAlways
	// RetryResume marks streams that another backend server can continue after the
	// last event that the caller has received.
	RetryResume
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share relative to the other targets.
	Weight int
}

// Route tells how the requests below a path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Targets has at least one entry.
	Targets []Target
	// Streaming routes answer with a series of events.
	Streaming   bool
	RetryPolicy RetryPolicy
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time to the first event, or to the whole answer of a
	// route without streaming, within which an answer is on time.
	Objective time.Duration
	// Priority is the rank of the route's requests; 0 comes first.
	Priority int
	// MaxAttempts is the largest number of backend servers for one request.
	MaxAttempts int
	// SharesPrefixes marks requests for model engines that share parts of prompts.
	SharesPrefixes bool
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server from all daemons.
	MaxConnections int
	// Engine describes model engines. It is nil for plain services.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that run at once.
	Slots int
	// KVCacheTokens is the size of the KV cache.
	KVCacheTokens int
	// KVBytesPerToken is the size of one token's KV cache.
	KVBytesPerToken int
	// LinkMbps is the bandwidth of a server's link in megabits per second.
	LinkMbps float64
	// KVCacheRetention is how long a server keeps a KV cache that is not taken.
	KVCacheRetention time.Duration
	// StageChangeTime is how long a change of the stage takes.
	StageChangeTime time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the whole configuration. It is immutable.
type Config struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]Route
}

// New returns a configuration.
func New(version int64, limits Limits, routes []Route, services []Service) Config {
	config := Config{Version: version, Limits: limits, services: map[string]Service{}, hosts: map[string][]Route{}}
	for _, service := range services {
		config.services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		config.hosts[host] = append(config.hosts[host], route)
	}
	for _, routes := range config.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return config
}

// Route returns the route with the longest prefix of a path. Host may carry a port.
func (config Config) Route(host, path string) (Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range config.hosts[name] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Service returns a service by its name.
func (config Config) Service(name string) (Service, bool) {
	service, found := config.services[name]
	return service, found
}

// ServiceNames returns the names of all services, sorted.
func (config Config) ServiceNames() []string {
	names := make([]string, 0, len(config.services))
	for name := range config.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ChooseService chooses the service of a request. Random is uniform in [0, 1).
func (route Route) ChooseService(random float64) string {
	total := 0
	for _, target := range route.Targets {
		total += max(target.Weight, 0)
	}
	left := random * float64(total)
	for _, target := range route.Targets {
		if left -= float64(max(target.Weight, 0)); left < 0 {
			return target.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}
