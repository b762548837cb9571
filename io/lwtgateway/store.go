package lwtgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

// TableStore is the platform's table store.
type TableStore interface {
	Rows(table string, timeout time.Duration) (rows []platform.Row, version int64, err error)
	Row(table, key string, timeout time.Duration) (platform.Row, error)
	Changes(table string, after int64, wait, timeout time.Duration) (rows []platform.Row, version int64, err error)
	CompareAndSwap(row platform.Row, timeout time.Duration) (current platform.Row, applied bool, err error)
	Set(row platform.Row, timeout time.Duration) error
}

// Times of calls to the store.
const (
	// StoreTimeout bounds one call without its wait. An answer takes about 4 ms;
	// a slow store takes some 60 times as long.
	StoreTimeout = 700 * time.Millisecond
	// StoreMaxBackoff is the longest pause between two calls to a store that does not
	// answer. A configuration must be in force 2 s after the store is back.
	StoreMaxBackoff = 300 * time.Millisecond
	// configWait is how long the store waits for a change of the configuration. A
	// store that goes silent meanwhile is noticed only at its end.
	configWait = 2 * time.Second
	// minServersInterval is the least time between two reads of the changes of
	// servers. They write about once a second each, so waiting for a change would
	// return at once.
	minServersInterval = 500 * time.Millisecond
	// serversPerDaemon is the time between two reads for each live daemon. Who
	// sees a change tells the others.
	serversPerDaemon = 60 * time.Millisecond
	// drainShare is the part of the time to stop requests to a leaving server
	// that may pass before the list is read, should no other daemon tell.
	drainShare = 0.5
	// storeRetry is the pause after a failed call, doubled by jitter at most.
	storeRetry = 150 * time.Millisecond
)

// follower follows the rows of one table.
type follower struct {
	gateway *Gateway
	table   string
	wait    time.Duration
	// version is the version up to which changes were read; 0 asks for a full read.
	version int64
	failing bool
	// read takes in a full read, changed some changes.
	read    func(now time.Time, rows []platform.Row)
	changed func(now time.Time, rows []platform.Row)
	// catchUp asks for a read because something may have been missed.
	catchUp atomic.Bool
	// whole asks for a read of the whole table.
	whole atomic.Bool
	// contact is the time during which the store has answered without a gap. It is
	// used by other goroutines.
	contact atomic.Pointer[lwtdiscovery.ReachablePeriod]
	// back is called when the store answers again after a failure.
	back func(outage lwtdiscovery.Outage)
}

// contactGap is the longest time between two answers of the store in which no
// entry can lapse: two heartbeats of a server.
const contactGap = 2300 * time.Millisecond

// answered notes an answer to a call that was sent at a time and returns the contact
// before it.
func (follower *follower) answered(sent time.Time) (before lwtdiscovery.ReachablePeriod) {
	contact := lwtdiscovery.ReachablePeriod{Since: sent, Until: sent}
	if known := follower.contact.Load(); known != nil {
		before = *known
		if !follower.failing && sent.Sub(before.Until) <= contactGap {
			contact.Since = before.Since
		}
	}
	follower.contact.Store(&contact)
	return before
}

// poll makes one call and reports whether it was answered.
func (follower *follower) poll() bool {
	sent := time.Now()
	take, err := follower.call()
	switch {
	case errors.Is(err, platform.ErrHistoryLost):
		lwtlog.Info(follower.gateway.logger, "store-history-lost", "table", follower.table, "version", follower.version)
		follower.version = 0
		return true
	case err != nil:
		if !follower.failing {
			lwtlog.Warn(follower.gateway.logger, "store-lost", "table", follower.table, "version", follower.version, "err", err)
		}
		follower.failing = true
		return false
	}
	before := follower.answered(sent)
	if follower.failing {
		follower.failing = false
		// What the first answer shows may have come of the outage.
		follower.back(lwtdiscovery.Outage{Start: before.Until, End: time.Now()})
		lwtlog.Info(follower.gateway.logger, "store-regained", "table", follower.table, "version", follower.version)
	}
	take(time.Now())
	return true
}

// call reads the table or its changes. Take takes in what was read.
func (follower *follower) call() (take func(now time.Time), err error) {
	if follower.version == 0 || follower.whole.Swap(false) {
		rows, version, err := follower.gateway.store.Rows(follower.table, StoreTimeout)
		if err != nil {
			return nil, err
		}
		follower.version = version
		return func(now time.Time) { follower.read(now, rows) }, nil
	}
	wait := follower.wait
	if follower.failing {
		// A call that waits would not tell for as long that the store is back.
		wait = 0
	}
	rows, version, err := follower.gateway.store.Changes(follower.table, follower.version, wait, StoreTimeout)
	if err != nil {
		return nil, err
	}
	follower.version = max(version, follower.version)
	return func(now time.Time) {
		if len(rows) > 0 {
			follower.changed(now, rows)
		}
	}, nil
}

// follow polls until ctx ends, with a pause between two calls.
func (follower *follower) follow(ctx context.Context, interval func() time.Duration) error {
	for ctx.Err() == nil {
		span := idleInterval
		if follower.due(time.Now()) {
			span = interval()
			if !follower.poll() {
				span = storeRetry + time.Duration(rand.Float64()*float64(storeRetry))
			}
		}
		if span > 0 && !pause(ctx, span) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}

const (
	// idleInterval is the time between two looks whether a daemon that does not read
	// for others has to read for itself.
	idleInterval = 200 * time.Millisecond
	// readerSilence is the age of the newest contact of any daemon with the store from
	// which each reads for itself. A change of the configuration must be in force 3 s
	// after it in the fleets that have readers.
	readerSilence = 1700 * time.Millisecond
	// serverReadInterval is the time between two reads of the servers by a reader.
	serverReadInterval = time.Second
)

// due reports whether this daemon reads the table itself: it reads for others, has
// not read yet, has missed something, or nobody tells of the store.
func (follower *follower) due(now time.Time) bool {
	gateway := follower.gateway
	if follower.version == 0 || gateway.exchange.reads() || follower.catchUp.Swap(false) {
		return true
	}
	return now.Sub(time.Unix(0, gateway.storeSeen.Load())) >= readerSilence
}

// followConfig keeps the configuration in force.
func (gateway *Gateway) followConfig(ctx context.Context) error {
	table, _ := platform.ConfigRowKey()
	follower := &follower{
		gateway: gateway, table: table, wait: configWait,
		read: gateway.readConfigRows, changed: gateway.readConfigRows, back: func(lwtdiscovery.Outage) {},
	}
	gateway.configFollower.Store(follower)
	return follower.follow(ctx, func() time.Duration {
		follower.wait = configWait
		if !gateway.exchange.reads() {
			follower.wait = 0
			return idleInterval
		}
		return 0
	})
}

// followServers keeps the list of backend servers.
func (gateway *Gateway) followServers(ctx context.Context) error {
	follower := &follower{
		gateway: gateway, table: platform.ServersTable(),
		read: gateway.readServers, changed: gateway.changeServers,
		back: func(outage lwtdiscovery.Outage) {
			gateway.view.updateRoster(func(roster lwtdiscovery.ServerSet) lwtdiscovery.ServerSet { return roster.WithOutage(outage) })
		},
	}
	gateway.serversFollower.Store(follower)
	go func() {
		// The supervisor waits for follow; the expiry ends with it.
		_ = tick(ctx, minServersInterval, gateway.expireServers)
	}()
	return follower.follow(ctx, gateway.serversInterval)
}

// serversInterval returns the time until the next read of the changes of servers.
func (gateway *Gateway) serversInterval() time.Duration {
	most := time.Duration(drainShare * gateway.bounds.Load().DrainMilliseconds * float64(time.Millisecond))
	if !gateway.exchange.mesh() {
		return max(min(serverReadInterval, most), minServersInterval)
	}
	daemons := gateway.members.count(time.Now())
	return max(min(time.Duration(daemons)*serversPerDaemon, most), minServersInterval)
}

// contact returns this daemon's contact with the store. There is none while the
// configuration is not read.
func (gateway *Gateway) contact(now time.Time) (lwtdiscovery.ReachablePeriod, bool) {
	servers, config := gateway.serversFollower.Load(), gateway.configFollower.Load()
	if servers == nil || config == nil {
		return lwtdiscovery.ReachablePeriod{}, false
	}
	contact, read := servers.contact.Load(), config.contact.Load()
	if contact == nil || read == nil || gateway.exchange.reads() && now.Sub(read.Until) > 2*configWait {
		return lwtdiscovery.ReachablePeriod{}, false
	}
	return *contact, true
}

func (gateway *Gateway) expireServers(now time.Time) {
	gateway.view.mutex.Lock()
	roster, expired := gateway.view.roster.WithoutExpired(now)
	gateway.view.mutex.Unlock()
	if expired {
		gateway.view.updateRoster(func(lwtdiscovery.ServerSet) lwtdiscovery.ServerSet { return roster })
		lwtlog.Info(gateway.logger, "servers-expired", "left", len(roster.Servers()))
	}
}

func (gateway *Gateway) decodeServer(row platform.Row) (lwtdiscovery.Server, bool) {
	server, err := platform.DecodeServer(row.Key, row.Value)
	if err != nil {
		lwtlog.Info(gateway.logger, "server-entry-ignored", "server", row.Key, "row-version", row.Version, "err", err)
		return server, false
	}
	return server, true
}

func (gateway *Gateway) readServers(now time.Time, rows []platform.Row) {
	var servers []lwtdiscovery.Server
	for _, row := range rows {
		if server, ok := gateway.decodeServer(row); ok {
			servers = append(servers, server)
		}
	}
	gateway.view.updateRoster(func(roster lwtdiscovery.ServerSet) lwtdiscovery.ServerSet {
		for _, row := range rows {
			gateway.serverRows[row.Key] = max(row.Version, gateway.serverRows[row.Key])
		}
		gateway.logServers(roster, servers, "read")
		return roster.WithSnapshot(now, servers)
	})
}

func (gateway *Gateway) changeServers(now time.Time, rows []platform.Row) {
	changes := make([]serverChange, 0, len(rows))
	for _, row := range rows {
		changes = append(changes, serverChange{Row: row})
	}
	gateway.notifyServers(gateway.applyServers(now, changes, "change"))
}

// applyServers takes in changed entries and returns those that change what the
// daemon does: a heartbeat alone does not.
func (gateway *Gateway) applyServers(now time.Time, changes []serverChange, source string) (applied []serverChange) {
	gateway.view.updateRoster(func(roster lwtdiscovery.ServerSet) lwtdiscovery.ServerSet {
		for _, change := range changes {
			// That a removal is final may be learned after the removal.
			known := gateway.serverRows[change.Key]
			if change.Version < known || change.Version == known && !change.dropped {
				continue
			}
			gateway.serverRows[change.Key] = change.Version
			var changed bool
			if roster, changed = gateway.applyServer(now, roster, change, source); changed {
				_, kept := roster.Server(change.Key)
				change.dropped = !kept
				applied = append(applied, change)
			}
		}
		return roster
	})
	return applied
}

func (gateway *Gateway) applyServer(
	now time.Time, roster lwtdiscovery.ServerSet, change serverChange, source string,
) (lwtdiscovery.ServerSet, bool) {
	server, ok := lwtdiscovery.Server{}, false
	if !change.Deleted {
		server, ok = gateway.decodeServer(change.Row)
	}
	known, found := roster.Server(change.Key)
	if !ok {
		return gateway.removeServer(now, roster, change, source), found
	}
	changed := !found || !known.SameIncarnation(server) || known.Draining != server.Draining || known.Stage != server.Stage
	gateway.logServers(roster, []lwtdiscovery.Server{server}, source)
	return roster.WithEntry(server), changed
}

// removeServer removes a server without an entry.
func (gateway *Gateway) removeServer(now time.Time, roster lwtdiscovery.ServerSet, change serverChange, source string) lwtdiscovery.ServerSet {
	if _, found := roster.Server(change.Key); !found {
		return roster
	}
	var next lwtdiscovery.ServerSet
	switch {
	case change.dropped:
		next = roster.WithoutServer(change.Key)
	case gateway.exchange.reads():
		next = roster.WithoutEntry(now, change.Key)
	default:
		// Who has read it knows whether the store was away.
		next = roster.WithReportedExpiry(now, change.Key)
	}
	_, kept := next.Server(change.Key)
	lwtlog.Info(gateway.logger, "server-unlisted", "server", change.Key, "row-version", change.Version, "kept", kept, "source", source)
	return next
}

// logServers logs the servers that differ from what the roster holds.
func (gateway *Gateway) logServers(roster lwtdiscovery.ServerSet, servers []lwtdiscovery.Server, source string) {
	for _, server := range servers {
		known, found := roster.Server(server.ID)
		if found && known.SameIncarnation(server) && known.Draining == server.Draining && known.Stage == server.Stage {
			continue
		}
		lwtlog.Info(gateway.logger, "server-listed", "server", server.ID, "service", server.Service, "address", server.Address,
			"zone", server.AvailabilityZone, "stage", string(server.Stage), "leaving", server.Draining, "beat", server.HeartbeatSeq,
			"source", source)
	}
}

// noteContact takes in the contact of another daemon with the store.
func (gateway *Gateway) noteContact(contact lwtdiscovery.ReachablePeriod, daemon string) {
	for seen := gateway.storeSeen.Load(); contact.Until.UnixNano() > seen; seen = gateway.storeSeen.Load() {
		if gateway.storeSeen.CompareAndSwap(seen, contact.Until.UnixNano()) {
			break
		}
	}
	gateway.view.mutex.Lock()
	roster, ended := gateway.view.roster.WithReachablePeriod(contact)
	gateway.view.roster = roster
	gateway.view.mutex.Unlock()
	if len(ended) == 0 {
		return
	}
	gateway.view.updateRoster(func(roster lwtdiscovery.ServerSet) lwtdiscovery.ServerSet { return roster })
	lwtlog.Info(gateway.logger, "servers-gone", "servers", ended, "contact-of", daemon,
		"since", time.Since(contact.Since).Round(time.Millisecond), "until", time.Since(contact.Until).Round(time.Millisecond))
}

// compareServers has the list of servers read again if it differs from that of the
// own relay for longer than a change takes to arrive.
func (gateway *Gateway) compareServers(now time.Time, relays uint64) {
	if relays == 0 || relays == gateway.view.rosterDigest() {
		gateway.differsSince.Store(0)
		return
	}
	since := gateway.differsSince.Load()
	if since == 0 {
		gateway.differsSince.Store(now.UnixNano())
		return
	}
	if now.UnixNano()-since >= int64(serversDifferTime) {
		gateway.differsSince.Store(0)
		gateway.catchUpServers("servers-differ")
	}
}

// serversDifferTime is how long the lists of servers of a daemon and its relay may
// differ: a change reaches them within some milliseconds.
const serversDifferTime = 700 * time.Millisecond

// catchUpServers has all servers read again.
func (gateway *Gateway) catchUpServers(cause string) {
	follower := gateway.serversFollower.Load()
	if follower == nil || gateway.exchange.reads() {
		return
	}
	gateway.metrics.Count(cause)
	follower.whole.Store(true)
	follower.catchUp.Store(true)
}
