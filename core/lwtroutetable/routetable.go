// Package lwtroutetable holds the configuration of routes and services and finds the route of
// a request.
package lwtroutetable

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// RetryPolicy says when requests of a route may be retried.
type RetryPolicy int

// The retry policies.
const (
	// RetryIfNotRun is for requests that may run at most once for each request of a caller.
	RetryIfNotRun RetryPolicy = iota
	// RetryAlways is for idempotent requests.
	RetryAlways
	// RetryResume is for streams that another backend server can resume after the last event
	// that the caller has received.
	RetryResume
)

// Target is a service that receives a fraction of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the other targets.
	Weight int
}

// Route says how the requests for a host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Targets has at least one entry.
	Targets []Target
	// Streaming says that responses are streams of events.
	Streaming   bool
	RetryPolicy RetryPolicy
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the latency objective: the time to the first event, or to the complete
	// response if the route is not streaming.
	Objective time.Duration
	// EventGapTimeout is how long callers wait for the first or the next event of a stream before they give
	// up.
	EventGapTimeout time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the backend servers to which one request is sent.
	MaxAttempts int
	// SharesPrefixes says that the route serves model requests whose prompts share prefixes.
	SharesPrefixes bool
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all daemons to one server.
	MaxConnections int
	// Engine describes the servers if they are model engines. It is nil for plain services.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVCacheTokens is the size of an engine's KV cache in tokens.
	KVCacheTokens int
	// KVBytesPerToken is the size of one token in the KV cache in bytes.
	KVBytesPerToken int
	// LinkMbps is the network bandwidth of an engine in megabits per second.
	LinkMbps float64
	// KVCacheRetention is how long an engine keeps a KV cache that is not fetched.
	KVCacheRetention time.Duration
	// StageChangeTime is how long a stage change takes.
	StageChangeTime time.Duration
}

// RequestLimits bounds the requests of callers.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  int64
	Limits   RequestLimits
	services map[string]Service
	// hosts holds the routes by lower-case host, longest path prefix first.
	hosts map[string][]Route
}

// New returns a configuration of the given routes and services.
func New(version int64, limits RequestLimits, routes []Route, services []Service) Config {
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

// Route returns the route of a host with the longest prefix of path. Host may include a port.
func (config Config) Route(host, path string) (Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range config.hosts[name] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Service returns the service with a name.
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

// HasTarget reports whether a service receives requests of the route.
func (route Route) HasTarget(service string) bool {
	return slices.ContainsFunc(route.Targets, func(target Target) bool { return target.Service == service && target.Weight > 0 })
}

// ChooseService chooses the service of a request by the weights of the targets. Random is
// uniform in [0, 1).
func (route Route) ChooseService(random float64) string {
	total := 0
	for _, target := range route.Targets {
		total += max(target.Weight, 0)
	}
	remaining := random * float64(total)
	for _, target := range route.Targets {
		if remaining -= float64(max(target.Weight, 0)); remaining < 0 {
			return target.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}
