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
	// Limits of one transfer message.
	maxTransferEntries = 256
	maxTransferBytes   = 1 << 20
	rpcTimeout         = time.Second
	// retryInterval is the time between two iterations of Run, which retry
	// failed transfers and appends.
	retryInterval  = 200 * time.Millisecond
	expireEvery    = 25 // iterations of Run between two removals of expired keys
	maxResultSends = 8  // concurrent messages with results
)

type result struct {
	id  shardID
	key string
}

// Run calls Synchronize repeatedly, sends results to the secondaries and removes
// expired keys until the tomb dies. It always returns nil.
func (d *Deduplicator) Run(t *tomb.Tomb) error {
	d.mu.Lock()
	d.initialize()
	d.mu.Unlock()
	ctx := t.Context(context.Background())
	t.Go(func() error {
		// A stopping agent still sends its last results, because no other agent
		// has them. Each message has a timeout of its own.
		sendContext := context.WithoutCancel(ctx)
		for {
			select {
			case first := <-d.results:
				d.sendResults(sendContext, first)
				continue
			case <-t.Dying():
			}
			select {
			case first := <-d.results:
				d.sendResults(sendContext, first)
			default:
				return nil
			}
		}
	})
	ticker := d.Clock.NewTicker(retryInterval)
	defer ticker.Stop()
	for iteration := 1; ; iteration++ {
		if iteration%expireEvery == 0 {
			d.expire()
		}
		_ = d.Synchronize(ctx) // retried in the next iteration
		select {
		case <-t.Dying():
			return nil
		case <-ticker.Chan():
		case <-d.wake:
		}
	}
}

// Synchronize sends each shard's history to its new secondary and appends
// ShardsReady for the complete histories that this agent received. It returns
// one of the errors. The next call retries what failed.
func (d *Deduplicator) Synchronize(ctx context.Context) error {
	d.mu.Lock()
	d.initialize()
	transfers := map[string][]*shard{}
	ready := map[string][]*wire.ShardEpoch{}
	for _, sh := range d.shards {
		switch {
		case sh.role == rolePrimary && !sh.transferred && sh.state.GetSecondary() != nil:
			transfers[sh.peer] = append(transfers[sh.peer], sh)
		case sh.role == roleSecondary && sh.readyPending && !sh.state.GetReady():
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
		if err := d.appendShardsReady(ctx, self, service, shards); err != nil {
			failed = err
		}
	}
	if err := d.transferAll(ctx, transfers); err != nil {
		failed = err
	}
	return failed
}

// transferAll sends histories to all peers concurrently, so that a peer that
// does not answer doesn't delay the others. The shards are grouped by address.
func (d *Deduplicator) transferAll(ctx context.Context, shardsByAddress map[string][]*shard) error {
	failures := make(chan error, len(shardsByAddress))
	send := func(shards []*shard) {
		for _, sh := range shards {
			if err := d.transfer(ctx, sh); err != nil {
				failures <- err
				return
			}
		}
		failures <- nil
	}
	for _, shards := range shardsByAddress {
		if len(shardsByAddress) == 1 {
			send(shards)
			break
		}
		go send(shards)
	}
	var failed error
	for range shardsByAddress {
		if err := <-failures; err != nil {
			failed = err
		}
	}
	return failed
}

// appendShardsReady appends a ShardsReady record for shards whose complete history
// this agent received, and clears their readyPending.
func (d *Deduplicator) appendShardsReady(ctx context.Context, self *wire.HostRef, service string, shards []*wire.ShardEpoch) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	d.mu.Lock()
	d.lastRecordNumber++
	number := d.lastRecordNumber
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
			sh.readyPending = false
		}
	}
	return nil
}

// transfer sends the keys that may have run to the secondary. The last message
// has completes_transfer set if this agent's history is complete. It is sent
// only after all others were accepted.
func (d *Deduplicator) transfer(ctx context.Context, sh *shard) error {
	d.mu.Lock()
	if sh.role != rolePrimary || sh.state.GetSecondary() == nil {
		d.mu.Unlock()
		return nil
	}
	address, epoch := sh.peer, sh.state.GetEpoch()
	complete := sh.updateComplete(d.Clock.Now(), d.KeyLifetime)
	messages := d.transferMessages(sh)
	d.mu.Unlock()
	messages[len(messages)-1].CompletesTransfer = complete
	for _, message := range messages {
		if err := d.send(ctx, address, message); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// If the history became complete meanwhile, it is sent again.
	if sh.state != nil && damaskspread.SamePosition(sh.state.GetEpoch(), epoch) && sh.complete == complete {
		sh.transferred = true
	}
	return nil
}

func (d *Deduplicator) transferMessages(sh *shard) []*wire.ReplicateRequest {
	now := d.Clock.Now()
	current := d.newMessage(sh)
	messages := []*wire.ReplicateRequest{current}
	size := 0
	for _, e := range sh.keys {
		if e.phase == phaseReserved {
			continue
		}
		item := e.toWire(now)
		if size += proto.Size(item); size > maxTransferBytes || len(current.Entries) == maxTransferEntries {
			current = d.newMessage(sh)
			messages = append(messages, current)
			size = proto.Size(item)
		}
		current.Entries = append(current.Entries, item)
	}
	return messages
}

func (e *keyState) toWire(now time.Time) *wire.KeyEntry {
	response := e.response
	if response == nil {
		response = &wire.ExecuteResponse{
			Outcome: wire.Outcome_OUTCOME_UNKNOWN,
		}
	}
	return &wire.KeyEntry{
		Key:      e.key,
		BodyHash: e.requestHash,
		Done:     e.phase == phaseDone,
		Response: response,
		AgeMs:    now.Sub(e.lifetimeFrom).Milliseconds(),
	}
}

func (d *Deduplicator) send(ctx context.Context, address string, message *wire.ReplicateRequest) error {
	response, err := d.replicate(ctx, address, message)
	if err != nil {
		return err
	}
	if !response.GetAccepted() {
		return damaskspread.NotRun(damaskspread.Reason(response.GetReason()), "the secondary refused the shard's keys and results")
	}
	return nil
}

func (d *Deduplicator) replicate(ctx context.Context, address string, message *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	return d.Peers.Replicate(ctx, address, message)
}

// sendResults sends up to maxTransferEntries waiting results, one message for
// each shard, and waits for the responses.
func (d *Deduplicator) sendResults(ctx context.Context, first result) {
	batch := []result{first}
	for len(batch) < maxTransferEntries {
		select {
		case next := <-d.results:
			batch = append(batch, next)
			continue
		default:
		}
		break
	}
	slots := make(chan struct{}, maxResultSends)
	for address, messages := range d.resultMessages(batch) {
		for _, message := range messages {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				// If sending fails, the secondary keeps answering unknown for the key.
				_ = d.send(ctx, address, message)
			}()
		}
	}
	for range maxResultSends {
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
		e := sh.keys[item.key]
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
		message.Entries = append(message.Entries, e.toWire(now))
	}
	return byAddress
}

// resultMessage returns an empty message for results of a shard, or nil if the
// shard has no secondary. It has no epoch if this agent lost its role while the
// request ran: the receiver then stores results for the keys that it has.
func (d *Deduplicator) resultMessage(sh *shard) *wire.ReplicateRequest {
	if sh.role != roleNone {
		return d.newMessage(sh)
	}
	return &wire.ReplicateRequest{
		Service: sh.id.service,
		Shard:   sh.id.shard,
		From:    proto.CloneOf(d.self),
	}
}
