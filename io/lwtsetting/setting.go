// Package lwtsetting reads the TOML settings of a daemon and reports all their problems
// at once.
package lwtsetting

import (
	"fmt"
	"os"
	"time"

	"lacewingtide/core/lwtaddress"
	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwttoml"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name identifies the daemon in logs and request ids.
	Name             string `toml:"name"`
	AvailabilityZone string `toml:"availability-zone"`
	// EntryAddress is where callers connect (IP:port).
	EntryAddress string `toml:"entry-address"`
	// PeerAddress is where other daemons connect (IP:port).
	PeerAddress string `toml:"peer-address"`
	// OperatorAddress is where operators connect (IP:port).
	OperatorAddress string `toml:"operator-address"`
	// Peers lists peer addresses to connect to in addition to the VM list.
	Peers []string `toml:"peers"`
	// PeerKey is the shared key by which daemons authenticate each other and event ids.
	PeerKey string `toml:"peer-key"`
	// OperatorKeyHashes lists the hexadecimal SHA-256 hashes of the operators' keys.
	OperatorKeyHashes []string  `toml:"operator-key-hashes"`
	LogLevel          string    `toml:"log-level"`
	Platform          Platform  `toml:"platform"`
	Planner           Planner   `toml:"planner"`
	Addresses         Addresses `toml:"addresses"`
}

// Addresses configures the caching of entry addresses and the draining of a daemon.
type Addresses struct {
	// TTL is the time for which callers may cache the entry addresses.
	TTL lwtdeclaredstate.Duration `toml:"keep"`
	// DrainTime is the time for which a daemon continues to serve while it shuts down. It
	// must exceed TTL by the time until the other daemons have learned of the shutdown.
	DrainTime lwtdeclaredstate.Duration `toml:"drain"`
}

// Platform configures the access to the platform's services.
type Platform struct {
	// Address is the address of the services (IP:port).
	Address string `toml:"address"`
	// Timeout limits the duration of one call.
	Timeout lwtdeclaredstate.Duration `toml:"timeout"`
}

// Planner configures how the role planner weighs goodput against role changes.
type Planner struct {
	// RoleChangeCost is the number of requests that a role change must gain to be made.
	RoleChangeCost float64 `toml:"role-change-cost"`
	// MinDwell is the minimum time between two role changes of one engine.
	MinDwell lwtdeclaredstate.Duration `toml:"min-dwell"`
}

const (
	defaultPlatformTimeout = 2 * time.Second
	defaultMinDwell        = time.Minute
	minKeyLength           = 16 // characters
	// maxPlatformTimeout is half of the lease duration of 10 s, minus time for the check
	// before an order.
	maxPlatformTimeout = 4 * time.Second
)

// Default returns the default settings. Required settings are empty.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Platform: Platform{Timeout: lwtdeclaredstate.Duration(defaultPlatformTimeout)},
		Planner:  Planner{RoleChangeCost: 1, MinDwell: lwtdeclaredstate.Duration(defaultMinDwell)},
		Addresses: Addresses{
			TTL:       lwtdeclaredstate.Duration(lwtaddress.DefaultTTL),
			DrainTime: lwtdeclaredstate.Duration(lwtaddress.DrainDuration(lwtaddress.DefaultTTL)),
		},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	var content []byte
	var err error
	if content, err = os.ReadFile(path); err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(content)
}

// Parse decodes and checks settings. The error joins all problems, each with its key path
// and line.
func Parse(content []byte) (Settings, error) {
	settings, problems := Check(content)
	if err := lwttoml.Join(problems); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// Check decodes settings and returns them with all their problems, sorted.
func Check(content []byte) (Settings, []lwttoml.Problem) {
	settings := Default()
	document, problems := lwttoml.Decode(content, &settings)
	if !document.ValidSyntax() {
		return settings, problems
	}
	checker := checker{document: document, problems: problems}
	checker.checkSettings(settings)
	return settings, lwttoml.Sorted(checker.problems)
}
