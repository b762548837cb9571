// Package lwtsetting reads the TOML settings of a daemon and checks them whole.
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
	// Peers are peer addresses to try besides the VM list.
	Peers []string `toml:"peers"`
	// PeerKey proves daemons to each other and authenticates event ids.
	PeerKey string `toml:"peer-key"`
	// OperatorKeyHashes are the hexadecimal SHA-256 hashes of the operators' keys.
	OperatorKeyHashes []string  `toml:"operator-key-hashes"`
	LogLevel          string    `toml:"log-level"`
	Platform          Platform  `toml:"platform"`
	Planner           Planner   `toml:"planner"`
	Addresses         Addresses `toml:"addresses"`
}

// Addresses sets how long callers and a leaving daemon rely on entry addresses.
type Addresses struct {
	// TTL is the time for which callers may keep an answer.
	TTL lwtdeclaredstate.Duration `toml:"keep"`
	// DrainTime is the time for which a leaving daemon goes on serving. It must
	// exceed Keep by the time that other daemons take to learn of the departure.
	DrainTime lwtdeclaredstate.Duration `toml:"drain"`
}

// Platform says where the platform's services are.
type Platform struct {
	// Address is IP:port.
	Address string `toml:"address"`
	// Timeout bounds one call.
	Timeout lwtdeclaredstate.Duration `toml:"timeout"`
}

// Planner sets how the role planner weighs goodput against role changes.
type Planner struct {
	// RoleChangeCost is the number of requests a change must win to be made.
	RoleChangeCost float64 `toml:"role-change-cost"`
	// MinDwell is the least time between two changes of one engine.
	MinDwell lwtdeclaredstate.Duration `toml:"min-dwell"`
}

const (
	defaultPlatformTimeout = 2 * time.Second
	defaultMinDwell        = time.Minute
	minKeyLength           = 16
	// maxPlatformTimeout is half of a lease of 10 s, less the check before an
	// order.
	maxPlatformTimeout = 4 * time.Second
)

// Default returns the settings that hold where a file says nothing.
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

// Parse decodes and checks settings. The error joins all problems found, each
// with its key path and line.
func Parse(content []byte) (Settings, error) {
	settings, problems := Check(content)
	if err := lwttoml.Join(problems); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// Check decodes settings and returns all their problems.
func Check(content []byte) (Settings, []lwttoml.Problem) {
	settings := Default()
	document, problems := lwttoml.Decode(content, &settings)
	if !document.ValidSyntax() {
		return settings, problems
	}
	checker := checker{document: document, problems: problems}
	checker.settings(settings)
	return settings, lwttoml.Sorted(checker.problems)
}
