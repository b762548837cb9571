package lwtgateway

import (
	"context"
	"errors"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

const (
	// versionsReadInterval is the minimum time between two reads of the software versions.
	versionsReadInterval = 200 * time.Millisecond
	// versionsReadTimeout is how long a caller that takes up a stream waits for such a read.
	versionsReadTimeout = 600 * time.Millisecond
)

// awaitVersions waits for a read of the software versions that starts after a request that takes up a
// stream. Arrived is when the request did. It reports whether the read succeeded. A server is listed in
// the store before it serves, so the read shows the version that began the stream, unless the servers of
// that version have left: the daemons' rows say that.
func (gateway *Gateway) awaitVersions(ctx context.Context, service string, arrived time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, versionsReadTimeout)
	defer cancel()
	if err := gateway.versionsRead.startedAfter(ctx, arrived); err != nil {
		lwtlog.Info(gateway.logger, "versions-not-read", "service", service, "err", err)
		return false
	}
	return true
}

// readVersions reads from the store which software versions serve, which have served according to other
// daemons, and which have begun streams.
func (gateway *Gateway) readVersions() error {
	othersRead := make(chan error, 2)
	go func() {
		rows, _, err := gateway.store.Rows(memberTable, StoreTimeout)
		gateway.observeMixedRows(rows)
		othersRead <- err
	}()
	go func() { othersRead <- gateway.readStreamRows(false) }()
	rows, _, err := gateway.store.Rows(platform.ServersTable(), StoreTimeout)
	if err := errors.Join(err, <-othersRead, <-othersRead); err != nil {
		return err
	}
	var servers []lwtdiscovery.Server
	for _, row := range rows {
		if server, err := platform.DecodeServer(row.Key, row.Value); err == nil {
			// The follower of the servers reports the others.
			servers = append(servers, server)
		}
	}
	gateway.view.observeVersions(time.Now(), servers)
	return nil
}

func (view *view) onlyVersion(now time.Time, service string) (version string, only bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.streams.OnlyVersion(now, service)
}

func (view *view) observeVersions(now time.Time, servers []lwtdiscovery.Server) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	for _, server := range servers {
		view.streams.ObserveVersion(now, server.Service, server.Version)
	}
}
