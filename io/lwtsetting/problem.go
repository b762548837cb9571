package lwtsetting

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"lacewingtide/core/lwtaddress"
	"lacewingtide/core/lwttoml"
)

var validHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker collects the problems of decoded settings.
type checker struct {
	document lwttoml.Document
	problems []lwttoml.Problem
}

// require adds a problem at a key unless ok is true. A key that failed to decode gets no
// second problem.
func (checker *checker) require(ok bool, key, format string, args ...any) {
	if !ok && !checker.document.IsInvalid(key) {
		checker.problems = append(checker.problems, checker.document.Problem(key, fmt.Sprintf(format, args...)))
	}
}

func (checker *checker) checkSettings(settings Settings) {
	checker.require(settings.Name != "", "name", "is missing")
	checker.require(settings.AvailabilityZone != "", "availability-zone", "is missing")
	checker.checkAddress("entry-address", settings.EntryAddress)
	checker.checkAddress("peer-address", settings.PeerAddress)
	checker.checkAddress("operator-address", settings.OperatorAddress)
	checker.checkDistinctListeners(settings)
	for i, peer := range settings.Peers {
		checker.checkAddress(fmt.Sprintf("peers[%d]", i), peer)
	}
	checker.require(len(settings.PeerKey) >= minKeyLength, "peer-key", "must have at least %d characters", minKeyLength)
	checker.checkOperatorKeys(settings.OperatorKeyHashes)
	checker.require(slices.Contains(logLevels, settings.LogLevel), "log-level",
		"%q must be debug, info, warn or error", settings.LogLevel)
	checker.checkAddress("platform.address", settings.Platform.Address)
	timeout := settings.Platform.Timeout.Std()
	checker.require(timeout > 0, "platform.timeout", "must be above 0")
	checker.require(timeout <= maxPlatformTimeout, "platform.timeout",
		"must be at most %s, so that a lease can be renewed twice before it ends", maxPlatformTimeout)
	checker.require(settings.Addresses.TTL > 0, "addresses.keep", "must be above 0")
	minDrain := lwtaddress.DrainDuration(settings.Addresses.TTL.Std())
	checker.require(settings.Addresses.DrainTime.Std() >= minDrain, "addresses.drain",
		"must be at least %s, for answers that callers keep for addresses.keep", minDrain)
	checker.require(settings.Planner.RoleChangeCost >= 0, "planner.role-change-cost", "must not be negative")
	checker.require(settings.Planner.MinDwell > 0, "planner.min-dwell", "must be above 0")
}

func (checker *checker) checkAddress(key, text string) {
	address, err := netip.ParseAddrPort(text)
	checker.require(err == nil, key, "%q must be IP:port", text)
	checker.require(err != nil || address.Port() != 0, key, "the port must not be 0")
}

// checkDistinctListeners reports listeners with the same address.
func (checker *checker) checkDistinctListeners(settings Settings) {
	used := map[string]string{}
	for _, listener := range []struct{ key, address string }{
		{"entry-address", settings.EntryAddress},
		{"peer-address", settings.PeerAddress},
		{"operator-address", settings.OperatorAddress},
	} {
		other, found := used[listener.address]
		checker.require(!found || listener.address == "", listener.key, "is the same as %s", other)
		used[listener.address] = listener.key
	}
}

func (checker *checker) checkOperatorKeys(hashes []string) {
	for i, hash := range hashes {
		key := fmt.Sprintf("operator-key-hashes[%d]", i)
		checker.require(validHash.MatchString(hash), key,
			"must be the SHA-256 of the key in 64 lower-case hexadecimal digits")
		checker.require(!slices.Contains(hashes[:i], hash), key, "is listed twice")
	}
}
