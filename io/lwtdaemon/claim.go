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
	claimQueueSize = 1024
	// claimTimeout bounds the wait for a claim. It allows for one lost response of
	// the store and one retry.
	claimTimeout = 2500 * time.Millisecond
	// claimLoopGrace is the additional wait for the response of the event loop.
	claimLoopGrace = 250 * time.Millisecond
	// maxClaimBodyBytes bounds a stored response body. The claim of a request with a
	// larger response stays open, and a retry gets the outcome unknown.
	maxClaimBodyBytes   = 1 << 20
	maxObjectAttempts   = 3
	objectRetryInterval = 200 * time.Millisecond
	// claimReleaseTimeout bounds the time for which a request that did not run waits
	// until its key is released.
	claimReleaseTimeout    = 500 * time.Millisecond
	claimDrainPollInterval = 10 * time.Millisecond
	claimDrainTimeout      = 2 * time.Second
)

type (
	claimLoop = lwteventloop.Loop[lwtclaim.Model, lwtclaim.Msg, lwtclaim.Cmd]
	// claimStore is the part of the platform client that stores claims.
	claimStore interface {
		Commit(lwtplatform.Transaction) (lwtplatform.CommitResult, error)
		PutObject(hash string, content []byte) error
		Object(hash string) ([]byte, error)
	}
)

// claims runs the claim model of the daemon and executes its commands. A claim
// ensures that a request with an Idempotency-Key runs at most once.
type claims struct {
	store   claimStore
	logger  log.Logger
	loop    *claimLoop
	mutex   sync.Mutex
	waiting map[string]chan lwtclaim.OpenResult
	// releasing contains the requests that wait for the release of their key, by
	// nonce.
	releasing map[string]chan struct{}
}

func newClaims(store claimStore, daemon string, logger log.Logger) *claims {
	claims := &claims{
		store: store, logger: logger, waiting: map[string]chan lwtclaim.OpenResult{}, releasing: map[string]chan struct{}{},
	}
	claims.loop = lwteventloop.New(lwtclaim.New(daemon, lwtclaim.DefaultOptions()), claimQueueSize, claims.execute)
	return claims
}

// Serve implements suture.Service.
func (claims *claims) Serve(ctx context.Context) error { return claims.loop.Serve(ctx) }

// Open requests a claim. A granted claim must be ended by Finish, by Release or by
// sending lwtclaim.LeaveOpen.
func (claims *claims) Open(ctx context.Context, now time.Time, key, nonce, hash string) lwtclaim.OpenResult {
	notRun := lwtclaim.OpenResult{Nonce: nonce, Decision: lwtclaim.NotRun}
	results := make(chan lwtclaim.OpenResult, 1)
	claims.mutex.Lock()
	claims.waiting[nonce] = results
	claims.mutex.Unlock()
	ctx, stop := context.WithTimeout(ctx, claimTimeout+claimLoopGrace)
	defer stop()
	open := lwtclaim.Open{Key: key, Nonce: nonce, RequestHash: hash, Deadline: now.Add(claimTimeout)}
	if !claims.loop.Send(ctx, open) {
		claims.stopWaiting(nonce)
		return notRun
	}
	select {
	case openResult := <-results:
		return openResult
	case <-ctx.Done():
	}
	if claims.stopWaiting(nonce) {
		// The loop is stopped or slow. If it grants the claim later, deliver finds
		// no waiter and releases the claim.
		return notRun
	}
	return <-results
}

// Drain waits until the responses of completed requests are stored, at most for the
// timeout. The claims of responses that are not stored by then stay open.
func (claims *claims) Drain(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); claims.loop.Model().ClaimCount() > 0 && time.Now().Before(deadline); {
		time.Sleep(claimDrainPollInterval)
	}
}

// stopWaiting removes a waiting request. It reports false if the result has already
// been delivered.
func (claims *claims) stopWaiting(nonce string) bool {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	_, found := claims.waiting[nonce]
	delete(claims.waiting, nonce)
	return found
}

// Send queues a message to the claim model that says how a granted request ended.
func (claims *claims) Send(msg lwtclaim.Msg) {
	claims.loop.Send(context.Background(), msg)
}

// Release releases the key of a granted request that did not run. It waits for the
// store for at most claimReleaseTimeout, so that a caller that gets the outcome
// not-run can retry at once through another daemon.
func (claims *claims) Release(key, nonce string) {
	released := make(chan struct{})
	claims.mutex.Lock()
	claims.releasing[nonce] = released
	claims.mutex.Unlock()
	claims.Send(lwtclaim.Release{Key: key, Nonce: nonce})
	timer := time.NewTimer(claimReleaseTimeout)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
		claims.signalReleased(nonce)
	}
}

func (claims *claims) signalReleased(nonce string) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if released, found := claims.releasing[nonce]; found {
		close(released)
		delete(claims.releasing, nonce)
	}
}

// Finish stores the response of a granted request. It does not wait for the store. If
// the response can't be stored, the claim stays open, which prevents a second
// execution.
func (claims *claims) Finish(key, nonce string, response lwtclaim.Response) {
	if len(response.Body) <= lwtclaim.MaxInlineBytes {
		claims.Send(lwtclaim.Finish{Key: key, Nonce: nonce, Response: response})
		return
	}
	if len(response.Body) > maxClaimBodyBytes {
		claims.Send(lwtclaim.LeaveOpen{Key: key, Nonce: nonce})
		return
	}
	go func() {
		hash, err := claims.storeBody(response.Body)
		if err != nil {
			lwtlog.Warn(claims.logger, "claim-body-not-stored", "key", key, "err", err)
			claims.Send(lwtclaim.LeaveOpen{Key: key, Nonce: nonce})
			return
		}
		response.Body, response.ObjectHash = nil, hash
		claims.Send(lwtclaim.Finish{Key: key, Nonce: nonce, Response: response})
	}()
}

func (claims *claims) storeBody(body []byte) (string, error) {
	sum := sha256.Sum256(body)
	hash := hex.EncodeToString(sum[:])
	// The store client reads objects as JSON. Encoding bytes never fails.
	content, _ := json.Marshal(body)
	var err error
	for range maxObjectAttempts {
		if err = claims.store.PutObject(hash, content); err == nil {
			return hash, nil
		}
		time.Sleep(objectRetryInterval)
	}
	return "", err
}

// Body returns the body of a stored response, which may be a separate object.
func (claims *claims) Body(response lwtclaim.Response) ([]byte, error) {
	if response.ObjectHash == "" {
		return response.Body, nil
	}
	content, err := claims.store.Object(response.ObjectHash)
	if err != nil {
		return nil, fmt.Errorf("read stored response: %w", err)
	}
	var body []byte
	if err := json.Unmarshal(content, &body); err != nil {
		return nil, fmt.Errorf("decode stored response: %w", err)
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
		claims.deliver(ctx, cmd)
	case lwtclaim.Settled:
		claims.signalReleased(cmd.Nonce)
	}
}

func (claims *claims) deliver(ctx context.Context, openResult lwtclaim.OpenResult) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	waiter, found := claims.waiting[openResult.Nonce]
	delete(claims.waiting, openResult.Nonce)
	if found {
		waiter <- openResult
	} else if openResult.Decision == lwtclaim.Granted {
		go claims.loop.Send(ctx, lwtclaim.Release{Key: openResult.Key, Nonce: openResult.Nonce})
	}
}

func (claims *claims) commit(cmd lwtclaim.Commit) lwtclaim.Msg {
	transaction, err := newClaimTransaction(cmd.Writes)
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
	rows, err := decodeClaimRows(result.Rows)
	if err != nil {
		lwtlog.Warn(claims.logger, "claim-row-malformed", "err", err)
	}
	return lwtclaim.Conflicted{Batch: cmd.Batch, Rows: rows}
}

func newClaimTransaction(writes []lwtclaim.Write) (lwtplatform.Transaction, error) {
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

// decodeClaimRows decodes rows. A row that can't be decoded is treated as an open
// claim of another daemon, so that no request with its key runs.
func decodeClaimRows(rows []lwtplatform.Row) ([]lwtclaim.StoredRow, error) {
	var problems []error
	storedRows := make([]lwtclaim.StoredRow, 0, len(rows))
	for _, row := range rows {
		storedRow := lwtclaim.StoredRow{Key: row.Key, Version: row.Version}
		if row.Version > 0 {
			if err := json.Unmarshal(row.Value, &storedRow.Row); err != nil {
				problems = append(problems, fmt.Errorf("decode row %s: %w", row.Key, err))
				storedRow.Row = lwtclaim.Row{State: lwtclaim.StateOpen, Opened: time.Now()}
			}
		}
		storedRows = append(storedRows, storedRow)
	}
	return storedRows, errors.Join(problems...)
}
