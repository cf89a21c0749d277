package deduplicator

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// Bounds of one transfer message.
	transferEntries = 256
	transferBytes   = 1 << 20
	rpcTimeout      = time.Second
	// retryEvery is the pause before a failed transfer or append is repeated.
	retryEvery = 200 * time.Millisecond
	expireEach = 25 // turns of Run between two searches for expired keys
	resultSend = 8  // messages with results sent at once
)

type result struct {
	id  shardID
	key string
}

// Run transfers histories, announces received ones, sends results and forgets
// expired keys until the tomb dies.
func (d *Deduplicator) Run(t *tomb.Tomb) error {
	d.mu.Lock()
	d.start()
	d.mu.Unlock()
	ctx := t.Context(context.Background())
	t.Go(func() error {
		// An agent that stops still sends its last results: nobody else can
		// answer for their keys. Each message has a deadline of its own.
		sending := context.WithoutCancel(ctx)
		for {
			select {
			case first := <-d.results:
				d.sendResults(sending, first)
				continue
			case <-t.Dying():
			}
			select {
			case first := <-d.results:
				d.sendResults(sending, first)
			default:
				return nil
			}
		}
	})
	ticker := d.Clock.NewTicker(retryEvery)
	defer ticker.Stop()
	for turn := 1; ; turn++ {
		if turn%expireEach == 0 {
			d.expire()
		}
		_ = d.Synchronize(ctx) // repeated at the next turn
		select {
		case <-t.Dying():
			return nil
		case <-ticker.Chan():
		case <-d.wake:
		}
	}
}

// Synchronize sends the history of each shard to a new secondary and appends
// ShardsReady for the histories that this agent received. Run calls it; what
// fails is tried again at the next call.
func (d *Deduplicator) Synchronize(ctx context.Context) error {
	d.mu.Lock()
	d.start()
	moved := map[string][]*shard{}
	ready := map[string][]*wire.ShardEpoch{}
	for _, sh := range d.shards {
		switch {
		case sh.role == rolePrimary && !sh.transferred && sh.state.GetSecondary() != nil:
			moved[sh.peer] = append(moved[sh.peer], sh)
		case sh.role == roleSecondary && sh.announce && !sh.state.GetReady():
			ready[sh.id.service] = append(ready[sh.id.service], &wire.ShardEpoch{
				Shard: sh.id.shard,
				Epoch: sh.state.GetEpoch(),
			})
		}
	}
	self := proto.CloneOf(d.self)
	d.mu.Unlock()
	var failed error
	for service, shards := range ready {
		if err := d.announceReady(ctx, self, service, shards); err != nil {
			failed = err
		}
	}
	if err := d.transferAll(ctx, moved); err != nil {
		failed = err
	}
	return failed
}

// transferAll sends to all peers at once, so that one that does not answer
// doesn't delay the others.
func (d *Deduplicator) transferAll(ctx context.Context, moved map[string][]*shard) error {
	failures := make(chan error, len(moved))
	send := func(shards []*shard) {
		for _, sh := range shards {
			if err := d.transfer(ctx, sh); err != nil {
				failures <- err
				return
			}
		}
		failures <- nil
	}
	for _, shards := range moved {
		if len(moved) == 1 {
			send(shards)
			break
		}
		go send(shards)
	}
	var failed error
	for range moved {
		if err := <-failures; err != nil {
			failed = err
		}
	}
	return failed
}

func (d *Deduplicator) announceReady(ctx context.Context, self *wire.HostRef, service string, shards []*wire.ShardEpoch) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	d.mu.Lock()
	d.records++
	number := d.records
	d.mu.Unlock()
	_, err := d.Appender.AppendRecords(ctx, []*wire.Record{
		{
			Id:             fmt.Sprintf("shards-ready/%s/%s/%d", self.GetHost(), self.GetIncarnation(), number),
			Actor:          "agent " + self.GetHost(),
			RecordedUnixMs: d.Clock.Now().UnixMilli(),
			Body: &wire.Record_ShardsReady{
				ShardsReady: &wire.ShardsReady{
					Host:    self,
					Service: service,
					Shards:  shards,
				},
			},
		},
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, item := range shards {
		sh := d.shards[shardID{
			service: service,
			shard:   item.GetShard(),
		}]
		if sh.state != nil && damaskspread.SamePosition(sh.state.GetEpoch(), item.GetEpoch()) {
			sh.announce = false
		}
	}
	return nil
}

// transfer sends the keys that may have run. The last message completes the
// transfer if this agent's own history is complete; it is sent only after all
// others were accepted.
func (d *Deduplicator) transfer(ctx context.Context, sh *shard) error {
	d.mu.Lock()
	if sh.role != rolePrimary || sh.state.GetSecondary() == nil {
		d.mu.Unlock()
		return nil
	}
	address, epoch := sh.peer, sh.state.GetEpoch()
	whole := sh.whole(d.Clock.Now(), d.KeyLifetime)
	messages := d.messages(sh)
	d.mu.Unlock()
	messages[len(messages)-1].CompletesTransfer = whole
	for _, message := range messages {
		if err := d.send(ctx, address, message); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// A history that became complete since is sent again.
	if sh.state != nil && damaskspread.SamePosition(sh.state.GetEpoch(), epoch) && sh.complete == whole {
		sh.transferred = true
	}
	return nil
}

func (d *Deduplicator) messages(sh *shard) []*wire.ReplicateRequest {
	now := d.Clock.Now()
	current := d.message(sh)
	messages := []*wire.ReplicateRequest{current}
	size := 0
	for _, e := range sh.entries {
		if e.phase == phaseReserved {
			continue
		}
		item := e.wire(now)
		if size += proto.Size(item); size > transferBytes || len(current.Entries) == transferEntries {
			current = d.message(sh)
			messages = append(messages, current)
			size = proto.Size(item)
		}
		current.Entries = append(current.Entries, item)
	}
	return messages
}

func (e *entry) wire(now time.Time) *wire.KeyEntry {
	response := e.response
	if response == nil {
		response = &wire.ExecuteResponse{
			Outcome: wire.Outcome_OUTCOME_UNKNOWN,
		}
	}
	return &wire.KeyEntry{
		Key:      e.key,
		BodyHash: e.hash,
		Done:     e.phase == phaseDone,
		Response: response,
		AgeMs:    now.Sub(e.since).Milliseconds(),
	}
}

func (d *Deduplicator) send(ctx context.Context, address string, message *wire.ReplicateRequest) error {
	answer, err := d.call(ctx, address, message)
	if err != nil {
		return err
	}
	if !answer.GetAccepted() {
		return damaskspread.NotRun(damaskspread.Reason(answer.GetReason()), "the secondary refused the history")
	}
	return nil
}

func (d *Deduplicator) call(ctx context.Context, address string, message *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	return d.Peers.Replicate(ctx, address, message)
}

// sendResults sends the waiting results, those of one shard in one message.
func (d *Deduplicator) sendResults(ctx context.Context, first result) {
	batch := []result{first}
	for len(batch) < transferEntries {
		select {
		case next := <-d.results:
			batch = append(batch, next)
			continue
		default:
		}
		break
	}
	slots := make(chan struct{}, resultSend)
	for address, messages := range d.resultMessages(batch) {
		for _, message := range messages {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				// A lost result leaves the key unknown at the secondary.
				_ = d.send(ctx, address, message)
			}()
		}
	}
	for range resultSend {
		slots <- struct{}{}
	}
}

func (d *Deduplicator) resultMessages(batch []result) map[string][]*wire.ReplicateRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	byShard := map[shardID]*wire.ReplicateRequest{}
	byAddress := map[string][]*wire.ReplicateRequest{}
	for _, item := range batch {
		sh := d.shards[item.id]
		e := sh.entries[item.key]
		if e == nil || sh.peer == "" {
			continue
		}
		message := byShard[item.id]
		if message == nil {
			if message = d.resultMessage(sh); message == nil {
				continue
			}
			byShard[item.id] = message
			byAddress[sh.peer] = append(byAddress[sh.peer], message)
		}
		message.Entries = append(message.Entries, e.wire(now))
	}
	return byAddress
}

// resultMessage is a message without epoch if the shard moved away while the
// request ran: the agent that replaced this one learns results of the keys it
// knows in any epoch.
func (d *Deduplicator) resultMessage(sh *shard) *wire.ReplicateRequest {
	if sh.role != roleNone {
		return d.message(sh)
	}
	return &wire.ReplicateRequest{
		Service: sh.id.service,
		Shard:   sh.id.shard,
		From:    proto.CloneOf(d.self),
	}
}
