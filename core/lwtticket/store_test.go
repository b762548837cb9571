package lwtticket_test

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// store is an in-memory table and object store. Its transactions are
// serializable, and faults can be injected.
type store struct {
	version            int64
	head               lwtticket.Head
	headVersion        int64
	records            map[int64]lwtticket.Record
	idempotencyRecords map[string]lwtticket.IdempotencyRecord
	objects            map[string][]byte
	// unavailable makes every command fail without being sent; losesResponses
	// lets commands take effect but loses their responses.
	unavailable, losesResponses bool
	// delayedCommits are commits that timed out at the sender before they arrived.
	delayedCommits []lwtticket.Commit
}

func newStore() *store {
	return &store{
		records: map[int64]lwtticket.Record{}, idempotencyRecords: map[string]lwtticket.IdempotencyRecord{},
		objects: map[string][]byte{},
	}
}

// execute executes a command and returns its response.
func (store *store) execute(cmd lwtticket.Cmd) lwtticket.Msg {
	if wait, found := cmd.(lwtticket.Wait); found {
		_ = wait
		return lwtticket.Waited{}
	}
	if _, found := cmd.(lwtticket.StoreSnapshot); found && store.unavailable {
		return lwtticket.SnapshotStored{}
	}
	if store.unavailable {
		return lwtticket.CommandFailed{NotSent: true}
	}
	response := store.apply(cmd)
	if store.losesResponses {
		return lwtticket.CommandFailed{}
	}
	return response
}

func (store *store) apply(cmd lwtticket.Cmd) lwtticket.Msg {
	switch cmd := cmd.(type) {
	case lwtticket.ReadHead:
		return lwtticket.HeadRead{HeadVersion: store.headVersion, Head: store.head}
	case lwtticket.ReadIdempotencyRecord:
		return lwtticket.IdempotencyRecordRead{Record: store.idempotencyRecord(cmd.WriteID)}
	case lwtticket.LoadState:
		return store.load(cmd)
	case lwtticket.StoreSnapshot:
		store.objects[cmd.Object.Hash] = cmd.Object.Content
		return lwtticket.SnapshotStored{Stored: true}
	case lwtticket.Commit:
		return store.commit(cmd)
	}
	panic(fmt.Sprintf("unknown command %T", cmd))
}

func (store *store) idempotencyRecord(id string) *lwtticket.IdempotencyRecord {
	record, found := store.idempotencyRecords[id]
	if !found {
		return nil
	}
	return &record
}

func (store *store) load(cmd lwtticket.LoadState) lwtticket.Msg {
	state, plan := cmd.From, cmd.Head.CatchUpFrom(cmd.From.Revision)
	if plan.Snapshot != nil {
		decoded, err := lwtticket.DecodeSnapshot(lwtticket.SnapshotObject{
			Hash: plan.Snapshot.Hash, Content: store.objects[plan.Snapshot.Hash],
		})
		if err != nil {
			return lwtticket.CommandFailed{NotSent: true}
		}
		state = decoded
	}
	for _, revision := range plan.Tickets {
		state = state.WithChange(store.records[revision].Change)
	}
	return lwtticket.StateLoaded{State: state}
}

func (store *store) commit(cmd lwtticket.Commit) lwtticket.Msg {
	if record := store.idempotencyRecord(cmd.Record.WriteID); record != nil || cmd.HeadVersion != store.headVersion {
		return lwtticket.CommitResult{HeadVersion: store.headVersion, Head: store.head, Idempotency: record}
	}
	store.version++
	store.head, store.headVersion = cmd.Head, store.version
	store.records[cmd.Head.Revision] = cmd.Record
	store.idempotencyRecords[cmd.Record.WriteID] = cmd.Idempotency
	return lwtticket.CommitResult{Committed: true}
}

// state returns the declared state that all accepted tickets lead to.
func (store *store) state() lwtdeclaredstate.State {
	state := lwtdeclaredstate.New()
	for revision := int64(1); revision <= store.head.Revision; revision++ {
		state = state.WithChange(store.records[revision].Change)
	}
	return state
}

// operator drives one submission step by step.
type operator struct {
	submission lwtticket.Submission
	next       lwtticket.Cmd
	result     *lwtticket.Result
}

func newOperator(now time.Time, request lwtticket.Request, knownState lwtdeclaredstate.State) *operator {
	operator := &operator{submission: lwtticket.NewSubmission(request, knownState)}
	operator.update(now, lwtticket.Started{})
	return operator
}

func (operator *operator) update(now time.Time, msg lwtticket.Msg) {
	var cmds []lwtticket.Cmd
	operator.submission, cmds = operator.submission.Update(now, msg)
	operator.next = cmds[0]
	if done, found := cmds[0].(lwtticket.Done); found {
		operator.result = &done.Result
	}
}

// step executes the next command. It returns false once the submission has
// ended.
func (operator *operator) step(now time.Time, store *store) bool {
	if operator.result == nil {
		operator.update(now, store.execute(operator.next))
	}
	return operator.result == nil
}

// timeOut fails the next command. If it is a commit, it arrives at the store
// later, after the sender has considered it lost.
func (operator *operator) timeOut(now time.Time, store *store) {
	commit, isCommit := operator.next.(lwtticket.Commit)
	if isCommit {
		store.delayedCommits = append(store.delayedCommits, commit)
	}
	operator.update(now, lwtticket.CommandFailed{NotSent: !isCommit})
}

// deliverDelayedCommits lets all delayed commits arrive at the store.
func (store *store) deliverDelayedCommits() {
	for _, commit := range store.delayedCommits {
		store.commit(commit)
	}
	store.delayedCommits = nil
}

// serviceTicket returns a ticket that declares services with the given names.
func serviceTicket(base int64, names ...string) lwtticket.Ticket {
	ticket := lwtticket.Ticket{BaseRevision: base}
	for _, name := range names {
		ticket.Services = append(ticket.Services, lwtdeclaredstate.Service{
			Name: name, Timeout: lwtdeclaredstate.Duration(time.Second),
			BackendServers: []lwtdeclaredstate.BackendServer{{Address: "127.0.0.1:9101", AvailabilityZone: "z1"}},
		})
	}
	return ticket
}
