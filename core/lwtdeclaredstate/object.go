package lwtdeclaredstate

import (
	"strings"
	"time"
)

// Kind names a kind of declared object.
type Kind string

// The kinds of declared objects.
const (
	KindEngine    Kind = "engine"
	KindModel     Kind = "model"
	KindAdapter   Kind = "adapter"
	KindCaller    Kind = "caller"
	KindService   Kind = "service"
	KindObjective Kind = "objective"
)

// ObjectID identifies a declared object as KIND/NAME, for example
// "engine/e1".
type ObjectID string

// NewObjectID returns the identifier of an object.
func NewObjectID(kind Kind, name string) ObjectID {
	return ObjectID(string(kind) + "/" + name)
}

// Split returns the kind and the name. The name is empty if the identifier has no
// slash.
func (id ObjectID) Split() (Kind, string) {
	kind, name, _ := strings.Cut(string(id), "/")
	return Kind(kind), name
}

// Duration is a duration that is encoded as text such as "250ms" in TOML and JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts what
// time.ParseDuration accepts.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*duration = Duration(parsed)
	return nil
}

// Std returns the duration as a time.Duration.
func (duration Duration) Std() time.Duration {
	return time.Duration(duration)
}

// Role says which phases of a request an engine runs: prefill, decode or both.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Class groups requests with the same latency objective.
type Class string

// The classes of requests.
const (
	ClassChat   Class = "chat"
	ClassMatch  Class = "match"
	ClassPlan   Class = "plan"
	ClassOrder  Class = "order"
	ClassLookup Class = "lookup"
)

// Priority returns the scheduling priority of the class at an engine; higher
// values are served first.
func (class Class) Priority() int {
	switch class {
	case ClassLookup, ClassOrder:
		return 3
	case ClassChat:
		return 2
	case ClassMatch:
		return 1
	default:
		return 0
	}
}

// Engine declares one model engine.
type Engine struct {
	Name             string `json:"name"               toml:"name"`
	Address          string `json:"address"            toml:"address"`
	AvailabilityZone string `json:"availability-zone"  toml:"availability-zone"`
	// Group is the group of engines that the engine belongs to. There is one lease
	// per group.
	Group string `json:"group" toml:"group"`
	Role  Role   `json:"role"  toml:"role"`
	// PlannerRoles are the roles that the role planner may choose in addition to
	// Role.
	PlannerRoles []Role   `json:"planner-roles,omitempty" toml:"planner-roles,omitempty"`
	Models       []string `json:"models"                  toml:"models"`
	Adapters     []string `json:"adapters,omitempty"      toml:"adapters,omitempty"`
	// MemoryBlocks is the engine's memory in blocks of 2,048 tokens.
	MemoryBlocks int `json:"memory-blocks" toml:"memory-blocks"`
	// ChecksFencing says that the engine rejects orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks-fencing" toml:"checks-fencing"`
	// OrderReadTimeout bounds the time from the engine's 100 Continue to the end of
	// the order's body. Zero means not declared.
	OrderReadTimeout Duration `json:"order-read-timeout,omitzero" toml:"order-read-timeout,omitempty"`
	Draining         bool     `json:"draining,omitempty"          toml:"draining,omitempty"`
	// DrainDeadline bounds the wait for active streams before an order that
	// interrupts them. Zero means no bound.
	DrainDeadline Duration `json:"drain-deadline,omitzero" toml:"drain-deadline,omitempty"`
}

func (engine Engine) key() string { return engine.Name }

// Model declares one model at one version.
type Model struct {
	Name    string `json:"name"    toml:"name"`
	Version string `json:"version" toml:"version"`
	// MemoryBlocks is the memory of the weights in blocks of 2,048 tokens.
	MemoryBlocks int `json:"memory-blocks" toml:"memory-blocks"`
}

func (model Model) key() string { return model.Name }

// Adapter declares one adapter of a model at one version.
type Adapter struct {
	Name         string `json:"name"          toml:"name"`
	Model        string `json:"model"         toml:"model,omitempty"`
	Version      string `json:"version"       toml:"version"`
	MemoryBlocks int    `json:"memory-blocks" toml:"memory-blocks"`
}

func (adapter Adapter) key() string { return adapter.Name }

// Caller declares a caller with its permissions and limits.
type Caller struct {
	Name string `json:"name" toml:"name"`
	// KeyHash is the hexadecimal SHA-256 of the caller's key.
	KeyHash  string   `json:"key-hash"           toml:"key-hash"`
	Models   []string `json:"models"             toml:"models"`
	Services []string `json:"services,omitempty" toml:"services,omitempty"`
	// Rate limits the caller's requests per second across all daemons. Zero means
	// no limit.
	Rate float64 `json:"rate,omitempty" toml:"rate,omitempty"`
	// Concurrency limits the caller's requests in flight across all daemons. Zero
	// means no limit.
	Concurrency int `json:"concurrency,omitempty" toml:"concurrency,omitempty"`
}

func (caller Caller) key() string { return caller.Name }

// Service declares a plain backend service.
type Service struct {
	Name           string          `json:"name"            toml:"name"`
	BackendServers []BackendServer `json:"backend-servers" toml:"backend-servers"`
	// IdempotentCalls lists the calls that may be retried. All others may not.
	IdempotentCalls []CallPattern `json:"idempotent,omitempty" toml:"idempotent,omitempty"`
	// Timeout bounds one attempt.
	Timeout Duration `json:"timeout" toml:"timeout"`
}

func (service Service) key() string { return service.Name }

// BackendServer is one address of a service.
type BackendServer struct {
	Address          string `json:"address"            toml:"address"`
	AvailabilityZone string `json:"availability-zone"  toml:"availability-zone"`
	Draining         bool   `json:"draining,omitempty" toml:"draining,omitempty"`
}

// CallPattern matches requests to a service by method and path prefix.
type CallPattern struct {
	Method     string `json:"method"      toml:"method"`
	PathPrefix string `json:"path-prefix" toml:"path-prefix"`
}

// IsIdempotent reports whether a call to the service may be retried.
func (service Service) IsIdempotent(method, path string) bool {
	for _, call := range service.IdempotentCalls {
		if call.Method == method && strings.HasPrefix(path, call.PathPrefix) {
			return true
		}
	}
	return false
}

// Objective declares the service level objective of a class.
type Objective struct {
	Class Class `json:"class" toml:"class"`
	// TimeToFirstToken bounds the time to the first token.
	TimeToFirstToken Duration `json:"first-token" toml:"first-token"`
	// EndToEndLatency bounds the time to the end of the response.
	EndToEndLatency Duration `json:"whole" toml:"whole"`
	// Target is the fraction of requests that must meet both bounds, in (0, 1).
	Target float64 `json:"target" toml:"target"`
}

func (objective Objective) key() Class { return objective.Class }
