package lwtgateway

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"lacewingtide/core/lwtstreamversion"
	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

// streamTable is the store table with a row per daemon, which holds the software versions of the streams
// that it has begun. Only the store keeps them when all daemons are lost together.
const streamTable = "streams"

const (
	// maxStoredStreams keeps a row below the store's limit of 64 KiB.
	maxStoredStreams = 1500
	// storedStreamBytes is the size of a stream in a row: its key and when its caller gives up.
	storedStreamBytes = len(lwtstreamversion.Key{}) + 8
)

// streamRow is the content of a row.
type streamRow struct {
	Groups []streamGroup `json:"groups"`
}

// streamGroup holds the streams that a software version of a service has begun.
type streamGroup struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Streams holds a key and a time in milliseconds since the Unix epoch (big-endian) for each
	// stream.
	Streams []byte `json:"streams"`
}

func encodeStreamRow(streams []lwtstreamversion.Stream) ([]byte, error) {
	var content streamRow
	groups := map[[2]string]int{}
	for _, stream := range streams {
		name := [2]string{stream.Service, stream.Version}
		i, found := groups[name]
		if !found {
			i = len(content.Groups)
			groups[name] = i
			content.Groups = append(content.Groups, streamGroup{Service: stream.Service, Version: stream.Version})
		}
		encoded := append(content.Groups[i].Streams, stream.Key[:]...)
		content.Groups[i].Streams = binary.BigEndian.AppendUint64(encoded, uint64(stream.ExpiresAt.UnixMilli()))
	}
	value, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode streams: %w", err)
	}
	return value, nil
}

func decodeStreamRow(row platform.Row) (streams []lwtstreamversion.Stream, err error) {
	var content streamRow
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return nil, fmt.Errorf("decode streams row %s: %w", row.Key, err)
	}
	for _, group := range content.Groups {
		for encoded := group.Streams; len(encoded) >= storedStreamBytes; encoded = encoded[storedStreamBytes:] {
			stream := lwtstreamversion.Stream{Service: group.Service, Version: group.Version}
			copy(stream.Key[:], encoded)
			milliseconds := binary.BigEndian.Uint64(encoded[len(stream.Key):])
			stream.ExpiresAt = time.UnixMilli(int64(milliseconds))
			streams = append(streams, stream)
		}
	}
	return streams, nil
}

// readStreamRows reads the versions of streams from the store. Adopt says that those in the row of this
// daemon are its own: the process before has begun them.
func (gateway *Gateway) readStreamRows(adopt bool) error {
	rows, _, err := gateway.store.Rows(streamTable, StoreTimeout)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, row := range rows {
		streams, err := decodeStreamRow(row)
		if err != nil {
			lwtlog.Warn(gateway.logger, "streams-row-ignored", "err", err)
			continue
		}
		own := adopt && row.Key == gateway.settings.Name
		if own && len(streams) > 0 {
			lwtlog.Info(gateway.logger, "streams-adopted", "count", len(streams), "row-version", row.Version)
		}
		gateway.view.observeStoredStreams(now, streams, own)
	}
	return nil
}

func (view *view) observeStoredStreams(now time.Time, streams []lwtstreamversion.Stream, own bool) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	for _, stream := range streams {
		if own {
			view.streams.Adopt(now, stream)
		} else {
			view.streams.ObserveStored(now, stream)
		}
	}
}

func (view *view) ownStreams(now time.Time) []lwtstreamversion.Stream {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.streams.OwnStreams(now, maxStoredStreams)
}
