package lwtgateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/core/lwtstreamversion"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
)

// streamsKind is the kind of messages that carry a streamsMessage.
const streamsKind = "streams"

// streamsMessage tells other daemons which software versions have begun streams, and asks for some.
type streamsMessage struct {
	Streams []streamVersion `cbor:"1,keyasint,omitempty"`
	// Asked holds the keys of streams that the sender wants to know of.
	Asked [][]byte `cbor:"2,keyasint,omitempty"`
	// Held holds the keys of streams that the sender has received.
	Held [][]byte `cbor:"3,keyasint,omitempty"`
}

type streamVersion struct {
	Key     []byte `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint,omitempty"`
	// ExpiryMilliseconds is the time until the stream's caller gives up.
	ExpiryMilliseconds int64 `cbor:"4,keyasint"`
}

const (
	// streamHolders is the number of relays that hold a stream besides the daemon that began it.
	// askedHolders is the number that are asked for one: after losses, others are relays.
	streamHolders = 5
	askedHolders  = 16
	// streamAnswerTimeout is how long a caller that takes up a stream waits for them. A daemon that
	// has just started opens its connections first.
	streamAnswerTimeout = 200 * time.Millisecond
	// streamAskInterval is the time between two questions for the same stream.
	streamAskInterval = 60 * time.Millisecond
	// startCheckInterval is the time between two checks whether a daemon that has just started can ask.
	startCheckInterval = 10 * time.Millisecond
	// streamReportInterval is the time between two checks for streams to report. Those that began
	// in between are reported together.
	streamReportInterval = 50 * time.Millisecond
	// maxReportedStreams bounds the streams in one message.
	maxReportedStreams = 256
	// unknownStreamRetryAfter is the retry delay if no daemon knows what began a stream.
	unknownStreamRetryAfter = 500 * time.Millisecond
	// mixedReportTTL is how long another daemon's report that several versions serve holds.
	mixedReportTTL = 2 * time.Second
)

// streamWaiters holds the callers that wait to know what began their stream. It is safe for
// concurrent use.
type streamWaiters struct {
	mutex   sync.Mutex
	waiting map[lwtstreamversion.Key]chan struct{}
}

func newStreamWaiters() *streamWaiters {
	return &streamWaiters{waiting: map[lwtstreamversion.Key]chan struct{}{}}
}

// wait returns a channel that is closed when an answer about a stream arrives.
func (waiters *streamWaiters) wait(key lwtstreamversion.Key) <-chan struct{} {
	waiters.mutex.Lock()
	defer waiters.mutex.Unlock()
	answered, found := waiters.waiting[key]
	if !found {
		answered = make(chan struct{})
		waiters.waiting[key] = answered
	}
	return answered
}

func (waiters *streamWaiters) answer(key lwtstreamversion.Key) {
	waiters.mutex.Lock()
	defer waiters.mutex.Unlock()
	if answered, found := waiters.waiting[key]; found {
		close(answered)
		delete(waiters.waiting, key)
	}
}

// findStream returns the stream that a request resumes, if this daemon knows it, another one answers in
// time, or the store has it. VersionsRead says that the software versions have been read from the store since
// the request arrived.
func (gateway *Gateway) findStream(
	ctx context.Context, service string, request lwtroutetable.Request, arrived time.Time,
) (stream lwtstreamversion.Stream, found, versionsRead bool) {
	if request.BegunBy == "" {
		return stream, false, gateway.awaitVersions(ctx, service, arrived)
	}
	key := lwtstreamversion.KeyOf(request.BegunBy)
	if stream, found = gateway.view.findStream(time.Now(), key); found {
		return stream, true, false
	}
	asked := gateway.askForStream(ctx, key)
	source := "daemons"
	if stream, found = gateway.view.findStream(time.Now(), key); !found {
		source = "store"
		versionsRead = gateway.awaitVersions(ctx, service, arrived)
		stream, found = gateway.view.findStream(time.Now(), key)
	}
	lwtlog.Info(gateway.logger, "stream-asked-for", "request", request.ID, "begun-by", request.BegunBy, "asked", asked,
		"source", source, "store-read", versionsRead, "found", found, "version", stream.Version)
	return stream, found, versionsRead
}

// askForStream asks the holders of a stream for its version and waits for the first answer, or
// streamAnswerTimeout. It repeats the question, because messages can be lost while connections are being
// opened. It returns the number of daemons asked last.
func (gateway *Gateway) askForStream(ctx context.Context, key lwtstreamversion.Key) (asked int) {
	ctx, cancel := context.WithTimeout(ctx, streamAnswerTimeout)
	defer cancel()
	for !gateway.loadExchange.started() {
		if !sleep(ctx, startCheckInterval) {
			return 0
		}
	}
	answered := gateway.streamWaiters.wait(key)
	defer gateway.streamWaiters.answer(key)
	for {
		asked = gateway.sendStreams(gateway.loadExchange.streamHolders(key, askedHolders), streamsMessage{Asked: [][]byte{key[:]}})
		if asked == 0 {
			return 0
		}
		select {
		case <-answered:
			return asked
		case <-ctx.Done():
			return asked
		case <-time.After(streamAskInterval):
		}
	}
}

// started reports whether this daemon can send messages to others and knows which of them hold streams.
func (loadExchange *loadExchange) started() bool {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	return loadExchange.network != nil && !loadExchange.topologyTime.IsZero()
}

// streamHolders returns the daemons that hold a stream: in a full mesh all others, otherwise some
// relays, on which daemons agree that know the same ones.
func (loadExchange *loadExchange) streamHolders(key lwtstreamversion.Key, count int) []string {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	if loadExchange.topologyTime.IsZero() {
		return nil
	}
	return loadExchange.topology.Holders(string(key[:]), count)
}

// sendStreams sends a message to daemons and returns the number of those for which it was queued.
func (gateway *Gateway) sendStreams(recipients []string, message streamsMessage) (sent int) {
	network := gateway.loadExchange.peerNetwork()
	if network == nil || len(recipients) == 0 {
		return 0
	}
	dropped, err := network.Multicast(recipients, streamsKind, message)
	if err != nil {
		lwtlog.Warn(gateway.logger, "streams-not-encoded", "err", err)
		return 0
	}
	gateway.metrics.CountBy("streams-not-sent", dropped)
	return len(recipients) - dropped
}

// reportDueStreams reports the versions of streams to their holders until ctx is canceled.
func (gateway *Gateway) reportDueStreams(ctx context.Context) error {
	var known []lwtstreamversion.Holder
	return runEvery(ctx, streamReportInterval, func(now time.Time) {
		holders := gateway.possibleStreamHolders()
		if !slices.Equal(holders, known) {
			known = holders
			gateway.view.reviewStreamHolders()
		}
		due, sent := gateway.view.dueStreamReports(now, gateway.streamHoldersOf), 0
		for holder, streams := range due {
			sent += gateway.reportStreams(now, holder, streams)
		}
		if len(due) > 0 {
			lwtlog.Info(gateway.logger, "streams-reported", "holders", len(due), "possible-holders", len(holders), "reports", sent)
		}
	})
}

// reportStreams reports streams to a holder and returns the number that was sent.
func (gateway *Gateway) reportStreams(
	now time.Time, holder lwtstreamversion.Holder, streams []lwtstreamversion.Stream,
) (sent int) {
	for part := range slices.Chunk(streams, maxReportedStreams) {
		var message streamsMessage
		for _, stream := range part {
			message.Streams = append(message.Streams, encodeStream(now, stream))
		}
		if gateway.sendStreams([]string{holder.Name}, message) == 0 {
			break
		}
		gateway.view.recordStreamReports(now, holder, part)
		sent += len(part)
	}
	return sent
}

// possibleStreamHolders returns the processes of daemons that may hold streams, other than this one.
func (gateway *Gateway) possibleStreamHolders() []lwtstreamversion.Holder {
	loadExchange := gateway.loadExchange
	loadExchange.mutex.Lock()
	names := loadExchange.topology.OtherRelays()
	loadExchange.mutex.Unlock()
	return gateway.members.streamHolders(names)
}

// streamHoldersOf returns the processes of daemons that hold a stream.
func (gateway *Gateway) streamHoldersOf(key lwtstreamversion.Key) []lwtstreamversion.Holder {
	return gateway.members.streamHolders(gateway.loadExchange.streamHolders(key, streamHolders))
}

func (gateway *Gateway) handleStreams(from lwtpeer.Identity, body []byte) {
	var message streamsMessage
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(gateway.logger, "streams-ignored", "daemon", from.Name, "err", err)
		return
	}
	now := time.Now()
	var answer streamsMessage
	for _, encoded := range message.Streams {
		stream := encoded.decode(now)
		gateway.view.observeStream(now, stream, gateway.streamHoldersOf(stream.Key))
		gateway.streamWaiters.answer(stream.Key)
		answer.Held = append(answer.Held, encoded.Key)
	}
	for _, held := range message.Held {
		gateway.view.confirmStream(keyFrom(held), lwtstreamversion.Holder{Name: from.Name, Boot: from.Boot})
	}
	for _, asked := range message.Asked {
		if stream, found := gateway.view.findStream(now, keyFrom(asked)); found {
			answer.Streams = append(answer.Streams, encodeStream(now, stream))
		}
	}
	if len(answer.Streams) > 0 || len(answer.Held) > 0 {
		gateway.sendStreams([]string{from.Name}, answer)
	}
}

func encodeStream(now time.Time, stream lwtstreamversion.Stream) streamVersion {
	return streamVersion{
		Key: stream.Key[:], Service: stream.Service, Version: stream.Version,
		ExpiryMilliseconds: stream.ExpiresAt.Sub(now).Milliseconds(),
	}
}

func (encoded streamVersion) decode(now time.Time) lwtstreamversion.Stream {
	return lwtstreamversion.Stream{
		Key: keyFrom(encoded.Key), Service: encoded.Service, Version: encoded.Version,
		ExpiresAt: now.Add(time.Duration(encoded.ExpiryMilliseconds) * time.Millisecond),
	}
}

func keyFrom(encoded []byte) (key lwtstreamversion.Key) {
	copy(key[:], encoded)
	return key
}

func (view *view) findStream(now time.Time, key lwtstreamversion.Key) (lwtstreamversion.Stream, bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.streams.Find(now, key)
}

func (view *view) observeStream(
	now time.Time, stream lwtstreamversion.Stream, holders []lwtstreamversion.Holder,
) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.streams.Observe(now, stream, holders)
}

func (view *view) confirmStream(key lwtstreamversion.Key, holder lwtstreamversion.Holder) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.streams.Confirm(key, holder)
}

func (view *view) reviewStreamHolders() {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.streams.ReviewHolders()
}

func (view *view) beginStream(now time.Time, stream lwtstreamversion.Stream) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.streams.Begin(now, stream)
}

func (view *view) endStream(key lwtstreamversion.Key) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.streams.End(key)
}

func (view *view) dueStreamReports(
	now time.Time, holdersOf func(lwtstreamversion.Key) []lwtstreamversion.Holder,
) map[lwtstreamversion.Holder][]lwtstreamversion.Stream {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.streams.DueReports(now, holdersOf)
}

func (view *view) recordStreamReports(
	now time.Time, holder lwtstreamversion.Holder, streams []lwtstreamversion.Stream,
) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	for _, stream := range streams {
		view.streams.RecordReport(now, stream.Key, holder)
	}
}

func (view *view) mixedServices(now time.Time) []string {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.streams.MixedServices(now)
}

// signalMixedServicesLocked signals that services have several software versions besides those that had
// before.
func (view *view) signalMixedServicesLocked(before []string) {
	for _, service := range view.streams.MixedServices(time.Now()) {
		if slices.Contains(before, service) {
			continue
		}
		select {
		case view.mixedServicesChanged <- struct{}{}:
		default:
		}
		return
	}
}

func (view *view) mixedUntil(now time.Time) map[string]time.Time {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.streams.MixedUntil(now)
}

func (view *view) observeMixed(services []string, until time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	for _, service := range services {
		view.streams.ObserveMixed(service, until)
	}
}

// setVersionsLocked tells the table of streams which software versions of a service serve.
func (view *view) setVersionsLocked(now time.Time, service string, servers []lwtdiscovery.Server) {
	serving := map[string]bool{}
	for _, server := range servers {
		serving[server.Version] = true
	}
	view.streams.SetVersions(now, service, serving)
}

// resume finds out at which software version the stream goes on that the request takes up. Another
// version would continue it with events that do not fit.
func (call *call) resume() {
	if !call.route.Streaming || call.request.LastEventID == "" {
		return
	}
	ctx, gateway := call.exchange.Context(), call.gateway
	stream, found, versionsRead := gateway.findStream(ctx, call.service, call.request, call.exchange.Arrived)
	switch {
	case found && call.route.HasTarget(stream.Service):
		call.service, call.version, call.versionFixed = stream.Service, stream.Version, true
	case found:
		// The route leads to another service now, whose versions are others.
	case versionsRead:
		call.version, call.versionFixed = gateway.view.onlyVersion(time.Now(), call.service)
		call.versionUnknown = !call.versionFixed
	default:
		call.versionUnknown = true
	}
}

// streamKey identifies the stream of the response.
func (call *call) streamKey() lwtstreamversion.Key {
	if call.request.LastEventID == "" || call.request.BegunBy == "" {
		return lwtstreamversion.KeyOf(call.request.ID)
	}
	return lwtstreamversion.KeyOf(call.request.BegunBy)
}

// beginStream fixes the software version of the stream at its first event.
func (call *call) beginStream() {
	if call.route.RetryPolicy != lwtroutetable.RetryResume {
		return
	}
	call.version, call.versionFixed = call.target.server.Version, true
	call.gateway.view.beginStream(time.Now(), lwtstreamversion.Stream{
		Key: call.streamKey(), Service: call.service, Version: call.version,
		ExpiresAt: call.exchange.Arrived.Add(max(call.request.Timeout, call.route.Timeout)),
	})
}

// endStream forgets the stream when its caller has received it completely.
func (call *call) endStream() {
	if call.versionFixed {
		call.gateway.view.endStream(call.streamKey())
	}
}
