package deduplicator

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

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
