// Package lwtgateway is the entry daemon on the users' platform. It forwards callers'
// requests to backend servers, follows the platform's store, exchanges load reports with
// other daemons, and sends orders to engines.
package lwtgateway

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"lacewingtide/core/lwttoml"
)

// Settings holds the settings of one daemon. The platform generates them from a template.
type Settings struct {
	Name             string `toml:"name"`
	AvailabilityZone string `toml:"availability-zone"`
	Region           string `toml:"region"`
	// EntryAddress is where callers send requests (IP:port).
	EntryAddress string `toml:"entry-address"`
	// ReadinessAddress is where the platform's readiness probes connect.
	ReadinessAddress string `toml:"readiness-address"`
	// LookupAddress is where callers look up entry addresses.
	LookupAddress string `toml:"lookup-address"`
	// PeerAddress is where other daemons connect.
	PeerAddress string `toml:"peer-address"`
	// MetricsAddress is where metrics are served.
	MetricsAddress string        `toml:"metrics-address"`
	LogLevel       string        `toml:"log-level"`
	Store          StoreSettings `toml:"store"`
	VM             VMLimits      `toml:"vm"`
	Bounds         Bounds        `toml:"bounds"`
}

// StoreSettings holds the address of the platform's store and the maximum rates of calls of
// all daemons together.
type StoreSettings struct {
	Address         string  `toml:"address"`
	WritesPerSecond float64 `toml:"writes-per-second"`
	ReadsPerSecond  float64 `toml:"reads-per-second"`
}

// CallsPerSecond returns the rate of calls of all daemons together that keeps within both rates,
// whatever the share of writes. Zero means that neither is set.
func (storeSettings StoreSettings) CallsPerSecond() float64 {
	if storeSettings.WritesPerSecond <= 0 || storeSettings.ReadsPerSecond <= 0 {
		return max(storeSettings.WritesPerSecond, storeSettings.ReadsPerSecond)
	}
	return min(storeSettings.WritesPerSecond, storeSettings.ReadsPerSecond)
}

// VMLimits holds the limits of the daemon's VM.
type VMLimits struct {
	MemoryMegabytes int `toml:"memory-megabytes"`
	Descriptors     int `toml:"descriptors"`
}

// Bounds holds the limits that the operator sets for the whole deployment.
type Bounds struct {
	// DrainMilliseconds is the time within which a draining server must stop receiving new
	// requests.
	DrainMilliseconds float64 `toml:"drain-milliseconds"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `toml:"grace-seconds"`
	// LeaseMilliseconds is the minimum time between orders of two different daemons.
	LeaseMilliseconds float64 `toml:"lease-milliseconds"`
	// AddressTTLSeconds is the maximum time for which callers cache entry addresses.
	AddressTTLSeconds float64 `toml:"address-seconds"`
	// RetryBudgetRatio is the allowed ratio of retries to requests within the window of
	// RetryBudgetWindowSeconds, RetryBudgetExtra the number of retries allowed beyond it.
	RetryBudgetRatio         float64 `toml:"retry-share"`
	RetryBudgetExtra         float64 `toml:"retry-extra"`
	RetryBudgetWindowSeconds float64 `toml:"retry-window-seconds"`
}

// minOrderPause returns the minimum time between orders of two different daemons.
func (bounds Bounds) minOrderPause() time.Duration { return seconds(bounds.LeaseMilliseconds / 1000) }

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// Defaults of settings that are not given.
const (
	defaultGraceSeconds             = 8
	defaultAddressTTLSeconds        = 2
	defaultRetryBudgetRatio         = 0.1
	defaultRetryBudgetWindowSeconds = 10
	defaultDescriptors              = 1024
)

// LoadSettings reads and validates a settings file. The error lists all problems.
func LoadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	settings, problems := CheckSettings(content)
	return settings, lwttoml.Join(problems)
}

// CheckSettings decodes and validates settings. It returns all problems found.
func CheckSettings(content []byte) (Settings, []lwttoml.Problem) {
	settings := Settings{
		LogLevel: "info",
		VM:       VMLimits{Descriptors: defaultDescriptors},
		Bounds: Bounds{
			GraceSeconds: defaultGraceSeconds, AddressTTLSeconds: defaultAddressTTLSeconds,
			RetryBudgetRatio: defaultRetryBudgetRatio, RetryBudgetWindowSeconds: defaultRetryBudgetWindowSeconds,
		},
	}
	document, problems := lwttoml.Decode(content, &settings)
	if !document.ValidSyntax() {
		return settings, problems
	}
	require := func(ok bool, key, format string, args ...any) {
		if !ok && !document.IsInvalid(key) {
			problems = append(problems, document.Problem(key, fmt.Sprintf(format, args...)))
		}
	}
	require(settings.Name != "", "name", "is missing")
	require(settings.AvailabilityZone != "", "availability-zone", "is missing")
	for _, address := range []struct{ key, text string }{
		{"entry-address", settings.EntryAddress},
		{"readiness-address", settings.ReadinessAddress},
		{"lookup-address", settings.LookupAddress},
		{"peer-address", settings.PeerAddress},
		{"metrics-address", settings.MetricsAddress},
		{"store.address", settings.Store.Address},
	} {
		_, err := netip.ParseAddrPort(address.text)
		require(err == nil, address.key, "%q must be IP:port", address.text)
	}
	require(settings.Bounds.GraceSeconds > 0, "bounds.grace-seconds", "must be above 0")
	require(settings.Bounds.LeaseMilliseconds >= 0, "bounds.lease-milliseconds", "must not be negative")
	require(settings.Bounds.AddressTTLSeconds > 0, "bounds.address-seconds", "must be above 0")
	require(settings.Bounds.RetryBudgetWindowSeconds > 0, "bounds.retry-window-seconds", "must be above 0")
	require(settings.VM.Descriptors > reservedDescriptors, "vm.descriptors", "must be above %d", reservedDescriptors)
	return settings, lwttoml.Sorted(problems)
}

// reservedDescriptors is the number of file descriptors reserved for files, listeners, and
// connections to peers and backend servers.
const reservedDescriptors = 512
