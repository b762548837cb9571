// Package lwtsetting reads the TOML settings of a daemon and checks them whole.
package lwtsetting

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lacewingtide/core/lwtaddress"
	"lacewingtide/core/lwtstate"
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
	OperatorKeyHashes []string `toml:"operator-key-hashes"`
	LogLevel          string   `toml:"log-level"`
	Platform          Platform `toml:"platform"`
	Planner           Planner  `toml:"planner"`
	Addresses         Address  `toml:"addresses"`
}

// Address sets how long callers and a leaving daemon rely on entry addresses.
type Address struct {
	// Keep is the time for which callers may keep an answer.
	Keep lwtstate.Duration `toml:"keep"`
	// Drain is the time for which a leaving daemon goes on serving. It must
	// exceed Keep by the time that the news of leaving takes.
	Drain lwtstate.Duration `toml:"drain"`
}

// Platform says where the platform's services are.
type Platform struct {
	// Address is IP:port.
	Address string `toml:"address"`
	// Timeout bounds one call.
	Timeout lwtstate.Duration `toml:"timeout"`
}

// Planner sets how the role planner weighs goodput against role changes.
type Planner struct {
	// RoleChangeCost is the number of requests a change must win to be made.
	RoleChangeCost float64 `toml:"role-change-cost"`
	// MinDwell is the least time between two changes of one engine.
	MinDwell lwtstate.Duration `toml:"min-dwell"`
}

const (
	defaultPlatformTimeout = 2 * time.Second
	defaultMinDwell        = time.Minute
	minKeyLength           = 16
)

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Platform: Platform{Timeout: lwtstate.Duration(defaultPlatformTimeout)},
		Planner:  Planner{RoleChangeCost: 1, MinDwell: lwtstate.Duration(defaultMinDwell)},
		Addresses: Address{
			Keep:  lwtstate.Duration(lwtaddress.Keep),
			Drain: lwtstate.Duration(lwtaddress.Drain(lwtaddress.Keep)),
		},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(content)
}

// Parse decodes and checks settings. The error joins all problems found.
func Parse(content []byte) (Settings, error) {
	settings := Default()
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, fmt.Errorf("settings: %s", describe(err))
	}
	if problems := settings.problems(); len(problems) > 0 {
		return Settings{}, errors.Join(problems...)
	}
	return settings, nil
}

func describe(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		lines := make([]string, 0, len(strict.Errors))
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			lines = append(lines, fmt.Sprintf("line %d: unknown key %s", row, strings.Join(strict.Errors[i].Key(), ".")))
		}
		return strings.Join(lines, "; ")
	}
	return err.Error()
}

func (settings Settings) problems() []error {
	var problems []error
	check := func(ok bool, key, message string) {
		if !ok {
			problems = append(problems, fmt.Errorf("%s: %s", key, message))
		}
	}
	check(settings.Name != "", "name", "is missing")
	check(settings.AvailabilityZone != "", "availability-zone", "is missing")
	check(isAddress(settings.EntryAddress), "entry-address", "must be IP:port")
	check(isAddress(settings.PeerAddress), "peer-address", "must be IP:port")
	check(isAddress(settings.OperatorAddress), "operator-address", "must be IP:port")
	check(isAddress(settings.Platform.Address), "platform.address", "must be IP:port")
	check(settings.Platform.Timeout > 0, "platform.timeout", "must be above 0")
	check(len(settings.PeerKey) >= minKeyLength, "peer-key", fmt.Sprintf("must have at least %d characters", minKeyLength))
	check(settings.Addresses.Keep > 0, "addresses.keep", "must be above 0")
	check(settings.Addresses.Drain >= lwtstate.Duration(lwtaddress.Drain(settings.Addresses.Keep.Std())),
		"addresses.drain", "must be at least 2s above addresses.keep")
	check(settings.Planner.RoleChangeCost >= 0, "planner.role-change-cost", "must not be negative")
	return problems
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.IsValid()
}
