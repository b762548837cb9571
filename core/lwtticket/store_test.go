package lwtticket_test

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// store is the platform's table in the tests' own time. Its transactions are
// serializable; it fails on demand.
type store struct {
	version     int64
	head        lwtticket.Head
	headVersion int64
	records     map[int64]lwtticket.Record
	writes      map[string]lwtticket.IdempotencyRecord
	objects     map[string][]byte
	// down makes every command fail without being sent; mute lets commands
	// take effect without an answer.
	down, mute bool
	// delayed are commits whose sender gave up before they arrived.
	delayed []lwtticket.Commit
}

func newStore() *store {
	return &store{
		records: map[int64]lwtticket.Record{}, writes: map[string]lwtticket.IdempotencyRecord{}, objects: map[string][]byte{},
	}
}

// carryOut executes a command and returns its answer.
func (store *store) carryOut(cmd lwtticket.Cmd) lwtticket.Msg {
	if wait, found := cmd.(lwtticket.Wait); found {
		_ = wait
		return lwtticket.Waited{}
	}
	if _, found := cmd.(lwtticket.StoreSnapshot); found && store.down {
		return lwtticket.SnapshotStored{}
	}
	if store.down {
		return lwtticket.CommandFailed{NotSent: true}
	}
	answer := store.apply(cmd)
	if store.mute {
		return lwtticket.CommandFailed{}
	}
	return answer
}

func (store *store) apply(cmd lwtticket.Cmd) lwtticket.Msg {
	switch cmd := cmd.(type) {
	case lwtticket.ReadHead:
		return lwtticket.HeadRead{HeadVersion: store.headVersion, Head: store.head}
	case lwtticket.ReadIdempotencyRecord:
		return lwtticket.IdempotencyRecordRead{Record: store.write(cmd.WriteID)}
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

func (store *store) write(id string) *lwtticket.IdempotencyRecord {
	write, found := store.writes[id]
	if !found {
		return nil
	}
	return &write
}

func (store *store) load(cmd lwtticket.LoadState) lwtticket.Msg {
	state, reads := cmd.From, cmd.Head.CatchUpFrom(cmd.From.Revision)
	if reads.Snapshot != nil {
		decoded, err := lwtticket.DecodeSnapshot(lwtticket.SnapshotObject{Hash: reads.Snapshot.Hash, Content: store.objects[reads.Snapshot.Hash]})
		if err != nil {
			return lwtticket.CommandFailed{NotSent: true}
		}
		state = decoded
	}
	for _, number := range reads.Tickets {
		state = state.WithChange(store.records[number].Change)
	}
	return lwtticket.StateLoaded{State: state}
}

func (store *store) commit(cmd lwtticket.Commit) lwtticket.Msg {
	if write := store.write(cmd.Record.WriteID); write != nil || cmd.HeadVersion != store.headVersion {
		return lwtticket.CommitResult{HeadVersion: store.headVersion, Head: store.head, Idempotency: write}
	}
	store.version++
	store.head, store.headVersion = cmd.Head, store.version
	store.records[cmd.Head.Revision] = cmd.Record
	store.writes[cmd.Record.WriteID] = cmd.Idempotency
	return lwtticket.CommitResult{Committed: true}
}

// state returns the declared state that all accepted tickets lead to.
func (store *store) state() lwtdeclaredstate.State {
	state := lwtdeclaredstate.New()
	for number := int64(1); number <= store.head.Revision; number++ {
		state = state.WithChange(store.records[number].Change)
	}
	return state
}

// operator runs one submission step by step.
type operator struct {
	submission lwtticket.Submission
	next       lwtticket.Cmd
	result     *lwtticket.Result
}

func newOperator(now time.Time, request lwtticket.Request, held lwtdeclaredstate.State) *operator {
	operator := &operator{submission: lwtticket.NewSubmission(request, held)}
	operator.take(now, lwtticket.Started{})
	return operator
}

func (operator *operator) take(now time.Time, msg lwtticket.Msg) {
	var cmds []lwtticket.Cmd
	operator.submission, cmds = operator.submission.Update(now, msg)
	operator.next = cmds[0]
	if done, found := cmds[0].(lwtticket.Done); found {
		operator.result = &done.Result
	}
}

// step executes the next command. It returns false when the submission ended.
func (operator *operator) step(now time.Time, store *store) bool {
	if operator.result == nil {
		operator.take(now, store.carryOut(operator.next))
	}
	return operator.result == nil
}

// giveUp lets the next command, a commit, arrive at the store later, after its
// sender counted it as lost.
func (operator *operator) giveUp(now time.Time, store *store) {
	commit, isCommit := operator.next.(lwtticket.Commit)
	if isCommit {
		store.delayed = append(store.delayed, commit)
	}
	operator.take(now, lwtticket.CommandFailed{NotSent: !isCommit})
}

// arrive delivers the delayed commits.
func (store *store) arrive() {
	for _, commit := range store.delayed {
		store.commit(commit)
	}
	store.delayed = nil
}

// modelTicket is a ticket that replaces services, named by the given letters.
func modelTicket(base int64, names ...string) lwtticket.Ticket {
	ticket := lwtticket.Ticket{BaseRevision: base}
	for _, name := range names {
		ticket.Services = append(ticket.Services, lwtdeclaredstate.Service{
			Name: name, Timeout: lwtdeclaredstate.Duration(time.Second),
			BackendServers: []lwtdeclaredstate.BackendServer{{Address: "127.0.0.1:9101", AvailabilityZone: "z1"}},
		})
	}
	return ticket
}
