package lwtdaemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtclaim"
	"lacewingtide/io/lwteventloop"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtplatform"
)

const (
	claimQueue = 1024
	// claimPatience bounds the wait for a claim. It leaves time for one lost
	// answer and its repetition.
	claimPatience = 2500 * time.Millisecond
	// claimGrace is the wait beyond claimPatience for the loop itself.
	claimGrace = 250 * time.Millisecond
	// claimBodyBytes bounds the stored outcome. The claim of a request with a
	// larger answer stays open, and a repetition is answered unknown.
	claimBodyBytes = 1 << 20
	objectAttempts = 3
	objectPause    = 200 * time.Millisecond
	// releasePatience bounds the wait of a request that did not run for its key.
	releasePatience = 500 * time.Millisecond
	drainInterval   = 10 * time.Millisecond
	claimDrain      = 2 * time.Second
)

type (
	claimLoop = lwteventloop.Loop[lwtclaim.Model, lwtclaim.Msg, lwtclaim.Cmd]
	// claimStore is the part of the platform that claims are kept in.
	claimStore interface {
		Commit(lwtplatform.Transaction) (lwtplatform.CommitResult, error)
		PutObject(hash string, content []byte) error
		Object(hash string) ([]byte, error)
	}
)

// claims owns the daemon's claims and carries out their commands.
type claims struct {
	store   claimStore
	logger  log.Logger
	loop    *claimLoop
	mutex   sync.Mutex
	waiting map[string]chan lwtclaim.OpenResult
	// releasing are the requests that wait for their key to be free again.
	releasing map[string]chan struct{}
}

func newClaims(store claimStore, daemon string, logger log.Logger) *claims {
	claims := &claims{store: store, logger: logger, waiting: map[string]chan lwtclaim.OpenResult{}, releasing: map[string]chan struct{}{}}
	claims.loop = lwteventloop.New(lwtclaim.New(daemon, lwtclaim.DefaultOptions()), claimQueue, claims.execute)
	return claims
}

// Serve implements suture.Service.
func (claims *claims) Serve(ctx context.Context) error { return claims.loop.Serve(ctx) }

// Open asks for a claim. A claim that is granted must be ended by Finish,
// Release or Forget.
func (claims *claims) Open(ctx context.Context, now time.Time, key, nonce, hash string) lwtclaim.OpenResult {
	notRun := lwtclaim.OpenResult{Nonce: nonce, Decision: lwtclaim.NotRun}
	answered := make(chan lwtclaim.OpenResult, 1)
	claims.mutex.Lock()
	claims.waiting[nonce] = answered
	claims.mutex.Unlock()
	ctx, stop := context.WithTimeout(ctx, claimPatience+claimGrace)
	defer stop()
	open := lwtclaim.Open{Key: key, Nonce: nonce, RequestHash: hash, Deadline: now.Add(claimPatience)}
	if !claims.loop.Send(ctx, open) {
		claims.forget(nonce)
		return notRun
	}
	select {
	case answer := <-answered:
		return answer
	case <-ctx.Done():
	}
	if claims.forget(nonce) {
		// The loop is stopped or late. An answer that still comes finds nobody
		// waiting, and a claim granted then is released.
		return notRun
	}
	return <-answered
}

// Drain waits until the outcomes of ended requests are stored, at most for the
// given time. Rows that are not written by then stay open.
func (claims *claims) Drain(most time.Duration) {
	for end := time.Now().Add(most); claims.loop.Model().ClaimCount() > 0 && time.Now().Before(end); {
		time.Sleep(drainInterval)
	}
}

// forget removes a waiting request. It reports false when its answer is there.
func (claims *claims) forget(nonce string) bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	_, found := claims.waiting[nonce]
	delete(claims.waiting, nonce)
	return found
}

// Send tells how a granted request ended.
func (claims *claims) Send(msg lwtclaim.Msg) {
	claims.loop.Send(context.Background(), msg)
}

// Release frees the key of a granted request that did not run. It waits a short
// time for the store, so that a caller that was told not-run can repeat its
// request through another daemon at once.
func (claims *claims) Release(key, nonce string) {
	released := make(chan struct{})
	claims.mutex.Lock()
	claims.releasing[nonce] = released
	claims.mutex.Unlock()
	claims.Send(lwtclaim.Release{Key: key, Nonce: nonce})
	timer := time.NewTimer(releasePatience)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
		claims.settled(nonce)
	}
}

func (claims *claims) settled(nonce string) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if released, found := claims.releasing[nonce]; found {
		close(released)
		delete(claims.releasing, nonce)
	}
}

// Finish stores the outcome of a granted request. It does not wait for the
// store, and a row that can't be written stays open, which is safe.
func (claims *claims) Finish(key, nonce string, outcome lwtclaim.Response) {
	if len(outcome.Body) <= lwtclaim.MaxInlineBytes {
		claims.Send(lwtclaim.Finish{Key: key, Nonce: nonce, Response: outcome})
		return
	}
	if len(outcome.Body) > claimBodyBytes {
		claims.Send(lwtclaim.LeaveOpen{Key: key, Nonce: nonce})
		return
	}
	go func() {
		hash, err := claims.putBody(outcome.Body)
		if err != nil {
			lwtlog.Warn(claims.logger, "claim-body-not-stored", "key", key, "err", err)
			claims.Send(lwtclaim.LeaveOpen{Key: key, Nonce: nonce})
			return
		}
		outcome.Body, outcome.ObjectHash = nil, hash
		claims.Send(lwtclaim.Finish{Key: key, Nonce: nonce, Response: outcome})
	}()
}

func (claims *claims) putBody(body []byte) (string, error) {
	sum := sha256.Sum256(body)
	hash := hex.EncodeToString(sum[:])
	// The store's client reads objects as JSON. Bytes always encode.
	content, _ := json.Marshal(body)
	var err error
	for range objectAttempts {
		if err = claims.store.PutObject(hash, content); err == nil {
			return hash, nil
		}
		time.Sleep(objectPause)
	}
	return "", err
}

// Body returns the body of a stored outcome.
func (claims *claims) Body(outcome lwtclaim.Response) ([]byte, error) {
	if outcome.ObjectHash == "" {
		return outcome.Body, nil
	}
	content, err := claims.store.Object(outcome.ObjectHash)
	if err != nil {
		return nil, fmt.Errorf("read stored outcome: %w", err)
	}
	var body []byte
	if err := json.Unmarshal(content, &body); err != nil {
		return nil, fmt.Errorf("decode stored outcome: %w", err)
	}
	return body, nil
}

func (claims *claims) execute(ctx context.Context, cmd lwtclaim.Cmd) {
	switch cmd := cmd.(type) {
	case lwtclaim.Commit:
		go func() { claims.loop.Send(ctx, claims.commit(cmd)) }()
	case lwtclaim.ScheduleTick:
		time.AfterFunc(time.Until(cmd.At), func() { claims.loop.Send(ctx, lwtclaim.Tick{}) })
	case lwtclaim.OpenResult:
		claims.answer(ctx, cmd)
	case lwtclaim.Settled:
		claims.settled(cmd.Nonce)
	}
}

func (claims *claims) answer(ctx context.Context, answer lwtclaim.OpenResult) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	waiting, found := claims.waiting[answer.Nonce]
	delete(claims.waiting, answer.Nonce)
	if found {
		waiting <- answer
	} else if answer.Decision == lwtclaim.Granted {
		go claims.loop.Send(ctx, lwtclaim.Release{Key: answer.Key, Nonce: answer.Nonce})
	}
}

func (claims *claims) commit(cmd lwtclaim.Commit) lwtclaim.Msg {
	transaction, err := transactionOf(cmd.Writes)
	if err != nil {
		lwtlog.Warn(claims.logger, "claim-not-encoded", "err", err)
		return lwtclaim.CommitUnknown{Batch: cmd.Batch}
	}
	result, err := claims.store.Commit(transaction)
	if err != nil {
		lwtlog.Warn(claims.logger, "claims-not-written", "claims", len(cmd.Writes), "err", err)
		return lwtclaim.CommitUnknown{Batch: cmd.Batch}
	}
	if result.Committed {
		return lwtclaim.Committed{Batch: cmd.Batch, Version: result.Version}
	}
	rows, err := storedOf(result.Rows)
	if err != nil {
		lwtlog.Warn(claims.logger, "claim-row-malformed", "err", err)
	}
	return lwtclaim.Conflicted{Batch: cmd.Batch, Rows: rows}
}

func transactionOf(writes []lwtclaim.Write) (lwtplatform.Transaction, error) {
	var transaction lwtplatform.Transaction
	for _, write := range writes {
		value, err := json.Marshal(write.Row)
		if err != nil {
			return transaction, fmt.Errorf("encode claim: %w", err)
		}
		transaction.Conditions = append(transaction.Conditions,
			lwtplatform.Condition{Key: write.Key, Version: write.Version})
		transaction.Puts = append(transaction.Puts, lwtplatform.Put{Key: write.Key, Value: value})
	}
	return transaction, nil
}

// storedOf decodes rows. A row that can't be decoded reads as an open claim of
// another daemon, so that nothing runs under its key.
func storedOf(rows []lwtplatform.Row) ([]lwtclaim.StoredRow, error) {
	var problems []error
	stored := make([]lwtclaim.StoredRow, 0, len(rows))
	for _, row := range rows {
		one := lwtclaim.StoredRow{Key: row.Key, Version: row.Version}
		if row.Version > 0 {
			if err := json.Unmarshal(row.Value, &one.Row); err != nil {
				problems = append(problems, fmt.Errorf("row %s: %w", row.Key, err))
				one.Row = lwtclaim.Row{State: lwtclaim.StateOpen, Opened: time.Now()}
			}
		}
		stored = append(stored, one)
	}
	return stored, errors.Join(problems...)
}
