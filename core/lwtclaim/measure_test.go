package lwtclaim_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtclaim"
)

// BenchmarkClaim measures the updates for one claim (open, commit, finish, commit)
// while the daemon holds other claims.
func BenchmarkClaim(b *testing.B) {
	for _, held := range []int{0, 100, 4000} {
		b.Run(fmt.Sprint("held=", held), func(b *testing.B) {
			options := lwtclaim.Options{BatchSize: 1, MaxInFlight: 1 << 20, MaxClaims: 1 << 20}
			model, now, version := lwtclaim.New("d", options), time.Unix(1_000_000, 0), int64(0)
			open := func(key string) {
				var cmds []lwtclaim.Cmd
				model, cmds = model.Update(now, lwtclaim.Open{Key: key, Nonce: key, RequestHash: key, Deadline: now.Add(time.Hour)})
				version++
				model, _ = model.Update(now, lwtclaim.Committed{Batch: cmds[0].(lwtclaim.Commit).Batch, Version: version})
			}
			for i := range held {
				open(fmt.Sprint("held", i))
			}
			for i := 0; b.Loop(); i++ {
				open("key")
				var cmds []lwtclaim.Cmd
				model, cmds = model.Update(now, lwtclaim.Finish{Key: "key", Nonce: "key"})
				version++
				model, _ = model.Update(now, lwtclaim.Committed{Batch: cmds[0].(lwtclaim.Commit).Batch, Version: version})
			}
		})
	}
}
